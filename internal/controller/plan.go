// The leader's placing of work: what waits and may start, where there is room,
// attempts given out in the log, and orders sent once that is committed. One round
// is in the log at a time, so nothing is given out twice.
package controller

import (
	"slices"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	near   = types.WallTime(50 * time.Millisecond)
	astray = types.WallTime(20 * time.Millisecond)

	rounds  = 4                  // that are on their way into the log at once
	endless = 10_000 * time.Hour // what lasts fits before no window

	endlessRest = time.Hour // how long what has no limit is taken to run on
)

func (co *Controller) plan() {
	var doom []types.AttemptID
	var spent []state.AttemptEnd
	for _, j := range co.state.LiveJobs() {
		x := co.state.ReadyIndex(j, co.raft.Clock())
		doom, spent = append(doom, x.ToStop...), append(spent, x.Exhausted...)
	}
	co.propose(spent)
	co.scheduler.KillTasks(append(doom, co.scheduler.UnknownAttempts()...), co.overtime())
	if !co.raft.HoldsReadLease() || co.drain {
		return
	}
	co.shapes()
	co.times()
	if co.giving > co.applied {
		co.more()
		return
	}
	clear(co.given)
	backs, more := co.reviewAttempts()
	if co.scheduler.InInitialWait {
		co.give(nil, backs)
		return
	}
	in := placement.Input{Reservation: co.kept}
	in.Requests, in.Usage = co.wants()
	if len(in.Requests) == 0 {
		co.kept, co.waited = nil, nil
	}
	if len(in.Requests)+len(more) == 0 {
		co.give(nil, backs)
		return
	}
	in.Slots, in.TotalCores = co.slots.list(co)
	var attempts []state.Assignment
	if len(in.Requests) > 0 {
		co.ages(in.Requests)
		co.caps(in)
		out := placement.Place(in)
		co.kept = out.Reservation
		attempts = co.number(out.Assignments)
	}
	attempts = append(attempts, co.copies(in, more)...)
	if attempts == nil && backs == nil && co.kept == nil {
		backs, co.kept = co.displace(in)
	}
	co.give(attempts, backs)
}

// more gives out work while an earlier round is on its way into the log.
func (co *Controller) more() {
	co.rounds = slices.DeleteFunc(co.rounds, func(i types.Index) bool { return i <= co.applied })
	if co.scheduler.InInitialWait || len(co.rounds) >= rounds || co.kept != nil {
		return
	}
	var in placement.Input
	if in.Requests, in.Usage = co.wants(); len(in.Requests) == 0 {
		return
	}
	in.Slots, in.TotalCores = co.slots.list(co)
	co.ages(in.Requests)
	co.caps(in)
	co.give(co.number(placement.Place(in).Assignments), nil)
}

// number gives each placement its attempt's number; the members of a gang get the
// same.
func (co *Controller) number(picks []placement.Assignment) (attempts []state.Assignment) {
	for _, p := range picks {
		j := co.state.Jobs[p.Task.Job]
		at := types.StageOf(p.Task.Number)
		attempt := j.Task(p.Task.Number).LastAttempt + 1
		if j.Spec.Steps[at.Step()].Gang {
			for _, m := range j.StageTasks(at) {
				attempt = max(attempt, m.LastAttempt+1)
			}
		}
		attempts = append(attempts, state.Assignment{ID: types.AttemptID{TaskID: p.Task, Attempt: attempt}, Shard: p.Shard})
		delete(co.waited, placement.TaskGroup{Job: p.Task.Job, Stage: at})
	}
	return
}

// give puts a round into the log; the next waits until it is applied.
func (co *Controller) give(attempts []state.Assignment, backs []state.Withdrawal) {
	if attempts == nil && backs == nil {
		return
	}
	if i, ok := co.fact(state.Command{Assignments: attempts, Withdrawals: backs}); ok {
		co.giving = i
		co.rounds = append(co.rounds, i)
		for _, g := range attempts {
			co.given[g.ID.TaskID] = g
		}
	}
}

// wants lists what may start now, and what each queue has in use. The list holds until
// the next one is made.
func (co *Controller) wants() (list []placement.Request, dues map[types.QueueName]*placement.QueueUsage) {
	list = co.wanted[:0]
	defer func() { co.wanted = list }()
	dues = map[types.QueueName]*placement.QueueUsage{}
	for q, r := range co.state.RemovedQueues {
		dues[q] = &placement.QueueUsage{Queue: r}
	}
	for _, r := range co.state.Table.Queues {
		dues[r.Name] = &placement.QueueUsage{Queue: r}
	}
	now := co.raft.Clock()
	for _, j := range co.state.LiveJobs() {
		d := dues[j.Queue]
		if d == nil {
			continue
		}
		x := co.state.ReadyIndex(j, now)
		d.RunningTasks += x.OutstandingAttempts
		d.CoresInUse += x.CoresInUse
		for _, b := range x.Stages {
			if b.Tasks = co.unsent(j, b, d); len(b.Tasks) == 0 {
				continue
			}
			p := j.Spec.Steps[b.Stage.Step()]
			long := co.limit(j, b.Stage)
			if p.AlwaysRestart {
				long = endless
			}
			class, turn, spare := co.aim(j, d.Queue, x, b)
			list = append(list, placement.Request{TaskGroup: placement.TaskGroup{Job: j.ID, Stage: b.Stage}, Queue: j.Queue, Urgency: j.Spec.Urgency,
				Kind: p.Kind, Rack: p.Rack, Labels: p.Labels, Resources: p.Resources, MaxPerWorker: p.MaxPerWorker, Gang: p.Gang, Tasks: b.Tasks, TimeLimit: long, AvoidWorkers: b.AvoidWorkers,
				Class: class, SortKey: turn, HeadroomPercent: spare, JobIdle: x.OutstandingAttempts == 0, DataRack: p.DataRack, PreferOneRack: p.PreferOneRack})
		}
	}
	return
}

// unsent is what of a batch is not on its way into the log; what is counts as in use.
func (co *Controller) unsent(j *state.Job, b state.ReadyStage, d *placement.QueueUsage) (list []int) {
	if len(co.given) == 0 {
		return b.Tasks
	}
	for _, n := range b.Tasks {
		if _, ok := co.given[types.TaskID{Job: j.ID, Number: n}]; !ok {
			list = append(list, n)
			continue
		}
		d.RunningTasks++
		d.CoresInUse += j.Spec.Steps[b.Stage.Step()].Resources.Cores
	}
	return
}

// order sends the attempts that the log has just given out.
func (co *Controller) order(attempts []state.Assignment) {
	for _, g := range attempts {
		j := co.state.Jobs[g.ID.Job]
		at := types.StageOf(g.ID.Number)
		p := j.Spec.Steps[at.Step()]
		co.Sums.Orders++
		co.scheduler.RunTask(g.Shard, at, usual(j, at), dispatch.AttemptSpec{Attempt: g.ID, Kind: p.Kind, Rack: p.Rack, Resources: p.Resources,
			TimeLimitMS: int(co.limit(j, at).Milliseconds()), Labels: p.Labels, Checkpoint: j.Task(g.ID.Number).Checkpoint, Input: j.Spec.StepWork(at.Step())})
	}
}

// usual names what an attempt's time is compared with.
func usual(j *state.Job, at types.Stage) string {
	return string(j.Queue) + "/" + j.Spec.Steps[at.Step()].Name
}

// limit is how long an attempt of a step may take by the table in force; what lasts
// has none.
func (co *Controller) limit(j *state.Job, at types.Stage) time.Duration {
	p := &j.Spec.Steps[at.Step()]
	if p.AlwaysRestart {
		return 0
	}
	row, ok := co.state.QueueConfig(j.Queue)
	own := time.Duration(p.TimeLimitMillis) * time.Millisecond
	if ok && (own == 0 || own > row.TaskTimeout()) {
		return row.TaskTimeout()
	}
	return own
}

// shapes keeps in the log what the workers are made of.
func (co *Controller) shapes() {
	if co.shaped > co.applied {
		return
	}
	var list []state.WorkerShape
	for _, s := range co.scheduler.Workers() {
		x := state.WorkerShape{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Resources: s.Capacity, Labels: s.Labels, CalledByAgent: s.Invoked}
		y, ok := co.state.WorkerShapes[s.Shard]
		if s.Capacity.Cores == 0 && ok {
			continue // an agent that has not heard its worker yet
		}
		if s.State != dispatch.New && (!ok || y.Rack != x.Rack || y.Resources != x.Resources || y.CalledByAgent != x.CalledByAgent ||
			!slices.Equal(y.Kinds, x.Kinds) || !slices.Equal(y.Labels, x.Labels)) {
			list = append(list, x)
		}
	}
	if list != nil {
		co.shaped, _ = co.fact(state.Command{WorkerShapes: list})
	}
}

// times keeps the offset from the cluster's clock to the wall clocks. Only two
// voters that agree closely move it, so one clock that jumps moves nothing; of
// the two the offset that lets nothing start early is taken.
func (co *Controller) times() {
	if co.now.Mono.Sub(co.timed) < time.Second {
		return
	}
	co.timed = co.now.Mono
	offs := co.raft.WallOffsets()
	for i := 0; i+1 < len(offs); i++ {
		if offs[i+1]-offs[i] > near {
			continue
		}
		if d := offs[i] - co.state.WallOffset; d > astray || d < -astray {
			co.fact(state.Command{WallOffset: &offs[i]})
		}
		return
	}
}
