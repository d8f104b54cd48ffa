package controller

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// slotsFromScratch is the full scan over all workers and all attempts that slotCache must
// agree with.
func slotsFromScratch(l *leader, now types.MonoTime) (list []placement.Slot, total types.MilliCores) {
	v := l.view(now)
	at := map[types.Shard]int{}
	for _, s := range l.scheduler.Workers() {
		if s.State != protocol.WorkerHealthy {
			continue
		}
		total += s.Capacity.Cores
		if !s.Draining && s.Healthy {
			till := l.planner.slots.windows.of(v, s).remaining
			at[s.Shard] = len(list)
			list = append(list, placement.Slot{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Labels: s.Labels, Free: s.Capacity.Sub(s.Shortfall), Capacity: s.Capacity, AvailableFor: till,
				FailureRate: s.Reliability.FailureRate, DurationFactor: s.Reliability.RelativeDuration, CurrentDurationFactor: l.scheduler.Slowdown(s), TasksByGroup: map[placement.TaskGroup]int{}})
		}
	}
	for _, g := range l.planner.rounds.assignments {
		if i, ok := at[g.Shard]; ok {
			stage := types.StageOf(g.ID.Number)
			if j := v.state.Jobs[g.ID.Job]; j != nil && !j.Ended() {
				list[i].Free = list[i].Free.Sub(j.Spec.Steps[stage.Step()].Resources)
			}
			list[i].RunningTasks++
			list[i].TasksByGroup[placement.TaskGroup{Job: g.ID.Job, Stage: stage}]++
		}
	}
	for _, o := range l.scheduler.Attempts() {
		i, ok := at[o.Shard]
		if !ok {
			continue
		}
		x := &list[i]
		if !l.ends.released[o.Attempt] {
			x.Free = x.Free.Sub(o.Resources)
			x.RunningTasks++
		}
		left := time.Hour
		if o.TimeLimit != 0 {
			left = max(0, o.TimeLimit-now.Sub(o.OrderedAt))
		}
		x.IdleIn = max(x.IdleIn, left)
		if o.Stage >= 0 {
			x.TasksByGroup[placement.TaskGroup{Job: o.Attempt.Job, Stage: o.Stage}]++
		}
	}
	return list, total
}

// calledWorkers is a cluster of workers that are called, whose log records no end.
type calledWorkers struct{}

func (calledWorkers) UnresolvedAttempts(types.Shard) []types.AttemptID { return nil }
func (calledWorkers) ZonePartitioned(types.Shard) bool                 { return false }
func (calledWorkers) CalledByAgent(types.Shard) bool                   { return true }
func (calledWorkers) EndRecorded(state.AttemptEnd) bool                { return false }

// leaderRig is the leader's part of a controller, with agents that come, tell of themselves,
// and are given attempts, at random.
type leaderRig struct {
	*leader
	now               types.MonoTime
	rnd               *rand.Rand
	agents            []protocol.Heartbeat
	next              int
	outstandingOrders []types.AttemptID
}

func newLeaderRig(seed int64) *leaderRig {
	rnd := rand.New(rand.NewSource(seed))
	now := types.Now{Mono: types.MonoTime(time.Hour), Wall: types.WallTime(time.Hour)}
	h := New(now, rnd, Options{Addr: "h1", RaftTimeouts: raft.DefaultTimeouts, DispatchTimeouts: protocol.DefaultTimeouts}, nil).leader
	l := &leaderRig{leader: h, now: now.Mono, rnd: rnd}
	h.scheduler = scheduler.New(now.Mono, scheduler.Config{
		Timeouts:          protocol.DefaultTimeouts,
		Addr:              "h1",
		Term:              1,
		PriorAuthorityEnd: now.Mono,
		Cluster:           calledWorkers{},
	})
	for i := range 5 {
		id := types.JobID(fmt.Sprint("job-", i))
		h.log.state().Jobs[id] = &state.Job{ID: id, Status: state.JobOpen, Spec: &state.Spec{Steps: []state.Step{
			{Name: "a", Resources: types.Resources{Cores: 1500, MemoryMB: 100}}, {Name: "b", Resources: types.Resources{Cores: 500, MemoryMB: 900}}}}}
	}
	for i := range 6 {
		shard := types.Shard(fmt.Sprint("k", i))
		l.agents = append(l.agents, protocol.Heartbeat{Shard: shard, Instance: types.ID("agent-" + shard), WorkerReport: protocol.WorkerReport{Rack: "r1",
			Kinds: []types.ServiceKind{"x"}, Capacity: types.Resources{Cores: 16_000, MemoryMB: 32_000}, Healthy: true, CalledByAgent: true}})
	}
	for range 4 { // until all agree on the worker set
		for i := range l.agents {
			l.heartbeat(i)
		}
	}
	return l
}

func (l *leaderRig) advance(d time.Duration) {
	l.now = l.now.Add(d)
	l.scheduler.Tick(l.now, time.Minute)
}

func (l *leaderRig) deliver(kind wire.Kind, body any) {
	l.scheduler.HandleMessage(l.now, time.Minute, wire.NewMessage("a", "h1", kind, body).Message)
}

// heartbeat has an agent tell of itself, and take in what it is answered.
func (l *leaderRig) heartbeat(i int) {
	l.advance(time.Millisecond)
	b := &l.agents[i]
	b.SentAt = l.now
	l.deliver(wire.Heartbeat, *b)
	sends, _ := l.scheduler.TakeOutput()
	for _, s := range sends {
		switch s.Message.Kind {
		case wire.RunningTasksQuery:
			l.deliver(wire.RunningTasksReply, protocol.RunningTasksReply{Term: 1, Shard: b.Shard, Instance: b.Instance, Complete: true})
		case wire.HeartbeatReply:
			if r, ok := wire.DecodeBody[protocol.HeartbeatReply](s.Message); ok {
				b.WorkerSet = r.WorkerSet
			}
		}
	}
}

// change does something at random that placement must take note of.
func (l *leaderRig) change() {
	attempt := types.AttemptID{TaskID: types.TaskID{Job: types.JobID(fmt.Sprint("job-", l.rnd.Intn(6))), Number: types.TaskNumber(0, l.rnd.Intn(2), l.rnd.Intn(8))}, Attempt: l.next}
	shard := l.agents[l.rnd.Intn(len(l.agents))].Shard
	l.next++
	switch i := l.rnd.Intn(len(l.agents)); l.rnd.Intn(10) {
	case 0, 1, 2:
		l.scheduler.RunTask(shard, types.StageOf(attempt.Number), "u", protocol.AttemptSpec{Attempt: attempt, Resources: types.Resources{Cores: types.MilliCores(l.rnd.Intn(3000)), MemoryMB: l.rnd.Intn(2000)},
			TimeLimitMS: l.rnd.Intn(3) * 1000})
		l.outstandingOrders = append(l.outstandingOrders, attempt)
	case 3, 4:
		l.settleSome()
	case 5:
		if len(l.outstandingOrders) > 0 {
			l.release(l.outstandingOrders[l.rnd.Intn(len(l.outstandingOrders))])
		}
	case 6:
		l.planner.rounds.assignments[attempt.TaskID] = state.Assignment{ID: attempt, Shard: shard}
	case 7:
		l.planner.rounds.landed()
	case 8:
		b := &l.agents[i]
		b.Capacity.Cores, b.Shortfall.Cores, b.Draining, b.Healthy = types.MilliCores(l.rnd.Intn(20_000)), types.MilliCores(l.rnd.Intn(500)), l.rnd.Intn(5) == 0, l.rnd.Intn(5) > 0
		l.heartbeat(i)
	default:
		if l.rnd.Intn(20) == 0 { // another agent process, before which the account is unknown
			l.agents[i].PreviousInstance, l.agents[i].Instance = l.agents[i].Instance, types.ID(fmt.Sprint("agent-", l.next))
		}
		l.advance(time.Duration(l.rnd.Intn(300)) * time.Millisecond)
		for i := range l.agents {
			l.heartbeat(i)
		}
	}
}

// settleSome lets some attempts end in the log.
func (l *leaderRig) settleSome() {
	l.rnd.Shuffle(len(l.outstandingOrders), func(i, k int) {
		l.outstandingOrders[i], l.outstandingOrders[k] = l.outstandingOrders[k], l.outstandingOrders[i]
	})
	n := min(len(l.outstandingOrders), l.rnd.Intn(4))
	var ends []state.AttemptEnd
	for _, attempt := range l.outstandingOrders[:n] {
		ends = append(ends, state.AttemptEnd{ID: attempt, Outcome: state.OutcomeOK})
	}
	l.outstandingOrders = l.outstandingOrders[n:]
	l.scheduler.OnEndsCommitted(ends)
	for _, end := range ends {
		l.ends.committed(end)
	}
}

// counts gives how many tasks of each part are on a slot.
func (l *leaderRig) counts(s *placement.Slot) (list []int) {
	for job := range 6 {
		for step := range 2 {
			list = append(list, s.TaskCount(placement.TaskGroup{Job: types.JobID(fmt.Sprint("job-", job)), Stage: types.StageOf(types.TaskNumber(0, step, 0))}))
		}
	}
	return
}

// Whatever happens, slots kept from round to round are those of the full scan, and
// placement comes to the same with both.
func TestKeptSlotsAreThoseOfAFullScan(t *testing.T) {
	is := is.New(t)
	placed, healthy := 0, 0
	for seed := range int64(12) {
		l := newLeaderRig(seed)
		for range 400 {
			l.change()
			if l.rnd.Intn(3) == 0 {
				continue
			}
			got, total := l.planner.slots.list(l.view(l.now), l.ends, &l.planner.rounds)
			want, wantTotal := slotsFromScratch(l.leader, l.now)
			is.Equal(total, wantTotal)
			is.Equal(len(got), len(want))
			for i := range got {
				is.Equal(l.counts(&got[i]), l.counts(&want[i]))
				a, b := got[i], want[i]
				is.Equal([]any{a.Shard, a.Rack, a.Kinds, a.Labels, a.Free, a.Capacity, a.RunningTasks, a.FailureRate, a.DurationFactor, a.CurrentDurationFactor, a.AvailableFor, a.IdleIn},
					[]any{b.Shard, b.Rack, b.Kinds, b.Labels, b.Free, b.Capacity, b.RunningTasks, b.FailureRate, b.DurationFactor, b.CurrentDurationFactor, b.AvailableFor, b.IdleIn})
			}
			healthy += len(got)
			placed += len(l.placeBoth(is, got, want, total))
		}
	}
	t.Logf("%d slots compared, %d tasks placed", healthy, placed)
	is.True(healthy > 5000)
	is.True(placed > 5000)
}

// placeBoth places the same wants on both lists of slots.
func (l *leaderRig) placeBoth(is *is.I, got, want []placement.Slot, total types.MilliCores) []placement.Assignment {
	input := func(slots []placement.Slot) placement.Input {
		in := placement.Input{Slots: slots, TotalCores: total, Usage: map[types.QueueName]*placement.QueueUsage{"q": {}}}
		in.Usage["q"].Queue.MaxRunning, in.Usage["q"].Queue.Weight = 100, 1
		for job := range 3 {
			in.Requests = append(in.Requests, placement.Request{TaskGroup: placement.TaskGroup{Job: types.JobID(fmt.Sprint("job-", job)), Stage: types.StageOf(types.TaskNumber(0, 1, 0))}, Queue: "q", Kind: "x",
				Resources: types.Resources{Cores: 1000 * types.MilliCores(1+job), MemoryMB: 100}, Tasks: []int{8, 9, 10}, MaxPerWorker: 2 * (job % 2), TimeLimit: time.Second, Gang: job == 2})
		}
		return in
	}
	a, b := placement.Place(input(got)), placement.Place(input(slices.Clone(want)))
	is.Equal(a, b)
	return a.Assignments
}
