package executor

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// onRunTask accepts or rejects an attempt. A duplicate RunTask is ignored.
func (ex *Executor) onRunTask(from types.Addr, request protocol.RunTask) {
	if !ex.acceptHeader(from, request.Header) {
		return
	}
	id := request.Spec.Attempt
	_, isSeen := ex.attempts.seen[id]
	if isSeen || ex.attempts.byID[id] != nil {
		return
	}
	ex.attempts.seen[id] = max(request.StartBefore, ex.now).Add(ex.timeouts.LostAfter)
	rejection := ex.rejection(request)
	if rejection == "" {
		startBefore := min(request.StartBefore, ex.health.leaseUntil)
		ex.attempts.add(&attemptRecord{spec: request.Spec, state: attemptWaiting, startBefore: startBefore})
		ex.polls.hasUpdate = true
	}
	ex.send(from, wire.RunTaskReply, protocol.RunTaskReply{
		ReplyHeader: ex.replyHeader(),
		Attempt:     id,
		Rejection:   rejection,
	})
}

// rejection returns the reason for rejecting an attempt, or "" to accept it.
func (ex *Executor) rejection(request protocol.RunTask) string {
	report, spec := &ex.worker.report, &request.Spec
	free, runsTask := ex.freeCapacity(spec.Attempt.TaskID)
	switch {
	case request.Sequence < ex.association.querySequence:
		return "sent before the latest query"
	case ex.now >= request.StartBefore || ex.now >= ex.health.leaseUntil:
		return "grant has lapsed"
	case ex.health.state != protocol.WorkerHealthy:
		return "agent is " + string(ex.health.state)
	case !report.Healthy:
		return "worker is silent"
	case report.Departing:
		return "worker is leaving"
	case !slices.Contains(report.Kinds, spec.Kind):
		return "worker has not this kind"
	case spec.Rack != "" && spec.Rack != report.Rack:
		return "worker is in another rack"
	case !types.HasLabels(report.Labels, spec.Labels):
		return "worker lacks a label"
	case runsTask:
		return "another leg of the task is here"
	case !free.Contains(spec.Resources):
		return "no room"
	}
	return ""
}

// freeCapacity returns the worker's capacity less that of all attempts that have not
// ended, and whether one of them belongs to the given task.
func (ex *Executor) freeCapacity(task types.TaskID) (free types.Resources, runsTask bool) {
	free = ex.worker.report.Capacity.Sub(ex.capacityShortfall())
	for _, attempt := range ex.attempts.byID {
		if attempt.state != attemptEnded {
			free = free.Sub(attempt.spec.Resources)
			runsTask = runsTask || attempt.id().TaskID == task
		}
	}
	return free, runsTask
}
