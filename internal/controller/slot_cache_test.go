package controller

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// slotsFromScratch builds the slots by a full scan over all workers and all attempts. slotCache
// must return the same.
func slotsFromScratch(l *leader, now types.MonoTime) (list []placement.Slot, total types.MilliCores) {
	v := l.view(now)
	position := map[types.Shard]int{}
	for _, worker := range l.scheduler.Workers() {
		if worker.State != protocol.WorkerHealthy {
			continue
		}
		total += worker.Capacity.Cores
		if worker.Departing || !worker.Healthy {
			continue
		}
		position[worker.Shard] = len(list)
		list = append(list, placement.Slot{
			Shard:                 worker.Shard,
			Rack:                  worker.Rack,
			Kinds:                 worker.Kinds,
			Labels:                worker.Labels,
			Free:                  worker.Capacity.Sub(worker.Shortfall),
			Capacity:              worker.Capacity,
			Unavailable:           worker.Shortfall,
			AvailableFor:          l.planner.slots.windows.of(v, worker).remaining,
			FailureRate:           worker.Reliability.FailureRate,
			DurationFactor:        worker.Reliability.RelativeDuration,
			CurrentDurationFactor: l.scheduler.Slowdown(worker),
			ProbeDue:              l.scheduler.ProbeDue(worker),
			TasksByStage:          map[types.StageID]int{},
		})
	}
	for _, assignment := range l.planner.rounds.assignments {
		if i, ok := position[assignment.Shard]; ok {
			stage := types.StageOf(assignment.ID.TaskNumber)
			if j := v.state.Jobs[assignment.ID.Job]; j != nil && !j.Ended() {
				list[i].Free = list[i].Free.Sub(j.Spec.Steps[stage.Step()].Resources)
			}
			list[i].RunningTasks++
			list[i].TasksByStage[types.StageID{Job: assignment.ID.Job, Stage: stage}]++
		}
	}
	for _, attempt := range l.scheduler.Attempts() {
		if i, ok := position[attempt.Shard]; ok {
			addAttempt(&list[i], attempt, l.ends.released[attempt.ID], now)
		}
	}
	return list, total
}

// addAttempt adds one attempt to a slot.
func addAttempt(slot *placement.Slot, attempt *scheduler.OutstandingAttempt, released bool, now types.MonoTime) {
	if !released {
		slot.Free = slot.Free.Sub(attempt.Resources)
		slot.RunningTasks++
	}
	if attempt.TimeLimit != 0 {
		slot.IdleIn = max(slot.IdleIn, attempt.TimeLimit-now.Sub(attempt.DispatchedAt))
	} else if attempt.Stage >= 0 && !released {
		slot.Unavailable = slot.Unavailable.Add(attempt.Resources)
	}
	if attempt.Stage >= 0 {
		slot.TasksByStage[types.StageID{Job: attempt.ID.Job, Stage: attempt.Stage}]++
	}
}

// slotRig is a leaderRig whose agents and attempts change at random.
type slotRig struct {
	*leaderRig
	rnd               *rand.Rand
	next              int
	outstandingOrders []types.AttemptID
}

func newSlotRig(seed int64) *slotRig {
	rnd := rand.New(rand.NewSource(seed))
	r := &slotRig{leaderRig: newLeaderRig(rnd), rnd: rnd}
	for i := range 5 {
		steps := []state.Step{
			{Name: "a", Resources: types.Resources{Cores: 1500, MemoryMB: 100}},
			{Name: "b", Resources: types.Resources{Cores: 500, MemoryMB: 900}},
		}
		id := types.JobID(fmt.Sprint("job-", i))
		r.log.state().Jobs[id] = &state.Job{ID: id, Status: state.JobOpen, Spec: &state.Spec{Steps: steps}}
	}
	return r
}

// randomAttempt returns a new attempt of a job, which may not exist, and a worker for it.
func (r *slotRig) randomAttempt() (types.AttemptID, types.Shard) {
	job := types.JobID(fmt.Sprint("job-", r.rnd.Intn(6)))
	task := types.TaskID{Job: job, TaskNumber: types.TaskNumber(0, r.rnd.Intn(2), r.rnd.Intn(8))}
	shard := r.agents[r.rnd.Intn(len(r.agents))].Shard
	r.next++
	return types.AttemptID{TaskID: task, Attempt: r.next}, shard
}

// randomChange makes a random change that affects placement.
func (r *slotRig) randomChange() {
	attempt, shard := r.randomAttempt()
	switch i := r.rnd.Intn(len(r.agents)); r.rnd.Intn(10) {
	case 0, 1, 2:
		expectation := scheduler.Expectation{BaselineName: "u"}
		r.scheduler.RunTask(shard, types.StageOf(attempt.TaskNumber), expectation, protocol.AttemptSpec{
			Attempt:     attempt,
			Resources:   types.Resources{Cores: types.MilliCores(r.rnd.Intn(3000)), MemoryMB: r.rnd.Intn(2000)},
			TimeLimitMS: r.rnd.Intn(3) * 1000,
		})
		r.outstandingOrders = append(r.outstandingOrders, attempt)
	case 3, 4:
		r.endRandomAttempts()
	case 5:
		if len(r.outstandingOrders) > 0 {
			r.release(r.outstandingOrders[r.rnd.Intn(len(r.outstandingOrders))])
		}
	case 6:
		r.planner.rounds.assignments[attempt.TaskID] = state.Assignment{ID: attempt, Shard: shard}
	case 7:
		r.planner.rounds.allApplied()
	case 8:
		agent := &r.agents[i]
		agent.Capacity.Cores = types.MilliCores(r.rnd.Intn(20_000))
		agent.Shortfall.Cores = types.MilliCores(r.rnd.Intn(500))
		agent.Departing = r.rnd.Intn(5) == 0
		agent.Healthy = r.rnd.Intn(5) > 0
		r.heartbeat(i)
	default:
		if r.rnd.Intn(20) == 0 { // another agent process, before which the account is unknown
			agent := &r.agents[i]
			agent.PreviousInstance, agent.Instance = agent.Instance, types.ID(fmt.Sprint("agent-", r.next))
		}
		r.advance(time.Duration(r.rnd.Intn(300)) * time.Millisecond)
		r.heartbeatAll()
	}
}

// endRandomAttempts commits the ends of up to three random attempts.
func (r *slotRig) endRandomAttempts() {
	orders := r.outstandingOrders
	r.rnd.Shuffle(len(orders), func(i, k int) { orders[i], orders[k] = orders[k], orders[i] })
	n := min(len(orders), r.rnd.Intn(4))
	var ends []state.AttemptEnd
	for _, attempt := range orders[:n] {
		ends = append(ends, state.AttemptEnd{ID: attempt, Outcome: state.OutcomeOK})
	}
	r.outstandingOrders = orders[n:]
	r.scheduler.OnEndsCommitted(ends)
	for _, end := range ends {
		r.ends.committed(end)
	}
}

// comparableSlot returns the fields of a slot in a comparable form. Task counts are read per stage,
// because slots may store them differently.
func comparableSlot(s *placement.Slot) []any {
	var counts []int
	for job := range 6 {
		for step := range 2 {
			id := types.JobID(fmt.Sprint("job-", job))
			stage := types.StageOf(types.TaskNumber(0, step, 0))
			counts = append(counts, s.TaskCount(types.StageID{Job: id, Stage: stage}))
		}
	}
	return []any{counts, s.Shard, s.Rack, s.Kinds, s.Labels, s.Free, s.Capacity, s.RunningTasks, s.FailureRate,
		s.DurationFactor, s.CurrentDurationFactor, s.ProbeDue, s.AvailableFor, s.IdleIn, s.Unavailable}
}

// After any sequence of changes, the cached slots equal those of a full scan, and placement has the
// same result with both.
func TestCachedSlotsEqualFullScan(t *testing.T) {
	is := is.New(t)
	placed, healthy := 0, 0
	for seed := range int64(12) {
		r := newSlotRig(seed)
		for range 400 {
			r.randomChange()
			if r.rnd.Intn(3) == 0 {
				continue
			}
			got, total := r.planner.slots.list(r.view(r.now), r.ends, &r.planner.rounds)
			want, wantTotal := slotsFromScratch(r.leader, r.now)
			is.Equal(total, wantTotal)
			is.Equal(len(got), len(want))
			for i := range got {
				is.Equal(comparableSlot(&got[i]), comparableSlot(&want[i]))
			}
			healthy += len(got)
			placed += len(placeOnBoth(is, got, want, total))
		}
	}
	t.Logf("%d slots compared, %d tasks placed", healthy, placed)
	is.True(healthy > 5000)
	is.True(placed > 5000)
}

// placeOnBoth places the same requests on both lists of slots and compares the results.
func placeOnBoth(is *is.I, got, want []placement.Slot, total types.MilliCores) []placement.Assignment {
	input := func(slots []placement.Slot) placement.Input {
		usage := &placement.QueueUsage{Queue: config.Queue{MaxRunning: 100, Weight: 1}}
		in := placement.Input{
			Slots:      slots,
			TotalCores: total,
			Usage:      map[types.QueueName]*placement.QueueUsage{"q": usage},
		}
		for job := range 3 {
			in.Requests = append(in.Requests, placement.Request{
				StageID: types.StageID{
					Job:   types.JobID(fmt.Sprint("job-", job)),
					Stage: types.StageOf(types.TaskNumber(0, 1, 0)),
				},
				Queue:        "q",
				Kind:         "x",
				Resources:    types.Resources{Cores: 1000 * types.MilliCores(1+job), MemoryMB: 100},
				Tasks:        []int{8, 9, 10},
				MaxPerWorker: 2 * (job % 2),
				TimeLimit:    time.Second,
				Gang:         job == 2,
			})
		}
		return in
	}
	a, b := placement.Place(input(got)), placement.Place(input(slices.Clone(want)))
	is.Equal(a, b)
	return a.Assignments
}
