package executor

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func (ex *Executor) onRunTask(from types.Addr, o protocol.RunTask) {
	if !ex.acceptTerm(from, o.Header) {
		return
	}
	l := ex.attempts[o.Spec.Attempt]
	_, seen := ex.seenAttempts[o.Spec.Attempt]
	if l != nil || seen {
		return
	}
	ex.seenAttempts[o.Spec.Attempt] = max(o.StartBefore, ex.now).Add(ex.timeouts.LostAfter)
	why := ex.refusalReason(o)
	if why == "" {
		ex.add(&attempt{spec: o.Spec, state: attemptWaiting, startBefore: min(o.StartBefore, ex.leaseUntil)})
		ex.hasUpdate = true
	}
	ex.send(from, wire.RunTaskReply, protocol.RunTaskReply{Term: ex.term, Shard: ex.shard, Instance: ex.instance, Attempt: o.Spec.Attempt, Refusal: why})
}

// refusalReason gives the reason why an order may not be taken, or nothing.
func (ex *Executor) refusalReason(o protocol.RunTask) string {
	free := ex.report.Capacity.Sub(ex.capacityShortfall())
	twin := false
	for _, l := range ex.attempts {
		if l.state != attemptEnded {
			free = free.Sub(l.spec.Resources)
			twin = twin || l.spec.Attempt.TaskID == o.Spec.Attempt.TaskID
		}
	}
	for _, c := range []struct {
		bad bool
		why string
	}{
		{o.Sequence < ex.querySequence, "sent before the latest query"},
		{ex.now >= o.StartBefore || ex.now >= ex.leaseUntil, "grant has lapsed"},
		{ex.state != protocol.WorkerHealthy, "agent is " + string(ex.state)},
		{!ex.report.Healthy, "worker is silent"},
		{ex.report.Draining, "worker is leaving"},
		{!slices.Contains(ex.report.Kinds, o.Spec.Kind), "worker has not this kind"},
		{o.Spec.Rack != "" && o.Spec.Rack != ex.report.Rack, "worker is in another rack"},
		{!ex.report.HasLabels(o.Spec.Labels), "worker lacks a label"},
		{twin, "another leg of the task is here"},
		{!free.Contains(o.Spec.Resources), "no room"},
	} {
		if c.bad {
			return c.why
		}
	}
	return ""
}
