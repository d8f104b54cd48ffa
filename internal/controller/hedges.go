// Second attempts: where a step allows that its tasks run twice, one that takes far
// longer than its like, or whose worker has fallen silent, gets a copy elsewhere, in
// room that nothing else wants. Whichever ends well first counts; the other is stopped.
package controller

import (
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	stragglerMargin = 150 * time.Millisecond // beyond a task's usual time
	stragglerFactor = 1.8                    // times of it
)

// speculationCandidates lists the second attempts that are wanted.
func (co *Controller) speculationCandidates(holds []*dispatch.OutstandingAttempt) (wants []placement.Request) {
	for _, o := range holds {
		j := co.log.state().Jobs[o.Attempt.Job]
		if j == nil || j.Status != state.JobOpen || o.Stage < 0 {
			continue
		}
		p := &j.Spec.Steps[o.Stage.Step()]
		t := j.Task(o.Attempt.Number)
		if !p.AllowHedge || p.Gang || t == nil || t.Done || t.Hedge != nil || t.FindOutstanding(o.Attempt.Attempt) == nil || !co.isStraggler(o, p) {
			continue
		}
		wants = append(wants, placement.Request{TaskGroup: placement.TaskGroup{Job: j.ID, Stage: o.Stage}, Queue: j.Queue, Urgency: j.Spec.Urgency,
			Kind: p.Kind, Rack: p.Rack, Labels: p.Labels, Resources: p.Resources, MaxPerWorker: p.MaxPerWorker, DataRack: p.DataRack,
			Tasks: []int{o.Attempt.Number}, TimeLimit: co.timeLimit(j, o.Stage), AvoidWorkers: map[types.Shard]bool{o.Shard: true}})
	}
	return
}

// placeSpeculative places second attempts in what the round has left.
func (co *Controller) placeSpeculative(in placement.Input, wants []placement.Request) (attempts []state.Assignment) {
	if wants == nil {
		return nil
	}
	in.Requests, in.Reservation = wants, nil
	for _, p := range placement.Place(in).Assignments {
		t := co.log.state().Jobs[p.Task.Job].Task(p.Task.Number)
		if t.Primary.Shard != p.Shard {
			attempts = append(attempts, state.Assignment{ID: types.AttemptID{TaskID: p.Task, Attempt: t.LastAttempt + 1}, Shard: p.Shard, Hedge: true})
		}
	}
	return
}

// isStraggler tells whether an attempt is far behind its like, or its worker out of reach.
func (co *Controller) isStraggler(o *dispatch.OutstandingAttempt, p *state.Step) bool {
	if s := co.scheduler.Worker(o.Shard); s == nil || s.State != dispatch.Healthy || !s.Healthy {
		return true
	}
	if o.StragglerEnd > co.now.Mono {
		return true
	}
	usual := time.Duration(p.EstimateMillis) * time.Millisecond
	if u, ok := co.scheduler.BaselineDuration(o.BaselineName); ok {
		usual = max(usual, u)
	}
	return usual > 0 && co.now.Mono.Sub(o.OrderedAt) > time.Duration(stragglerFactor*float64(usual))+stragglerMargin
}
