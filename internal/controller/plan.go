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
	near   = types.Wall(50 * time.Millisecond)
	astray = types.Wall(20 * time.Millisecond)

	rounds  = 4                  // that are on their way into the log at once
	endless = 10_000 * time.Hour // what lasts fits before no window

	endlessRest = time.Hour // how long what has no limit is taken to run on
)

func (h *Controller) plan() {
	var doom []types.Attempt
	var spent []state.End
	for _, j := range h.state.Live() {
		x := h.state.ReadyIndex(j, h.raft.Clock())
		doom, spent = append(doom, x.Doomed...), append(spent, x.Spent...)
	}
	h.propose(spent)
	h.scheduler.Halt(append(doom, h.scheduler.Strays()...), h.overtime())
	if !h.raft.HoldsLease() || h.drain {
		return
	}
	h.shapes()
	h.times()
	if h.giving > h.applied {
		h.more()
		return
	}
	clear(h.given)
	backs, more := h.reviewAttempts()
	if h.scheduler.Wait {
		h.give(nil, backs)
		return
	}
	in := placement.Input{Kept: h.kept}
	in.Wants, in.Dues = h.wants()
	if len(in.Wants) == 0 {
		h.kept, h.waited = nil, nil
	}
	if len(in.Wants)+len(more) == 0 {
		h.give(nil, backs)
		return
	}
	in.Slots, in.Total = h.slots.list(h)
	var attempts []state.Assignment
	if len(in.Wants) > 0 {
		h.ages(in.Wants)
		h.caps(in)
		out := placement.Place(in)
		h.kept = out.Kept
		attempts = h.number(out.Picks)
	}
	attempts = append(attempts, h.copies(in, more)...)
	if attempts == nil && backs == nil && h.kept == nil {
		backs, h.kept = h.displace(in)
	}
	h.give(attempts, backs)
}

// more gives out work while an earlier round is on its way into the log.
func (h *Controller) more() {
	h.rounds = slices.DeleteFunc(h.rounds, func(i types.Index) bool { return i <= h.applied })
	if h.scheduler.Wait || len(h.rounds) >= rounds || h.kept != nil {
		return
	}
	var in placement.Input
	if in.Wants, in.Dues = h.wants(); len(in.Wants) == 0 {
		return
	}
	in.Slots, in.Total = h.slots.list(h)
	h.ages(in.Wants)
	h.caps(in)
	h.give(h.number(placement.Place(in).Picks), nil)
}

// number gives each placement its attempt's number; the members of a gang get the
// same.
func (h *Controller) number(picks []placement.Pick) (attempts []state.Assignment) {
	for _, p := range picks {
		j := h.state.Jobs[p.Task.Job]
		at := types.StageOf(p.Task.N)
		attempt := j.Task(p.Task.N).Attempt + 1
		if j.Spec.Steps[at.Step()].Gang {
			for _, m := range j.Part(at) {
				attempt = max(attempt, m.Attempt+1)
			}
		}
		attempts = append(attempts, state.Assignment{Attempt: types.Attempt{Task: p.Task, Attempt: attempt}, Shard: p.Shard})
		delete(h.waited, placement.Part{Job: p.Task.Job, Stage: at})
	}
	return
}

// give puts a round into the log; the next waits until it is applied.
func (h *Controller) give(attempts []state.Assignment, backs []state.Back) {
	if attempts == nil && backs == nil {
		return
	}
	if i, ok := h.fact(state.Command{Attempts: attempts, Backs: backs}); ok {
		h.giving = i
		h.rounds = append(h.rounds, i)
		for _, g := range attempts {
			h.given[g.Attempt.Task] = g
		}
	}
}

// wants lists what may start now, and what each queue has in use. The list holds until
// the next one is made.
func (h *Controller) wants() (list []placement.Want, dues map[types.Queue]*placement.Due) {
	list = h.wanted[:0]
	defer func() { h.wanted = list }()
	dues = map[types.Queue]*placement.Due{}
	for q, r := range h.state.Retired {
		dues[q] = &placement.Due{Row: r}
	}
	for _, r := range h.state.Table.Rows {
		dues[r.Name] = &placement.Due{Row: r}
	}
	now := h.raft.Clock()
	for _, j := range h.state.Live() {
		d := dues[j.Queue]
		if d == nil {
			continue
		}
		x := h.state.ReadyIndex(j, now)
		d.Running += x.Running
		d.Cores += x.Cores
		for _, b := range x.Batches {
			if b.Tasks = h.unsent(j, b, d); len(b.Tasks) == 0 {
				continue
			}
			p := j.Spec.Steps[b.Stage.Step()]
			long := h.limit(j, b.Stage)
			if p.Lasts {
				long = endless
			}
			class, turn, spare := h.aim(j, d.Row, x, b)
			list = append(list, placement.Want{Part: placement.Part{Job: j.ID, Stage: b.Stage}, Queue: j.Queue, Urgency: j.Spec.Urgency,
				Kind: p.Kind, Rack: p.Rack, Labels: p.Labels, Room: p.Room, Spread: p.Spread, Gang: p.Gang, Tasks: b.Tasks, Long: long, Shun: b.Shun,
				Class: class, Turn: turn, Spare: spare, Idle: x.Running == 0, Near: p.Near, OneRack: p.OneRack})
		}
	}
	return
}

// unsent is what of a batch is not on its way into the log; what is counts as in use.
func (h *Controller) unsent(j *state.Job, b state.Batch, d *placement.Due) (list []int) {
	if len(h.given) == 0 {
		return b.Tasks
	}
	for _, n := range b.Tasks {
		if _, ok := h.given[types.Task{Job: j.ID, N: n}]; !ok {
			list = append(list, n)
			continue
		}
		d.Running++
		d.Cores += j.Spec.Steps[b.Stage.Step()].Room.Cores
	}
	return
}

// order sends the attempts that the log has just given out.
func (h *Controller) order(attempts []state.Assignment) {
	for _, g := range attempts {
		j := h.state.Jobs[g.Attempt.Job]
		at := types.StageOf(g.Attempt.N)
		p := j.Spec.Steps[at.Step()]
		h.Sums.Orders++
		h.scheduler.Order(g.Shard, at, usual(j, at), dispatch.Job{Attempt: g.Attempt, Kind: p.Kind, Rack: p.Rack, Room: p.Room,
			Limit: int(h.limit(j, at).Milliseconds()), Label: p.Labels, Ref: j.Task(g.Attempt.N).Ref, Work: j.Spec.What(at.Step())})
	}
}

// usual names what an attempt's time is compared with.
func usual(j *state.Job, at types.Stage) string {
	return string(j.Queue) + "/" + j.Spec.Steps[at.Step()].Name
}

// limit is how long an attempt of a step may take by the table in force; what lasts
// has none.
func (h *Controller) limit(j *state.Job, at types.Stage) time.Duration {
	p := &j.Spec.Steps[at.Step()]
	if p.Lasts {
		return 0
	}
	row, ok := h.state.Row(j.Queue)
	own := time.Duration(p.Limit) * time.Millisecond
	if ok && (own == 0 || own > row.Limit()) {
		return row.Limit()
	}
	return own
}

// shapes keeps in the log what the workers are made of.
func (h *Controller) shapes() {
	if h.shaped > h.applied {
		return
	}
	var list []state.WorkerShape
	for _, s := range h.scheduler.Seats() {
		x := state.WorkerShape{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Room: s.Room, Labels: s.Labels, Invoked: s.Invoked}
		y, ok := h.state.Shapes[s.Shard]
		if s.Room.Cores == 0 && ok {
			continue // an agent that has not heard its worker yet
		}
		if s.State != dispatch.New && (!ok || y.Rack != x.Rack || y.Room != x.Room || y.Invoked != x.Invoked ||
			!slices.Equal(y.Kinds, x.Kinds) || !slices.Equal(y.Labels, x.Labels)) {
			list = append(list, x)
		}
	}
	if list != nil {
		h.shaped, _ = h.fact(state.Command{Shapes: list})
	}
}

// times keeps the offset from the cluster's clock to the wall clocks. Only two
// voters that agree closely move it, so one clock that jumps moves nothing; of
// the two the offset that lets nothing start early is taken.
func (h *Controller) times() {
	if h.now.Mono.Sub(h.timed) < time.Second {
		return
	}
	h.timed = h.now.Mono
	offs := h.raft.WallOffsets()
	for i := 0; i+1 < len(offs); i++ {
		if offs[i+1]-offs[i] > near {
			continue
		}
		if d := offs[i] - h.state.Off; d > astray || d < -astray {
			h.fact(state.Command{Off: &offs[i]})
		}
		return
	}
}
