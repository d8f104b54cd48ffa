// What operators say of workers: drains and their undoing, maintenance
// calendars, and that a worker is gone for good.
package helm

import (
	"encoding/json"
	"strings"
	"time"

	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/truth"
	"coppercourse/word"
)

// target reads "workers/NAME" or "racks/NAME" and finds whether it is known.
func (h *Helm) target(arg string) (t store.Target, bad *fault.Fault) {
	kind, name, _ := strings.Cut(arg, "/")
	if kind == "racks" {
		t.Rack = mark.Rack(name)
	} else {
		t.Shard = mark.Shard(name)
	}
	return t, h.known(t)
}

func (h *Helm) known(t store.Target) *fault.Fault {
	for _, x := range h.state.Shapes {
		if t.Is(x.Shard, x.Rack) {
			return nil
		}
	}
	return fault.New(fault.NoWorker, "", "no worker or rack of that name has ever come")
}

func (h *Helm) putDrain(w waiter, c word.CallBody) {
	var d blueprint.Drain
	t, bad := h.target(c.Arg)
	if json.Unmarshal(c.Body, &d) != nil {
		bad = fault.New(fault.BadBody, "", "not a drain")
	}
	if bad != nil {
		h.bad(w, bad)
		return
	}
	x := store.Drain{Target: t}
	if d.Within > 0 {
		x.By = h.core.Clock().Add(time.Duration(d.Within) * time.Millisecond)
	}
	h.wait(w, store.Fact{Drain: &x})
}

func (h *Helm) dropDrain(w waiter, c word.CallBody) {
	t, _ := h.target(c.Arg)
	h.wait(w, store.Fact{Drain: &store.Drain{Target: t, Over: true}})
}

func (h *Helm) putPlan(w waiter, c word.CallBody) {
	var p store.Plan
	if json.Unmarshal(c.Body, &p) != nil {
		h.bad(w, fault.New(fault.BadBody, "", "not a calendar"))
		return
	}
	if bad := h.known(p.Target); bad != nil {
		h.bad(w, bad)
		return
	}
	h.wait(w, store.Fact{Plan: &p})
}

func (h *Helm) dropPlan(w waiter, c word.CallBody) {
	h.wait(w, store.Fact{Plan: &store.Plan{Name: c.Arg}})
}

// gone ends the doubts about a worker that its operators know to be lost.
func (h *Helm) gone(w waiter, c word.CallBody) {
	shard := mark.Shard(c.Arg)
	bad := h.known(store.Target{Shard: shard})
	for _, s := range h.head.Seats() {
		if s.Shard == shard && s.State != truth.MustDie {
			bad = fault.New(fault.Alive, "", "the worker's ward is heard of; only one that is lost can be given up")
		}
	}
	if bad != nil {
		h.bad(w, bad)
		return
	}
	h.wait(w, store.Fact{Gone: shard})
}

// DrainView is a drain as operators see it.
type DrainView struct {
	store.Target
	Left int64 `json:"left_ms,omitempty"` // until what still runs is stopped
	Legs int   `json:"legs"`              // that still run there
}

// Drains lists what is drained, and how much still runs there.
func (h *Helm) Drains() (list []DrainView) {
	list = []DrainView{}
	for _, d := range h.state.Drains {
		v := DrainView{Target: d.Target}
		if d.By != 0 {
			v.Left = max(1, d.By.Sub(h.core.Clock()).Milliseconds())
		}
		for _, o := range h.holds() {
			if d.Is(o.Shard, h.state.Shapes[o.Shard].Rack) {
				v.Legs++
			}
		}
		list = append(list, v)
	}
	return
}

// PlanView is a calendar as operators see it.
type PlanView struct {
	Name string `json:"name"`
	store.Target
	Count int      `json:"windows"`
	Next  []string `json:"next"`
}

// Plans lists the calendars and the next windows of each.
func (h *Helm) Plans() (list []PlanView) {
	list = []PlanView{}
	at := mark.Wall(h.core.Clock()) + h.state.Off
	show := func(w mark.Wall) string { return time.Unix(0, int64(w)).UTC().Format(time.RFC3339) }
	for _, p := range h.state.Plans {
		v := PlanView{Name: p.Name, Target: p.Target, Next: []string{}}
		for _, x := range p.Spans {
			if x[1] <= at {
				continue
			}
			if v.Count++; len(v.Next) < 5 {
				v.Next = append(v.Next, show(x[0])+"/"+show(x[1]))
			}
		}
		list = append(list, v)
	}
	return
}

func (h *Helm) holds() []*truth.Hold {
	if h.head == nil {
		return nil
	}
	return h.head.Holds()
}
