// The leader's placing of work: what waits and may start, where there is room,
// attempts given out in the log, and orders sent once that is committed. One round
// is in the log at a time, so nothing is given out twice.
package controller

import (
	"slices"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	maxOffsetDisagreement = types.WallTime(50 * time.Millisecond)
	minOffsetChange       = types.WallTime(20 * time.Millisecond)

	maxRoundsInFlight = 4                  // that are on their way into the log at once
	unlimitedDuration = 10_000 * time.Hour // what lasts fits before no window

	assumedUnlimitedRemainder = time.Hour // how long what has no limit is taken to run on
)

func (co *Controller) placeWork() {
	var doomed []types.AttemptID
	var spent []state.AttemptEnd
	for _, j := range co.state.LiveJobs() {
		x := co.state.ReadyIndex(j, co.raft.Clock())
		doomed, spent = append(doomed, x.ToStop...), append(spent, x.Exhausted...)
	}
	co.proposeEnds(spent)
	co.scheduler.KillTasks(append(doomed, co.scheduler.UnknownAttempts()...), co.beyondTimeLimit())
	if !co.raft.HoldsReadLease() || co.shuttingDown {
		return
	}
	co.proposeWorkerShapes()
	co.proposeWallOffset()
	if co.lastRound > co.applied {
		co.placeWhileInFlight()
		return
	}
	clear(co.assignmentsInFlight)
	evictions, speculative := co.reviewAttempts()
	if co.scheduler.InInitialWait() {
		co.proposeRound(nil, evictions)
		return
	}
	in := placement.Input{Reservation: co.reservation}
	in.Requests, in.Usage = co.pendingWork()
	if len(in.Requests) == 0 {
		co.reservation, co.readySince = nil, nil
	}
	if len(in.Requests)+len(speculative) == 0 {
		co.proposeRound(nil, evictions)
		return
	}
	in.Slots, in.TotalCores = co.slots.list(co)
	var attempts []state.Assignment
	if len(in.Requests) > 0 {
		co.updateWaitTimes(in.Requests)
		co.limitLongWork(in)
		out := placement.Place(in)
		co.reservation = out.Reservation
		attempts = co.numberAttempts(out.Assignments)
	}
	attempts = append(attempts, co.placeSpeculative(in, speculative)...)
	if attempts == nil && evictions == nil && co.reservation == nil {
		evictions, co.reservation = co.preempt(in)
	}
	co.proposeRound(attempts, evictions)
}

// placeWhileInFlight gives out work while an earlier round is on its way into the log.
func (co *Controller) placeWhileInFlight() {
	co.roundsInFlight = slices.DeleteFunc(co.roundsInFlight, func(i types.Index) bool { return i <= co.applied })
	if co.scheduler.InInitialWait() || len(co.roundsInFlight) >= maxRoundsInFlight || co.reservation != nil {
		return
	}
	var in placement.Input
	if in.Requests, in.Usage = co.pendingWork(); len(in.Requests) == 0 {
		return
	}
	in.Slots, in.TotalCores = co.slots.list(co)
	co.updateWaitTimes(in.Requests)
	co.limitLongWork(in)
	co.proposeRound(co.numberAttempts(placement.Place(in).Assignments), nil)
}

// numberAttempts gives each placement its attempt's number; the members of a gang get the
// same.
func (co *Controller) numberAttempts(picks []placement.Assignment) (attempts []state.Assignment) {
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
		delete(co.readySince, placement.TaskGroup{Job: p.Task.Job, Stage: at})
	}
	return
}

// proposeRound puts a round into the log; the next waits until it is applied.
func (co *Controller) proposeRound(attempts []state.Assignment, evictions []state.Withdrawal) {
	if attempts == nil && evictions == nil {
		return
	}
	if i, ok := co.propose(state.Command{Assignments: attempts, Withdrawals: evictions}); ok {
		co.lastRound = i
		co.roundsInFlight = append(co.roundsInFlight, i)
		for _, g := range attempts {
			co.assignmentsInFlight[g.ID.TaskID] = g
		}
	}
}

// pendingWork lists what may start now, and what each queue has in use. The list holds until
// the next one is made.
func (co *Controller) pendingWork() (list []placement.Request, dues map[types.QueueName]*placement.QueueUsage) {
	list = co.workBuffer[:0]
	defer func() { co.workBuffer = list }()
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
			if b.Tasks = co.withoutInFlight(j, b, d); len(b.Tasks) == 0 {
				continue
			}
			p := j.Spec.Steps[b.Stage.Step()]
			timeLimit := co.timeLimit(j, b.Stage)
			if p.AlwaysRestart {
				timeLimit = unlimitedDuration
			}
			class, turn, spare := co.rank(j, d.Queue, x, b)
			list = append(list, placement.Request{TaskGroup: placement.TaskGroup{Job: j.ID, Stage: b.Stage}, Queue: j.Queue, Urgency: j.Spec.Urgency,
				Kind: p.Kind, Rack: p.Rack, Labels: p.Labels, Resources: p.Resources, MaxPerWorker: p.MaxPerWorker, Gang: p.Gang, Tasks: b.Tasks, TimeLimit: timeLimit, AvoidWorkers: b.AvoidWorkers,
				Class: class, SortKey: turn, HeadroomPercent: spare, JobIdle: x.OutstandingAttempts == 0, DataRack: p.DataRack, PreferOneRack: p.PreferOneRack})
		}
	}
	return
}

// withoutInFlight is what of a batch is not on its way into the log; what is counts as in use.
func (co *Controller) withoutInFlight(j *state.Job, b state.ReadyStage, d *placement.QueueUsage) (list []int) {
	if len(co.assignmentsInFlight) == 0 {
		return b.Tasks
	}
	for _, n := range b.Tasks {
		if _, ok := co.assignmentsInFlight[types.TaskID{Job: j.ID, Number: n}]; !ok {
			list = append(list, n)
			continue
		}
		d.RunningTasks++
		d.CoresInUse += j.Spec.Steps[b.Stage.Step()].Resources.Cores
	}
	return
}

// sendOrders sends the attempts that the log has just given out.
func (co *Controller) sendOrders(attempts []state.Assignment) {
	for _, g := range attempts {
		j := co.state.Jobs[g.ID.Job]
		at := types.StageOf(g.ID.Number)
		p := j.Spec.Steps[at.Step()]
		co.Counters.Orders++
		co.scheduler.RunTask(g.Shard, at, durationKey(j, at), protocol.AttemptSpec{Attempt: g.ID, Kind: p.Kind, Rack: p.Rack, Resources: p.Resources,
			TimeLimitMS: int(co.timeLimit(j, at).Milliseconds()), Labels: p.Labels, Checkpoint: j.Task(g.ID.Number).Checkpoint, Input: j.Spec.StepWork(at.Step())})
	}
}

// durationKey names what an attempt's time is compared with.
func durationKey(j *state.Job, at types.Stage) string {
	return string(j.Queue) + "/" + j.Spec.Steps[at.Step()].Name
}

// timeLimit is how long an attempt of a step may take by the table in force; what lasts
// has none.
func (co *Controller) timeLimit(j *state.Job, at types.Stage) time.Duration {
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

// proposeWorkerShapes keeps in the log what the workers are made of.
func (co *Controller) proposeWorkerShapes() {
	if co.shapesIndex > co.applied {
		return
	}
	var list []state.WorkerShape
	for _, s := range co.scheduler.Workers() {
		x := state.WorkerShape{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Resources: s.Capacity, Labels: s.Labels, CalledByAgent: s.CalledByAgent}
		y, ok := co.state.WorkerShapes[s.Shard]
		if s.Capacity.Cores == 0 && ok {
			continue // an agent that has not heard its worker yet
		}
		if s.State != protocol.WorkerNew && (!ok || y.Rack != x.Rack || y.Resources != x.Resources || y.CalledByAgent != x.CalledByAgent ||
			!slices.Equal(y.Kinds, x.Kinds) || !slices.Equal(y.Labels, x.Labels)) {
			list = append(list, x)
		}
	}
	if list != nil {
		co.shapesIndex, _ = co.propose(state.Command{WorkerShapes: list})
	}
}

// proposeWallOffset keeps the offset from the cluster's clock to the wall clocks. Only two
// voters that agree closely move it, so one clock that jumps moves nothing; of
// the two the offset that lets nothing start early is taken.
func (co *Controller) proposeWallOffset() {
	if co.now.Mono.Sub(co.offsetCheckedAt) < time.Second {
		return
	}
	co.offsetCheckedAt = co.now.Mono
	offsets := co.raft.WallOffsets()
	for i := 0; i+1 < len(offsets); i++ {
		if offsets[i+1]-offsets[i] > maxOffsetDisagreement {
			continue
		}
		if d := offsets[i] - co.state.WallOffset; d > minOffsetChange || d < -minOffsetChange {
			co.propose(state.Command{WallOffset: &offsets[i]})
		}
		return
	}
}
