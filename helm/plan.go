// The leader's placing of work: what waits and may start, where there is room,
// legs given out in the log, and orders sent once that is committed. One round
// is in the log at a time, so nothing is given out twice.
package helm

import (
	"slices"
	"time"

	"coppercourse/choice"
	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/truth"
)

const (
	near   = mark.Wall(50 * time.Millisecond)
	astray = mark.Wall(20 * time.Millisecond)

	endless = 10_000 * time.Hour // what lasts fits before no window
)

func (h *Helm) plan() {
	var doom []mark.Leg
	var spent []store.End
	for _, j := range h.state.Live() {
		x := h.state.Heat(j, h.core.Clock())
		doom, spent = append(doom, x.Doomed...), append(spent, x.Spent...)
	}
	h.propose(spent)
	holds := h.head.Holds()
	h.head.Halt(append(doom, h.head.Strays()...), h.overtime(holds))
	if !h.core.Firm() || h.drain {
		return
	}
	h.shapes()
	h.times()
	if h.giving > h.done {
		return
	}
	backs := h.recall(holds)
	if h.head.Wait {
		h.give(nil, backs)
		return
	}
	in := choice.Input{Kept: h.kept}
	in.Wants, in.Dues = h.wants()
	more := h.behind(holds)
	if len(in.Wants) == 0 {
		h.kept, h.waited = nil, nil
	}
	if len(in.Wants)+len(more) == 0 {
		h.give(nil, backs)
		return
	}
	in.Slots, in.Total = h.slots(holds)
	var legs []store.Give
	if len(in.Wants) > 0 {
		h.ages(in.Wants)
		h.caps(in)
		out := choice.Place(in)
		h.kept = out.Kept
		legs = h.number(out.Picks)
	}
	legs = append(legs, h.copies(in, more)...)
	if legs == nil && backs == nil && h.kept == nil {
		backs, h.kept = h.displace(in)
	}
	h.give(legs, backs)
}

// number gives each placement its leg's number; the members of a gang get the
// same.
func (h *Helm) number(picks []choice.Pick) (legs []store.Give) {
	for _, p := range picks {
		j := h.state.Jobs[p.Task.Job]
		at := mark.StageOf(p.Task.N)
		leg := j.Task(p.Task.N).Leg + 1
		if j.Spec.Steps[at.Step()].Gang {
			for _, m := range j.Part(at) {
				leg = max(leg, m.Leg+1)
			}
		}
		legs = append(legs, store.Give{Leg: mark.Leg{Task: p.Task, Leg: leg}, Shard: p.Shard})
		delete(h.waited, choice.Part{Job: p.Task.Job, Stage: at})
	}
	return
}

// give puts a round into the log; the next waits until it is applied.
func (h *Helm) give(legs []store.Give, backs []store.Back) {
	if legs == nil && backs == nil {
		return
	}
	if i, ok := h.fact(store.Fact{Legs: legs, Backs: backs}); ok {
		h.giving = i
	}
}

// wants lists what may start now, and what each queue has in use.
func (h *Helm) wants() (list []choice.Want, dues map[mark.Queue]*choice.Due) {
	dues = map[mark.Queue]*choice.Due{}
	for q, r := range h.state.Retired {
		dues[q] = &choice.Due{Row: r}
	}
	for _, r := range h.state.Table.Rows {
		dues[r.Name] = &choice.Due{Row: r}
	}
	now := h.core.Clock()
	for _, j := range h.state.Live() {
		d := dues[j.Queue]
		if d == nil {
			continue
		}
		x := h.state.Heat(j, now)
		d.Running += x.Running
		d.Cores += x.Cores
		for _, b := range x.Batches {
			p := j.Spec.Steps[b.Stage.Step()]
			long := h.limit(j, b.Stage)
			if p.Lasts {
				long = endless
			}
			class, turn, spare := h.aim(j, d.Row, x, b)
			list = append(list, choice.Want{Part: choice.Part{Job: j.ID, Stage: b.Stage}, Queue: j.Queue, Urgency: j.Spec.Urgency,
				Kind: p.Kind, Rack: p.Rack, Labels: p.Labels, Room: p.Room, Spread: p.Spread, Gang: p.Gang, Tasks: b.Tasks, Long: long, Shun: b.Shun,
				Class: class, Turn: turn, Spare: spare, Near: p.Near, OneRack: p.OneRack})
		}
	}
	return
}

// slots lists the workers that may be given work, and all cores there are.
func (h *Helm) slots(holds []*truth.Hold) (list []choice.Slot, total mark.Cores) {
	at := map[mark.Shard]int{}
	for _, s := range h.head.Seats() {
		if s.State != truth.Healthy {
			continue
		}
		total += s.Room.Cores
		if till, _, _ := h.till(s); !s.Leaving && s.Sound {
			at[s.Shard] = len(list)
			list = append(list, choice.Slot{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Labels: s.Labels, Free: s.Room.Minus(s.Lacks), Size: s.Room, Till: till,
				Bad: s.Worth.Bad, Slow: s.Worth.Slow, Now: h.head.Slow(s), Has: map[choice.Part]int{}})
		}
	}
	for _, o := range holds {
		i, ok := at[o.Shard]
		if !ok {
			continue
		}
		x := &list[i]
		x.Free = x.Free.Minus(o.Room)
		x.Busy++
		x.Clear = max(x.Clear, h.rest(o))
		if o.Stage >= 0 {
			x.Has[choice.Part{Job: o.Leg.Job, Stage: o.Stage}]++
		}
	}
	return
}

// order sends the legs that the log has just given out.
func (h *Helm) order(legs []store.Give) {
	for _, g := range legs {
		j := h.state.Jobs[g.Leg.Job]
		at := mark.StageOf(g.Leg.N)
		p := j.Spec.Steps[at.Step()]
		h.Sums.Orders++
		h.head.Order(g.Shard, at, usual(j, at), truth.Job{Leg: g.Leg, Kind: p.Kind, Rack: p.Rack, Room: p.Room,
			Limit: int(h.limit(j, at).Milliseconds()), Label: p.Labels, Ref: j.Task(g.Leg.N).Ref, Work: j.Spec.What(at.Step())})
	}
}

// usual names what a leg's time is compared with.
func usual(j *store.Job, at mark.Stage) string {
	return string(j.Queue) + "/" + j.Spec.Steps[at.Step()].Name
}

// limit is how long a leg of a step may take by the table in force; what lasts
// has none.
func (h *Helm) limit(j *store.Job, at mark.Stage) time.Duration {
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
func (h *Helm) shapes() {
	if h.shaped > h.done {
		return
	}
	var list []store.Shape
	for _, s := range h.head.Seats() {
		x := store.Shape{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Room: s.Room, Labels: s.Labels, Invoked: s.Invoked}
		y, ok := h.state.Shapes[s.Shard]
		if s.Room.Cores == 0 && ok {
			continue // a ward that has not heard its worker yet
		}
		if s.State != truth.New && (!ok || y.Rack != x.Rack || y.Room != x.Room || y.Invoked != x.Invoked ||
			!slices.Equal(y.Kinds, x.Kinds) || !slices.Equal(y.Labels, x.Labels)) {
			list = append(list, x)
		}
	}
	if list != nil {
		h.shaped, _ = h.fact(store.Fact{Shapes: list})
	}
}

// times keeps the offset from the cluster's clock to the wall clocks. Only two
// voters that agree closely move it, so one clock that jumps moves nothing; of
// the two the offset that lets nothing start early is taken.
func (h *Helm) times() {
	if h.now.Mono.Sub(h.timed) < time.Second {
		return
	}
	h.timed = h.now.Mono
	offs := h.core.Offs()
	for i := 0; i+1 < len(offs); i++ {
		if offs[i+1]-offs[i] > near {
			continue
		}
		if d := offs[i] - h.state.Off; d > astray || d < -astray {
			h.fact(store.Fact{Off: &offs[i]})
		}
		return
	}
}
