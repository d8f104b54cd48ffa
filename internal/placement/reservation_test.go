package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Timing of the simulated rounds below.
const (
	roundTime    = 100 * time.Millisecond
	taskRounds   = 10 // duration of a task, in rounds
	requestRound = 20 // in which the large request arrives
)

// busyCluster is a cluster of four workers of 10 cores that small tasks keep nearly full in each
// round, while one large request waits.
type busyCluster struct {
	slots        []Slot
	ends         map[types.Shard][]int // rounds in which running tasks end, one entry for each core
	reservation  *Reservation
	waitingSince int // round since which the leader has seen the large request waiting
	newLeaderIn  int // round in which another leader takes over; 0 for none
}

// advance ends the tasks that end in or before a round.
func (b *busyCluster) advance(round int) {
	for i := range b.slots {
		slot := &b.slots[i]
		slot.reserved, slot.IdleIn = types.Resources{}, 0
		running := b.ends[slot.Shard][:0]
		for _, end := range b.ends[slot.Shard] {
			if end > round {
				running = append(running, end)
				slot.IdleIn = max(slot.IdleIn, time.Duration(end-round)*roundTime)
			}
		}
		b.ends[slot.Shard] = running
		slot.Free = types.Resources{Cores: types.MilliCores(10-len(running)) * types.Core, MemoryMB: 1000}
	}
}

// place performs a round with six small jobs of two tasks, and with the large request from
// requestRound until it has been placed.
func (b *busyCluster) place(round int, large Request, placed bool) []Assignment {
	var requests []Request
	if !placed && round >= requestRound {
		large.WaitingFor = time.Duration(round-b.waitingSince) * roundTime
		requests = append(requests, large)
	}
	for i := range 6 {
		small := newRequest(fmt.Sprint("s", round, i), "b", 2, 1)
		small.TimeLimit = time.Second
		requests = append(requests, small)
	}
	output := Place(Input{
		Requests: requests, Slots: b.slots, TotalCores: 40 * types.Core, Reservation: b.reservation,
		Usage: map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500), "b": newUsage(1, 0, 500)},
	})
	b.reservation = output.Reservation
	return output.Assignments
}

// run performs rounds until 20 rounds after the large request was placed. It returns the round of
// that, or -1, and the number of small tasks started.
func (b *busyCluster) run(large Request, reserving bool) (placedIn, small int) {
	placedIn, b.waitingSince = -1, requestRound
	for round := range 400 {
		b.advance(round)
		if round > 0 && round == b.newLeaderIn { // it has neither waiting times nor a reservation
			b.waitingSince, b.reservation = round, nil
		}
		assignments := b.place(round, large, placedIn >= 0)
		if !reserving {
			b.reservation = nil
		}
		for _, assignment := range assignments {
			cores := 1
			if assignment.Task.Job == large.Job {
				cores, placedIn = 10, round
			} else {
				small++
			}
			for range cores {
				b.ends[assignment.Shard] = append(b.ends[assignment.Shard], round+taskRounds)
			}
		}
		if placedIn >= 0 && round > placedIn+20 {
			break
		}
	}
	return placedIn, small
}

// A large task and a wide gang wait while small tasks keep every worker nearly full. Without a
// reservation they never start. With it they start in bounded time, and small tasks that are
// certain to end before that still run beside it.
func TestReservationLetsLargeRequestsStart(t *testing.T) {
	task := newRequest("large", "a", 1, 10)
	gang := newRequest("wide", "a", 3, 10)
	gang.Gang = true
	for _, c := range []struct {
		name      string
		request   Request
		reserving bool
	}{
		{"large task", task, true},
		{"large task without reservations", task, false},
		{"wide gang", gang, true},
		{"wide gang without reservations", gang, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.request.TimeLimit = time.Second
			cluster := busyCluster{slots: newSlots(4, 10), ends: map[types.Shard][]int{}}
			placedIn, small := cluster.run(c.request, c.reserving)
			if !c.reserving {
				is.Equal(placedIn, -1) // starved
				return
			}
			is.True(placedIn > 20 && placedIn < 80) // after ReserveAfter, and a small task or two
			is.True(small > 100)
		})
	}
}

// TestNewLeaderRecreatesReservation checks that, whenever the leader changes, the large request
// starts as soon after the change as it would after its arrival.
func TestNewLeaderRecreatesReservation(t *testing.T) {
	for _, newLeaderIn := range []int{requestRound + 1, requestRound + 20, requestRound + 32, requestRound + 38} {
		t.Run(fmt.Sprint("round ", newLeaderIn), func(t *testing.T) {
			is := is.New(t)
			request := newRequest("large", "a", 1, 10)
			request.TimeLimit = time.Second
			cluster := busyCluster{slots: newSlots(4, 10), ends: map[types.Shard][]int{}, newLeaderIn: newLeaderIn}
			placedIn, _ := cluster.run(request, true)
			t.Logf("placed %d rounds after the change", placedIn-newLeaderIn)
			is.True(placedIn > 0)
			is.True(placedIn-newLeaderIn <= int(ReserveAfter/roundTime)+2*taskRounds)
		})
	}
}

// TestReservationWithoutTasksIsDropped covers a stage whose tasks have all been placed or cancelled
// since the reservation was made.
func TestReservationWithoutTasksIsDropped(t *testing.T) {
	is := is.New(t)
	request := newRequest("j", "a", 0, 1)
	slots := newSlots(1, 4)
	output := Place(Input{
		Requests:    []Request{request},
		Slots:       slots,
		TotalCores:  4 * types.Core,
		Reservation: &Reservation{StageID: request.StageID, Workers: []ReservedWorker{{Shard: "k0", Tasks: 1}}},
		Usage:       map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500)},
	})
	is.Equal(len(output.Assignments), 0)
	is.True(output.Reservation == nil)
}

// Guards against a gang that waits for a slow worker: it was reserved for the gang, which could not
// use it, and the other reserved workers stayed idle.
func TestReservationAvoidsSlowWorkers(t *testing.T) {
	is := is.New(t)
	slots := newSlots(4, 10)
	for i := range slots {
		slots[i].Free.Cores = 5 * types.Core
	}
	slots[0].Free.Cores, slots[0].CurrentDurationFactor = 8*types.Core, 3
	gang := newRequest("gang", "a", 3, 10)
	gang.Gang, gang.WaitingFor = true, ReserveAfter
	place := func(reservation *Reservation) Output {
		return Place(Input{
			Requests: []Request{gang, newRequest("small", "b", 1, 1)}, Slots: slots, TotalCores: 40 * types.Core,
			Reservation: reservation,
			Usage:       map[types.QueueName]*QueueUsage{"a": newUsage(9, 0, 500), "b": newUsage(1, 0, 500)},
		})
	}
	made := place(nil).Reservation
	is.True(made != nil)
	for _, worker := range made.Workers {
		is.True(worker.Shard != "k0")
	}
	slots[1].CurrentDurationFactor = 3 // one of the reserved workers
	for i := range slots {
		slots[i].reserved = types.Resources{}
	}
	is.True(place(made).Reservation == nil) // it is dropped, and two workers are too few for another
}

// Guards against a reservation of room that no end of a task frees, for which the request would
// wait without an end.
func TestReservationCountsOnlyObtainableRoom(t *testing.T) {
	for _, c := range []struct {
		name    string
		cores   int // of each task of the gang
		change  func(slot *Slot)
		reserve bool
	}{
		{"room beside a task that lasts", 9, func(*Slot) {}, true},
		{"room that a task that lasts uses", 10, func(*Slot) {}, false},
		{"failing worker that is never idle", 9, func(s *Slot) { s.FailureRate = 1 }, false},
		{"slow worker that is never idle", 9, func(s *Slot) { s.CurrentDurationFactor, s.ProbeDue = 3, true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			slots := newSlots(4, 16)
			for i := range slots {
				slots[i].Free.Cores = 5 * types.Core
				slots[i].Unavailable.Cores = 7 * types.Core
			}
			c.change(&slots[0])
			gang := newRequest("gang", "a", 4, c.cores)
			gang.Gang, gang.WaitingFor = true, ReserveAfter
			output := Place(Input{
				Requests: []Request{gang, newRequest("small", "b", 1, 1)}, Slots: slots, TotalCores: 64 * types.Core,
				Usage: map[types.QueueName]*QueueUsage{"a": newUsage(9, 0, 500), "b": newUsage(1, 0, 500)},
			})
			is.New(t).Equal(output.Reservation != nil, c.reserve)
		})
	}
}

// A request gets a reservation while it is on target, and again after one in vain even if it is late by
// then, but not while that is paused.
func TestRequestsThatGetReservations(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(request *Request)
		reserve bool
	}{
		{"on target", func(*Request) {}, true},
		{"has not waited long enough", func(r *Request) { r.WaitingFor-- }, false},
		{"late", func(r *Request) { r.Class = Late }, false},
		{"late after a reservation in vain", func(r *Request) { r.Class, r.ReservedBefore = Late, true }, true},
		{"paused after a reservation in vain",
			func(r *Request) { r.ReservedBefore, r.ReservationPaused = true, true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			slots := newSlots(2, 16)
			for i := range slots {
				slots[i].Free.Cores = 8 * types.Core
			}
			gang := newRequest("gang", "a", 2, 10)
			gang.Gang, gang.WaitingFor = true, ReserveAfter
			c.change(&gang)
			less := newUsage(1, 0, 500)
			less.Queue.Priority = 9 // it goes after late requests, too
			output := Place(Input{
				Requests: []Request{gang, newRequest("small", "b", 1, 1)}, Slots: slots, TotalCores: 32 * types.Core,
				Usage: map[types.QueueName]*QueueUsage{"a": newUsage(9, 0, 500), "b": less},
			})
			is.New(t).Equal(output.Reservation != nil, c.reserve)
		})
	}
}

// Tasks that start after a reservation share what the reserved tasks leave, also within one round, and
// what is reserved for one round is room that the request can get.
func TestTasksShareWhatAReservationLeaves(t *testing.T) {
	is := is.New(t)
	slots := newSlots(1, 16)
	slots[0].Free.Cores = 9 * types.Core // not enough for the large task yet
	slots[0].FreeWhenIdle = types.Resources{Cores: 13 * types.Core, MemoryMB: 1000}
	large := newRequest("large", "a", 1, 10)
	large.TimeLimit = time.Hour
	small := newRequest("small", "b", 9, 1)
	small.TimeLimit = time.Hour
	reservation := &Reservation{StageID: large.StageID, Workers: []ReservedWorker{{Shard: "k0", Tasks: 1}}}
	output := Place(Input{
		Requests: []Request{large, small}, Slots: slots, TotalCores: 16 * types.Core, Reservation: reservation,
		Usage: map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, 500), "b": newUsage(1, 0, 500)},
	})
	is.Equal(output.Reservation, reservation)
	is.Equal(tasksByJob(output.Assignments), map[types.JobID]int{"small": 3}) // 13 less 10
}

// Guards against a task for which there is no room beside tasks that last: in each round it reserved
// what is left beside them, which it cannot use.
func TestRoundReservationsLeaveOutUnobtainableRoom(t *testing.T) {
	for _, unavailable := range []types.MilliCores{0, 7 * types.Core} {
		t.Run(fmt.Sprint(unavailable), func(t *testing.T) {
			slots := newSlots(4, 16)
			for i := range slots {
				slots[i].Free.Cores, slots[i].Unavailable.Cores = 9*types.Core, unavailable
			}
			large := newRequest("large", "a", 1, 10)
			large.SortKey = -1
			small := newRequest("small", "a", 36, 1)
			small.TimeLimit = time.Hour
			usage := usageOf(config.Queue{Name: "a", TargetFactor: 1})
			reserved := 9 // on one worker
			if unavailable > 0 {
				reserved = 0
			}
			placed := place([]Request{large, small}, slots, usage, 64)
			is.New(t).Equal(len(placed), 36-reserved)
		})
	}
}
