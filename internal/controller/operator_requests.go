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

// parseTarget reads "workers/NAME" or "racks/NAME" and finds whether it is known.
func (co *Controller) parseTarget(arg string) (t state.Target, bad *apierror.Error) {
	kind, name, _ := strings.Cut(arg, "/")
	if kind == "racks" {
		t.Rack = types.Rack(name)
	} else {
		t.Shard = types.Shard(name)
	}
	return t, co.checkTargetKnown(t)
}

func (co *Controller) checkTargetKnown(t state.Target) *apierror.Error {
	for _, x := range co.log.state().WorkerShapes {
		if t.Matches(x.Shard, x.Rack) {
			return nil
		}
	}
	return apierror.New(apierror.NoSuchWorker, "", "no worker or rack of that name has ever come")
}

func (co *Controller) startDrain(w caller, c wire.ForwardedRequest) {
	var d config.Drain
	t, bad := co.parseTarget(c.Arg)
	if json.Unmarshal(c.Body, &d) != nil {
		bad = apierror.New(apierror.BadBody, "", "not a drain")
	}
	if bad != nil {
		co.outbox.replyError(w, bad)
		return
	}
	x := state.Drain{Target: t}
	if d.WithinMillis > 0 {
		x.Deadline = co.raft.Clock().Add(time.Duration(d.WithinMillis) * time.Millisecond)
	}
	co.proposeRequest(w, state.Command{Drain: &x})
}

func (co *Controller) cancelDrain(w caller, c wire.ForwardedRequest) {
	t, _ := co.parseTarget(c.Arg)
	co.proposeRequest(w, state.Command{Drain: &state.Drain{Target: t, Lift: true}})
}

func (co *Controller) putCalendar(w caller, c wire.ForwardedRequest) {
	var p state.Calendar
	if json.Unmarshal(c.Body, &p) != nil {
		co.outbox.replyError(w, apierror.New(apierror.BadBody, "", "not a calendar"))
		return
	}
	if bad := co.checkTargetKnown(p.Target); bad != nil {
		co.outbox.replyError(w, bad)
		return
	}
	co.proposeRequest(w, state.Command{Calendar: &p})
}

func (co *Controller) deleteCalendar(w caller, c wire.ForwardedRequest) {
	co.proposeRequest(w, state.Command{Calendar: &state.Calendar{Name: c.Arg}})
}

// confirmWorkerGone ends the doubts about a worker that its operators know to be lost.
func (co *Controller) confirmWorkerGone(w caller, c wire.ForwardedRequest) {
	shard := types.Shard(c.Arg)
	bad := co.checkTargetKnown(state.Target{Shard: shard})
	for _, s := range co.scheduler.Workers() {
		if s.Shard == shard && s.State != dispatch.MustDie {
			bad = apierror.New(apierror.WorkerHealthy, "", "the worker's agent is heard of; only one that is lost can be given up")
		}
	}
	if bad != nil {
		co.outbox.replyError(w, bad)
		return
	}
	co.proposeRequest(w, state.Command{ExitedWorker: shard})
}

// DrainView is a drain as operators see it.
type DrainView struct {
	state.Target
	RemainingMS int64 `json:"left_ms,omitempty"` // until what still runs is stopped
	Attempts    int   `json:"legs"`              // that still run there
}

// Drains lists what is drained, and how much still runs there.
func (co *Controller) Drains() (list []DrainView) {
	list = []DrainView{}
	for _, d := range co.log.state().Drains {
		v := DrainView{Target: d.Target}
		if d.Deadline != 0 {
			v.RemainingMS = max(1, d.Deadline.Sub(co.raft.Clock()).Milliseconds())
		}
		for _, o := range co.outstanding() {
			if d.Matches(o.Shard, co.log.state().WorkerShapes[o.Shard].Rack) {
				v.Attempts++
			}
		}
		list = append(list, v)
	}
	return
}

// CalendarView is a calendar as operators see it.
type CalendarView struct {
	Name string `json:"name"`
	state.Target
	WindowCount int      `json:"windows"`
	NextWindows []string `json:"next"`
}

// Calendars lists the calendars and the next windows of each.
func (co *Controller) Calendars() (list []CalendarView) {
	list = []CalendarView{}
	at := types.WallTime(co.raft.Clock()) + co.log.state().WallOffset
	show := func(w types.WallTime) string { return time.Unix(0, int64(w)).UTC().Format(time.RFC3339) }
	for _, p := range co.log.state().Calendars {
		v := CalendarView{Name: p.Name, Target: p.Target, NextWindows: []string{}}
		for _, x := range p.Windows {
			if x[1] <= at {
				continue
			}
			if v.WindowCount++; len(v.NextWindows) < 5 {
				v.NextWindows = append(v.NextWindows, show(x[0])+"/"+show(x[1]))
			}
		}
		list = append(list, v)
	}
	return
}

func (co *Controller) outstanding() []*dispatch.OutstandingAttempt {
	if co.scheduler == nil {
		return nil
	}
	return co.scheduler.Attempts()
}
