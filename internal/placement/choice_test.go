// What the choice promises, each on a small table of workers.
package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

func newSlots(n, cores int) (list []Slot) {
	for i := range n {
		list = append(list, Slot{Shard: types.Shard(fmt.Sprintf("k%d", i)), Rack: types.Rack(fmt.Sprintf("r%d", i/3)),
			Kinds: []types.ServiceKind{"x"}, Free: types.Resources{Cores: types.MilliCores(cores) * types.Core, MemoryMB: 1000}, Capacity: types.Resources{Cores: types.MilliCores(cores) * types.Core, MemoryMB: 1000}, DurationFactor: 1, TasksByGroup: map[TaskGroup]int{}})
	}
	return
}

func newRequest(job string, queue types.QueueName, tasks, cores int) Request {
	request := Request{TaskGroup: TaskGroup{Job: types.JobID(job)}, Queue: queue, Kind: "x", Resources: types.Resources{Cores: types.MilliCores(cores) * types.Core}}
	for i := range tasks {
		request.Tasks = append(request.Tasks, i)
	}
	return request
}

func newUsage(weight, share, running int) *QueueUsage {
	return &QueueUsage{Queue: config.Queue{Weight: weight, SharePercent: share, MaxRunning: running}}
}

func assignments(requests []Request, slots []Slot, usage map[types.QueueName]*QueueUsage, total int) []Assignment {
	return Place(Input{Requests: requests, Slots: slots, Usage: usage, TotalCores: types.MilliCores(total) * types.Core}).Assignments
}

func tasksByJob(picks []Assignment) map[types.JobID]int {
	m := map[types.JobID]int{}
	for _, p := range picks {
		m[p.Task.Job]++
	}
	return m
}

func TestWeightsShareWhatThereIs(t *testing.T) {
	is := is.New(t)
	got := tasksByJob(assignments([]Request{newRequest("a", "a", 100, 1), newRequest("b", "b", 100, 1)}, newSlots(4, 10),
		map[types.QueueName]*QueueUsage{"a": newUsage(3, 0, 500), "b": newUsage(1, 0, 500)}, 40))
	is.Equal(got, map[types.JobID]int{"a": 30, "b": 10})
}

func TestAShareComesBeforeWeights(t *testing.T) {
	is := is.New(t)
	got := tasksByJob(assignments([]Request{newRequest("a", "a", 100, 1), newRequest("b", "b", 100, 1)}, newSlots(4, 10),
		map[types.QueueName]*QueueUsage{"a": newUsage(1000, 0, 500), "b": newUsage(1, 50, 500)}, 40))
	is.Equal(got["b"], 20)
}

func TestWhatCannotBePlacedHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	big := newRequest("big", "a", 3, 11)
	gang := newRequest("gang", "a", 9, 5)
	gang.Gang = true
	far := newRequest("far", "a", 1, 1)
	far.Rack = "r9"
	got := tasksByJob(assignments([]Request{big, gang, far, newRequest("small", "a", 4, 1)}, newSlots(4, 10), map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500)}, 40))
	is.Equal(got, map[types.JobID]int{"small": 4}) // and no part of the gang
}

func TestGangsAreWholeAndSpreadHolds(t *testing.T) {
	is := is.New(t)
	gang := newRequest("g", "a", 6, 2)
	gang.Gang, gang.MaxPerWorker = true, 2
	s := newSlots(3, 10)
	picks := assignments([]Request{gang}, s, map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 6)}, 30)
	is.Equal(len(picks), 6)
	at := map[types.Shard]int{}
	for _, p := range picks {
		at[p.Shard]++
	}
	is.Equal(at, map[types.Shard]int{"k0": 2, "k1": 2, "k2": 2})
	is.Equal(len(assignments([]Request{gang}, newSlots(3, 10), map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 5)}, 30)), 0) // the queue's limit is whole too
	is.Equal(len(assignments([]Request{gang}, newSlots(2, 10), map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 6)}, 30)), 0)
}

func TestRoomIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	s := newSlots(3, 7)
	assignments([]Request{newRequest("a", "a", 50, 2), newRequest("b", "a", 50, 3)}, s, map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500)}, 21)
	for _, x := range s {
		is.True(x.Free.Cores >= 0)
	}
}

func TestUrgentFirstWithinAQueueOnly(t *testing.T) {
	is := is.New(t)
	hot := newRequest("hot", "a", 50, 1)
	hot.Urgency = 9
	got := tasksByJob(assignments([]Request{newRequest("cold", "a", 50, 1), hot, newRequest("other", "b", 50, 1)}, newSlots(1, 10),
		map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500), "b": newUsage(1, 0, 500)}, 10))
	is.Equal(got, map[types.JobID]int{"hot": 5, "other": 5})
}

func TestABadWorkerIsProbedNotUsed(t *testing.T) {
	is := is.New(t)
	s := newSlots(3, 10)
	s[0].FailureRate = 0.9
	at := 0
	for _, p := range assignments([]Request{newRequest("a", "a", 12, 1)}, s, map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500)}, 30) {
		if p.Shard == "k0" {
			at++
		}
	}
	is.True(at <= 1)
}

// A large task and a wide gang wait while small work keeps every worker nearly
// full. Without a reservation they never start; with it they do in bounded
// time, and small work that surely ends before goes on beside it.
func TestLargeWorkGetsItsTurn(t *testing.T) {
	large := newRequest("large", "a", 1, 10)
	wide := newRequest("wide", "a", 3, 10)
	wide.Gang = true
	for _, w := range []Request{large, wide} {
		for _, reserving := range []bool{true, false} {
			is := is.New(t)
			list := newSlots(4, 10)
			ends := map[types.Shard][]int{} // when small tasks end, by round
			var reservation *Reservation
			startedIn, smallStarted := -1, 0
			for round := range 400 {
				requests := []Request{}
				for i := range 6 {
					requests = append(requests, newRequest(fmt.Sprint("s", round, i), "b", 2, 1))
					requests[i].TimeLimit = time.Second
				}
				if startedIn < 0 && round >= 20 {
					w.TimeLimit, w.WaitingFor = time.Second, time.Duration(round-20)*100*time.Millisecond
					requests = append([]Request{w}, requests...)
				}
				for i := range list {
					s := &list[i]
					s.reserved, s.IdleIn = types.Resources{}, 0
					left := ends[s.Shard][:0]
					for _, e := range ends[s.Shard] {
						if e > round {
							left = append(left, e)
							s.IdleIn = max(s.IdleIn, time.Duration(e-round)*100*time.Millisecond)
						}
					}
					s.Free, ends[s.Shard] = types.Resources{Cores: types.MilliCores(10-len(left)) * types.Core, MemoryMB: 1000}, left
				}
				out := Place(Input{Requests: requests, Slots: list, TotalCores: 40 * types.Core, Reservation: reservation,
					Usage: map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500), "b": newUsage(1, 0, 500)}})
				if reservation = out.Reservation; !reserving {
					reservation = nil
				}
				for _, p := range out.Assignments {
					if p.Task.Job == w.Job {
						startedIn = round
						for range 10 {
							ends[p.Shard] = append(ends[p.Shard], round+10)
						}
					} else {
						smallStarted++
						ends[p.Shard] = append(ends[p.Shard], round+10)
					}
				}
				if startedIn >= 0 && round > startedIn+20 {
					break
				}
			}
			if !reserving {
				is.Equal(startedIn, -1) // it starves
				continue
			}
			is.True(startedIn > 20 && startedIn < 80) // 3 s of patience, and the time of a small task or two
			is.True(smallStarted > 100)
		}
	}
}

// Nothing starts on a worker whose window it would run into.
func TestNothingRunsIntoAWindow(t *testing.T) {
	is := is.New(t)
	for long, n := range map[time.Duration]int{time.Minute: 10, time.Second: 20} {
		s := newSlots(2, 10)
		s[0].AvailableFor = 30 * time.Second
		w := newRequest("a", "a", 30, 1)
		w.TimeLimit = long
		is.Equal(len(assignments([]Request{w}, s, map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500)}, 20)), n)
	}
}
