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
	slack  = 150 * time.Millisecond // beyond a task's usual time
	behind = 1.8                    // times of it
)

// behind lists the second attempts that are wanted.
func (co *Controller) behind(holds []*dispatch.Hold) (wants []placement.Want) {
	for _, o := range holds {
		j := co.state.Jobs[o.Attempt.Job]
		if j == nil || j.State != state.Open || o.Stage < 0 {
			continue
		}
		p := &j.Spec.Steps[o.Stage.Step()]
		t := j.Task(o.Attempt.N)
		if !p.Copies || p.Gang || t == nil || t.Done || t.Copy != nil || t.On(o.Attempt.Attempt) == nil || !co.slow(o, p) {
			continue
		}
		wants = append(wants, placement.Want{Part: placement.Part{Job: j.ID, Stage: o.Stage}, Queue: j.Queue, Urgency: j.Spec.Urgency,
			Kind: p.Kind, Rack: p.Rack, Labels: p.Labels, Room: p.Room, Spread: p.Spread, Near: p.Near,
			Tasks: []int{o.Attempt.N}, Long: co.limit(j, o.Stage), Shun: map[types.Shard]bool{o.Shard: true}})
	}
	return
}

// copies places second attempts in what the round has left.
func (co *Controller) copies(in placement.Input, wants []placement.Want) (attempts []state.Assignment) {
	if wants == nil {
		return nil
	}
	in.Wants, in.Kept = wants, nil
	for _, p := range placement.Place(in).Picks {
		t := co.state.Jobs[p.Task.Job].Task(p.Task.N)
		if t.Out.Shard != p.Shard {
			attempts = append(attempts, state.Assignment{Attempt: types.Attempt{Task: p.Task, Attempt: t.Attempt + 1}, Shard: p.Shard, Copy: true})
		}
	}
	return
}

// slow tells whether an attempt is far behind its like, or its worker out of reach.
func (co *Controller) slow(o *dispatch.Hold, p *state.Step) bool {
	if s := co.scheduler.Seat(o.Shard); s == nil || s.State != dispatch.Healthy || !s.Healthy {
		return true
	}
	if o.Late > co.now.Mono {
		return true
	}
	usual := time.Duration(p.Estimate) * time.Millisecond
	if u, ok := co.scheduler.Usual(o.Usual); ok {
		usual = max(usual, u)
	}
	return usual > 0 && co.now.Mono.Sub(o.At) > time.Duration(behind*float64(usual))+slack
}
