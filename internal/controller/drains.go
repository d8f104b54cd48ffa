// What operators say of workers: drains and their undoing, maintenance
// calendars, and that a worker is gone for good.
package controller

import (
	"encoding/json"
	"strings"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// target reads "workers/NAME" or "racks/NAME" and finds whether it is known.
func (co *Controller) target(arg string) (t state.Target, bad *apierror.Error) {
	kind, name, _ := strings.Cut(arg, "/")
	if kind == "racks" {
		t.Rack = types.Rack(name)
	} else {
		t.Shard = types.Shard(name)
	}
	return t, co.known(t)
}

func (co *Controller) known(t state.Target) *apierror.Error {
	for _, x := range co.state.Shapes {
		if t.Is(x.Shard, x.Rack) {
			return nil
		}
	}
	return apierror.New(apierror.NoWorker, "", "no worker or rack of that name has ever come")
}

func (co *Controller) putDrain(w waiter, c wire.CallBody) {
	var d config.Drain
	t, bad := co.target(c.Arg)
	if json.Unmarshal(c.Body, &d) != nil {
		bad = apierror.New(apierror.BadBody, "", "not a drain")
	}
	if bad != nil {
		co.bad(w, bad)
		return
	}
	x := state.Drain{Target: t}
	if d.Within > 0 {
		x.By = co.raft.Clock().Add(time.Duration(d.Within) * time.Millisecond)
	}
	co.wait(w, state.Command{Drain: &x})
}

func (co *Controller) dropDrain(w waiter, c wire.CallBody) {
	t, _ := co.target(c.Arg)
	co.wait(w, state.Command{Drain: &state.Drain{Target: t, Over: true}})
}

func (co *Controller) putPlan(w waiter, c wire.CallBody) {
	var p state.Plan
	if json.Unmarshal(c.Body, &p) != nil {
		co.bad(w, apierror.New(apierror.BadBody, "", "not a calendar"))
		return
	}
	if bad := co.known(p.Target); bad != nil {
		co.bad(w, bad)
		return
	}
	co.wait(w, state.Command{Plan: &p})
}

func (co *Controller) dropPlan(w waiter, c wire.CallBody) {
	co.wait(w, state.Command{Plan: &state.Plan{Name: c.Arg}})
}

// gone ends the doubts about a worker that its operators know to be lost.
func (co *Controller) gone(w waiter, c wire.CallBody) {
	shard := types.Shard(c.Arg)
	bad := co.known(state.Target{Shard: shard})
	for _, s := range co.scheduler.Seats() {
		if s.Shard == shard && s.State != dispatch.MustDie {
			bad = apierror.New(apierror.Alive, "", "the worker's agent is heard of; only one that is lost can be given up")
		}
	}
	if bad != nil {
		co.bad(w, bad)
		return
	}
	co.wait(w, state.Command{Gone: shard})
}

// DrainView is a drain as operators see it.
type DrainView struct {
	state.Target
	Left     int64 `json:"left_ms,omitempty"` // until what still runs is stopped
	Attempts int   `json:"legs"`              // that still run there
}

// Drains lists what is drained, and how much still runs there.
func (co *Controller) Drains() (list []DrainView) {
	list = []DrainView{}
	for _, d := range co.state.Drains {
		v := DrainView{Target: d.Target}
		if d.By != 0 {
			v.Left = max(1, d.By.Sub(co.raft.Clock()).Milliseconds())
		}
		for _, o := range co.holds() {
			if d.Is(o.Shard, co.state.Shapes[o.Shard].Rack) {
				v.Attempts++
			}
		}
		list = append(list, v)
	}
	return
}

// PlanView is a calendar as operators see it.
type PlanView struct {
	Name string `json:"name"`
	state.Target
	Count int      `json:"windows"`
	Next  []string `json:"next"`
}

// Plans lists the calendars and the next windows of each.
func (co *Controller) Plans() (list []PlanView) {
	list = []PlanView{}
	at := types.Wall(co.raft.Clock()) + co.state.Off
	show := func(w types.Wall) string { return time.Unix(0, int64(w)).UTC().Format(time.RFC3339) }
	for _, p := range co.state.Plans {
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

func (co *Controller) holds() []*dispatch.Hold {
	if co.scheduler == nil {
		return nil
	}
	return co.scheduler.Holds()
}
