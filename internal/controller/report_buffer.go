// What agents told of their workers' attempts is kept by every controller that heard it
// until the log has it: a leader may lose its duty before the end is committed,
// and the agent may be gone by then. "Rebuilt from those who told it first."
package controller

import (
	"slices"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type bufferedReport struct {
	from types.Addr
	dispatch.UpdateStatus
	receivedAt  types.MonoTime
	forwardedAt types.MonoTime
	forwards    int // so often it was passed on
}

// unknownAttemptRetention is how long a report of an attempt that this controller's log does not have yet is
// kept; by is by way of how many gateways one is passed on at once.
const (
	unknownAttemptRetention = 10 * time.Second
	gatewayFanout           = 2
)

// endLogged tells whether an end need not be kept any longer.
func (co *Controller) endLogged(e state.AttemptEnd, at types.MonoTime) bool {
	j := co.log.state().Jobs[e.ID.Job]
	if j == nil {
		return co.now.Mono.Sub(at) > unknownAttemptRetention
	}
	if t := j.Task(e.ID.Number); t != nil && e.ID.Attempt > t.LastAttempt {
		return co.now.Mono.Sub(at) > unknownAttemptRetention
	}
	return co.endRecorded(e)
}

// bufferEndReport holds on to a report until its ends are in the log.
func (co *Controller) bufferEndReport(n wire.Message) {
	u, ok := wire.DecodeBody[dispatch.UpdateStatus](n)
	if !ok || len(co.bufferedReports) >= MaxPendingRequests {
		return
	}
	u.Ends = slices.DeleteFunc(u.Ends, func(e state.AttemptEnd) bool { return !e.Outcome.ReportedByWorker() || co.endLogged(e, co.now.Mono) })
	for _, x := range co.bufferedReports {
		u.Ends = slices.DeleteFunc(u.Ends, func(e state.AttemptEnd) bool { return slices.Contains(x.Ends, e) })
	}
	if len(u.Ends) > 0 {
		co.bufferedReports = append(co.bufferedReports, bufferedReport{from: n.From, UpdateStatus: u, receivedAt: co.now.Mono, forwardedAt: co.now.Mono})
	}
}

// forwardEndReports tells this controller's own dispatcher what is not in the log, or the leader, to
// whom the agent itself repeats it: so only after a while, lest a leader that is
// behind is told everything by everybody.
func (co *Controller) forwardEndReports() {
	co.bufferedReports = slices.DeleteFunc(co.bufferedReports, func(x bufferedReport) bool {
		return !slices.ContainsFunc(x.Ends, func(e state.AttemptEnd) bool { return !co.endLogged(e, x.receivedAt) })
	})
	for i := range co.bufferedReports {
		x := &co.bufferedReports[i]
		interval := co.options.DispatchTimeouts.UnhealthyAfter
		if co.scheduler != nil {
			interval = co.options.DispatchTimeouts.RetryInterval
		}
		if co.now.Mono.Sub(x.forwardedAt) < interval {
			continue
		}
		to := co.raft.LeaderAddr()
		if co.scheduler != nil {
			to = co.options.Addr
		}
		if s := wire.NewMessage(x.from, to, wire.StatusReport, x.UpdateStatus); co.scheduler != nil {
			co.scheduler.HandleMessage(co.now.Mono, co.raft.AuthorityRemaining(), s.Message)
		} else {
			co.relayReport(s, to, x.forwards)
			x.forwards++
		}
		x.forwardedAt = co.now.Mono
	}
}

// relayReport sends a report to the leader, and, if it is none known or that did not help,
// by way of a few gateways, others each time: this controller may be cut off from the leader
// alone.
func (co *Controller) relayReport(s wire.OutboundMessage, to types.Addr, tries int) {
	if to != "" {
		co.outbox.send(s)
	}
	if to != "" && tries == 0 {
		return
	}
	gateways := co.members.MembersOf("gateway")
	for i := range min(gatewayFanout, len(gateways)) {
		co.outbox.send(wire.OutboundMessage{To: gateways[(gatewayFanout*tries+i)%len(gateways)].Addr, Message: s.Message})
	}
}
