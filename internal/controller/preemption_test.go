package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// fullCluster returns a rig in which each worker runs one task of 16 cores. There are two tasks of
// each job in queue batch: "gang" of urgency 0, "low" of urgency 1 and "high" of urgency 5.
func fullCluster(t *testing.T) *leaderRig {
	t.Helper()
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	urgent := testQueue("urgent")
	urgent.CanPreempt, urgent.SharePercent = true, 50
	batch := testQueue("batch")
	batch.MaxPreemptions = 1
	l.setTable(t, urgent, batch)
	wholeWorker := testStep("s", 2)
	wholeWorker.Resources = types.Resources{Cores: 16_000, MemoryMB: 100}
	gang := wholeWorker
	gang.Gang = true
	l.submit(t, "low", state.Spec{Queue: "batch", Urgency: 1, Steps: []state.Step{wholeWorker}})
	l.submit(t, "high", state.Spec{Queue: "batch", Urgency: 5, Steps: []state.Step{wholeWorker}})
	l.submit(t, "gang", state.Spec{Queue: "batch", Urgency: 0, Steps: []state.Step{gang}})
	for i, job := range []types.JobID{"gang", "low", "high"} {
		for task := range 2 {
			l.advance(time.Millisecond)
			l.runAttempt(t, attemptID(job, task, 1), types.Shard(fmt.Sprint("k", 2*i+task)))
		}
	}
	return l
}

// preemptFor returns the withdrawals and the reservation for a waiting request of queue urgent,
// with the given cores in use by the queues.
func (l *leaderRig) preemptFor(request placement.Request, urgentCores, batchCores types.MilliCores) (
	[]state.Withdrawal, *placement.Reservation) {
	request.Queue, request.Kind, request.TimeLimit = "urgent", "x", time.Second
	request.StageID = types.StageID{Job: "new"}
	v := l.view(l.now)
	in := placement.Input{Requests: []placement.Request{request}, Usage: queueUsage(v.state)}
	in.Slots, in.TotalCores = l.planner.slots.list(v, l.ends, &l.planner.rounds)
	in.Usage["urgent"].CoresInUse, in.Usage["batch"].CoresInUse = urgentCores, batchCores
	return l.planner.preemption.find(v, in)
}

func TestPreemptionTakesOnlyNeededLeastUrgentVictims(t *testing.T) {
	cores := func(n types.MilliCores) types.Resources { return types.Resources{Cores: 1000 * n, MemoryMB: 100} }
	for _, c := range []struct {
		name    string
		urgency int
		wait    time.Duration
		tasks   int
		gang    bool
		size    types.Resources
		used    types.MilliCores // by the request's queue
		want    []types.AttemptID
	}{
		{"whole gang of the least urgent job", 9, time.Second, 1, false, cores(10), 0,
			[]types.AttemptID{attemptID("gang", 0, 1), attemptID("gang", 1, 1)}},
		{"not more urgent, above its share", 0, time.Second, 1, false, cores(10), 60_000, nil},
		{"equal urgency, below its share", 0, time.Second, 1, false, cores(10), 0,
			[]types.AttemptID{attemptID("gang", 0, 1), attemptID("gang", 1, 1)}},
		{"has not waited long enough", 9, time.Second - 1, 1, false, cores(10), 0, nil},
		{"gang that needs three workers", 3, time.Second, 3, true, cores(10), 0,
			[]types.AttemptID{attemptID("gang", 0, 1), attemptID("gang", 1, 1), attemptID("low", 1, 1)}},
		{"gang that needs more workers than less urgent jobs use", 3, time.Second, 5, true, cores(10), 0, nil},
		{"larger than any worker", 9, time.Second, 1, false, cores(17), 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := fullCluster(t)
			request := placement.Request{Urgency: c.urgency, WaitingFor: c.wait, Gang: c.gang, Resources: c.size,
				Tasks: make([]int, c.tasks)}
			list, reserved := l.preemptFor(request, c.used, 96_000-c.used)
			var got []types.AttemptID
			for _, w := range list {
				is.Equal(w.Reason, state.Preempted)
				got = append(got, w.ID)
			}
			is.Equal(got, c.want)
			is.Equal(reserved != nil, c.want != nil)
			if reserved != nil {
				tasks := 0
				for _, worker := range reserved.Workers {
					tasks += worker.Tasks
				}
				is.Equal(tasks, request.MinTasks())
			}
		})
	}
}

func TestPreemptionLimits(t *testing.T) {
	is := is.New(t)
	l := fullCluster(t)
	request := placement.Request{Urgency: 9, WaitingFor: time.Second, Tasks: []int{0},
		Resources: types.Resources{Cores: 16_000, MemoryMB: 100}}
	list, _ := l.preemptFor(request, 0, 96_000)
	is.Equal(len(list), 2) // the gang
	l.apply(t, state.Command{Withdrawals: list})
	again, _ := l.preemptFor(request, 0, 96_000)
	is.Equal(len(again), 0) // within preemptionInterval
	l.now = l.now.Add(preemptionInterval)
	again, _ = l.preemptFor(request, 0, 96_000)
	is.Equal(len(again), 1)
	is.Equal(again[0].ID, attemptID("low", 1, 1)) // the gang is withdrawn already; low's attempt that started last

	l.now = l.now.Add(preemptionInterval)
	l.log.state().Jobs["low"].Tasks[1].Preemptions = 1
	again, _ = l.preemptFor(request, 0, 96_000)
	is.Equal(again[0].ID, attemptID("low", 0, 1)) // the other task reached its queue's MaxPreemptions

	l.now = l.now.Add(preemptionInterval)
	again, _ = l.preemptFor(request, 0, 0)
	is.Equal(len(again), 1) // a queue without a share is never below its share
	disabled := l.log.state().Table.Queues[0]
	disabled.CanPreempt = false
	l.log.state().Table.Queues = []config.Queue{disabled, l.log.state().Table.Queues[1]}
	l.now = l.now.Add(preemptionInterval)
	again, _ = l.preemptFor(request, 0, 96_000)
	is.Equal(len(again), 0)
}

// Guards against requests that wait beside idle slow workers: placement gives these no task, but
// they counted as room, so that nothing was preempted.
func TestSlowWorkersAreNoRoomForPreemption(t *testing.T) {
	is := is.New(t)
	resources := types.Resources{Cores: 10 * types.Core, MemoryMB: 100}
	slot := func(shard types.Shard, free types.Resources) placement.Slot {
		return placement.Slot{Shard: shard, Kinds: []types.ServiceKind{"x"}, Capacity: resources, Free: free}
	}
	slots := []placement.Slot{slot("slow", resources), slot("full", types.Resources{})}
	request := placement.Request{Kind: "x", Tasks: []int{0}, Resources: resources}
	running := newVictim(0, time.Second)
	running.freed["full"] = resources
	is.Equal(len(chooseVictims(request, slots, []*victim{running})), 0) // there is room
	slots[0].CurrentDurationFactor = 3
	is.Equal(chooseVictims(request, slots, []*victim{running}), []*victim{running})
	is.Equal(fit(request, slots, []*victim{running}), []placement.ReservedWorker{{Shard: "full", Tasks: 1}})
}
