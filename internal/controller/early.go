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

type early struct {
	from types.Addr
	dispatch.UpdateStatus
	at    types.MonoTime
	sent  types.MonoTime
	tries int // so often it was passed on
}

// lag is how long a report of an attempt that this controller's log does not have yet is
// kept; by is by way of how many gateways one is passed on at once.
const (
	lag = 10 * time.Second
	by  = 2
)

// logged tells whether an end need not be kept any longer.
func (co *Controller) logged(e state.AttemptEnd, at types.MonoTime) bool {
	j := co.state.Jobs[e.ID.Job]
	if j == nil {
		return co.now.Mono.Sub(at) > lag
	}
	if t := j.Task(e.ID.Number); t != nil && e.ID.Attempt > t.LastAttempt {
		return co.now.Mono.Sub(at) > lag
	}
	return co.taken(e)
}

// keep holds on to a report until its ends are in the log.
func (co *Controller) keep(n wire.Message) {
	u, ok := wire.Read[dispatch.UpdateStatus](n)
	if !ok || len(co.early) >= Crowd {
		return
	}
	u.Ends = slices.DeleteFunc(u.Ends, func(e state.AttemptEnd) bool { return !e.Outcome.ReportedByWorker() || co.logged(e, co.now.Mono) })
	for _, x := range co.early {
		u.Ends = slices.DeleteFunc(u.Ends, func(e state.AttemptEnd) bool { return slices.Contains(x.Ends, e) })
	}
	if len(u.Ends) > 0 {
		co.early = append(co.early, early{from: n.From, UpdateStatus: u, at: co.now.Mono, sent: co.now.Mono})
	}
}

// pass tells this controller's own dispatcher what is not in the log, or the leader, to
// whom the agent itself repeats it: so only after a while, lest a leader that is
// behind is told everything by everybody.
func (co *Controller) pass() {
	co.early = slices.DeleteFunc(co.early, func(x early) bool {
		return !slices.ContainsFunc(x.Ends, func(e state.AttemptEnd) bool { return !co.logged(e, x.at) })
	})
	for i := range co.early {
		x := &co.early[i]
		wait := co.options.Truth.UnhealthyAfter
		if co.scheduler != nil {
			wait = co.options.Truth.RetryInterval
		}
		if co.now.Mono.Sub(x.sent) < wait {
			continue
		}
		to := co.raft.LeaderAddr()
		if co.scheduler != nil {
			to = co.options.Addr
		}
		if s := wire.Make(x.from, to, wire.Status, x.UpdateStatus); co.scheduler != nil {
			co.scheduler.HandleMessage(co.now.Mono, co.raft.AuthorityRemaining(), s.Message)
		} else {
			co.relay(s, to, x.tries)
			x.tries++
		}
		x.sent = co.now.Mono
	}
}

// relay sends a report to the leader, and, if it is none known or that did not help,
// by way of a few gateways, others each time: this controller may be cut off from the leader
// alone.
func (co *Controller) relay(s wire.Send, to types.Addr, tries int) {
	if to != "" {
		co.sends = append(co.sends, s)
	}
	if to != "" && tries == 0 {
		return
	}
	gateways := co.roster.Known("gateway")
	for i := range min(by, len(gateways)) {
		co.sends = append(co.sends, wire.Send{To: gateways[(by*tries+i)%len(gateways)].Addr, Message: s.Message})
	}
}
