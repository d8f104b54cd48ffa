package controller

import (
	"net/http"
	"strings"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// parseTarget parses "workers/NAME" or "racks/NAME".
func parseTarget(arg string) state.Target {
	kind, name, _ := strings.Cut(arg, "/")
	if kind == "racks" {
		return state.Target{Rack: types.Rack(name)}
	}
	return state.Target{Shard: types.Shard(name)}
}

// checkTargetKnown rejects a target that matches no known worker.
func (a *api) checkTargetKnown(target state.Target) *apierror.Error {
	for _, shape := range a.log.state().WorkerShapes {
		if target.Matches(shape.Shard, shape.Rack) {
			return nil
		}
	}
	return apierror.New(apierror.NoSuchWorker, "", "no worker or rack of that name has ever come")
}

// startDrain starts a drain of a worker or rack: it gets no new attempts, and those running there are
// stopped at the deadline, if one is set.
func (a *api) startDrain(r request) {
	target := parseTarget(r.arg)
	document, err := decodeBody[config.Drain](r, "drain")
	if err == nil {
		err = a.checkTargetKnown(target)
	}
	if err != nil {
		a.outbox.replyError(r.caller, err)
		return
	}
	drain := state.Drain{Target: target}
	if document.WithinMillis > 0 {
		drain.Deadline = a.raft.Clock().Add(time.Duration(document.WithinMillis) * time.Millisecond)
	}
	a.propose(r.caller, state.Command{Drain: &drain})
}

// cancelDrain cancels a drain.
func (a *api) cancelDrain(r request) {
	a.propose(r.caller, state.Command{Drain: &state.Drain{Target: parseTarget(r.arg), Cancel: true}})
}

// putCalendar adds or replaces a maintenance calendar.
func (a *api) putCalendar(r request) {
	calendar, err := decodeBody[state.Calendar](r, "calendar")
	if err == nil {
		err = a.checkTargetKnown(calendar.Target)
	}
	if err != nil {
		a.outbox.replyError(r.caller, err)
		return
	}
	a.propose(r.caller, state.Command{Calendar: &calendar})
}

// deleteCalendar removes a maintenance calendar.
func (a *api) deleteCalendar(r request) {
	a.propose(r.caller, state.Command{Calendar: &state.Calendar{Name: r.arg}})
}

// confirmWorkerGone records that operators confirm that a worker no longer runs. Its unresolved
// attempts then count as ended.
func (a *api) confirmWorkerGone(r request) {
	shard := types.Shard(r.arg)
	err := a.checkTargetKnown(state.Target{Shard: shard})
	for _, worker := range a.leader.workers() {
		if worker.Shard == shard && worker.State != protocol.WorkerMustDie {
			err = apierror.New(apierror.WorkerHealthy, "",
				"the worker is not lost; only a lost worker can be confirmed as gone")
		}
	}
	if err != nil {
		a.outbox.replyError(r.caller, err)
		return
	}
	a.propose(r.caller, state.Command{ExitedWorker: shard})
}

// listWorkers replies with the workers registered with the leader.
func (a *api) listWorkers(r request) {
	a.outbox.replyOK(r.caller, http.StatusOK, a.leader.workerViews(r.now.Mono))
}

// listDrains replies with the drains in force.
func (a *api) listDrains(r request) { a.outbox.replyOK(r.caller, http.StatusOK, a.drains()) }

// listCalendars replies with the maintenance calendars.
func (a *api) listCalendars(r request) { a.outbox.replyOK(r.caller, http.StatusOK, a.calendars()) }

// drains returns views of the drains, with the attempts that still run under each.
func (a *api) drains() []DrainView {
	return drainViews(a.log.state(), a.raft.Clock(), a.leader.attempts())
}

// calendars returns views of the maintenance calendars.
func (a *api) calendars() []CalendarView { return calendarViews(a.log.state(), a.raft.Clock()) }
