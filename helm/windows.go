// What ends a leg before its time: a window of its worker (leaving, drained,
// under a maintenance plan), a leg far beyond what is usual, a gang of which a new
// leader can't reach a member, and work displaced by more urgent work. All of them take the leg back in the same way: the log
// has it first, then it is stopped, its end is told, and its task goes again.
package helm

import (
	"time"

	"coppercourse/choice"
	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/truth"
)

const (
	ahead  = 1500 * time.Millisecond // a leg is stopped so long before it must be gone
	briefs = 2 * time.Second         // a leg shorter than this has not stalled
)

// till tells how long a seat may still run something, 0 for without end, and
// when all there must be gone, if it must.
func (h *Helm) till(s *truth.Seat) (left time.Duration, by mark.Stamp, why store.Why) {
	now := h.core.Clock()
	if s.Leaving {
		left, why = time.Nanosecond, store.Leaves
		if s.LeaveMS > 0 {
			by = s.Goes
		}
	}
	if w, ok := h.state.Window(s.Shard, s.Rack, now); ok {
		if d := max(time.Nanosecond, w.From.Sub(now)-h.place.Truth.Grant); left == 0 || d < left { // an order may lie so long
			left = d
		}
		if at := h.now.Mono.Add(w.By.Sub(now)); w.By != 0 && (by == 0 || at < by) {
			by, why = at, w.Why
		}
	}
	return
}

// recall lists the legs to be taken back now.
func (h *Helm) recall(holds []*truth.Hold) (list []store.Back) {
	gone := map[mark.Shard]store.Why{}
	for _, s := range h.head.Seats() {
		if _, by, why := h.till(s); by != 0 && by.Sub(h.now.Mono) < ahead {
			gone[s.Shard] = why
		}
	}
	left := map[choice.Part]bool{}
	for _, o := range h.head.Missing() {
		if j := h.state.Jobs[o.Leg.Job]; j != nil && j.State == store.Open && j.Spec.Steps[o.Step].Gang {
			left[choice.Part{Job: o.Leg.Job, Step: o.Step}] = true
		}
	}
	for _, o := range holds {
		why := gone[o.Shard]
		if why == "" && left[choice.Part{Job: o.Leg.Job, Step: o.Step}] {
			why = store.Alone
		}
		if why == "" && h.stalled(o) {
			why = store.Stalled
		}
		if why != "" && h.mayTake(o.Leg) {
			list = append(list, store.Back{Leg: o.Leg, Why: why})
		}
	}
	return
}

// mayTake tells whether a leg is out and not yet being taken back.
func (h *Helm) mayTake(l mark.Leg) bool {
	j := h.state.Jobs[l.Job]
	if j == nil || j.State != store.Open || l.N >= len(j.Tasks) {
		return false
	}
	t := j.Tasks[l.N]
	return t.Out != nil && t.Leg == l.Leg && t.Out.Back == ""
}

// stalled tells a leg far beyond its step's usual time, once for a task.
func (h *Helm) stalled(o *truth.Hold) bool {
	u, ok := h.head.Usual(o.Usual)
	j := h.state.Jobs[o.Leg.Job]
	if !ok || j == nil || o.Leg.N >= len(j.Tasks) || j.Tasks[o.Leg.N].Shun != "" {
		return false
	}
	row, _ := h.state.Table.Find(j.Queue)
	return row.Stall > 0 && h.now.Mono.Sub(o.At) > max(briefs, time.Duration(row.Stall)*u)
}

// overtime lists the legs that run longer than the table in force allows; each was
// told its limit with its order, but the table may have changed since.
func (h *Helm) overtime(holds []*truth.Hold) (list []mark.Leg) {
	for _, o := range holds {
		j := h.state.Jobs[o.Leg.Job]
		if j == nil || j.Over() || o.Limit == 0 {
			continue
		}
		if row, ok := h.state.Table.Find(j.Queue); ok && h.now.Mono.Sub(o.At) > row.Limit() && row.Limit() < o.Limit {
			list = append(list, o.Leg)
		}
	}
	return
}
