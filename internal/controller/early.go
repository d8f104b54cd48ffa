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
	dispatch.Status
	at    types.Stamp
	sent  types.Stamp
	tries int // so often it was passed on
}

// lag is how long a report of an attempt that this controller's log does not have yet is
// kept; by is by way of how many gateways one is passed on at once.
const (
	lag = 10 * time.Second
	by  = 2
)

// logged tells whether an end need not be kept any longer.
func (h *Controller) logged(e state.End, at types.Stamp) bool {
	j := h.state.Jobs[e.Attempt.Job]
	if j == nil {
		return h.now.Mono.Sub(at) > lag
	}
	if t := j.Task(e.Attempt.N); t != nil && e.Attempt.Attempt > t.Attempt {
		return h.now.Mono.Sub(at) > lag
	}
	return h.taken(e)
}

// keep holds on to a report until its ends are in the log.
func (h *Controller) keep(n wire.Message) {
	u, ok := wire.Read[dispatch.Status](n)
	if !ok || len(h.early) >= Crowd {
		return
	}
	u.Ends = slices.DeleteFunc(u.Ends, func(e state.End) bool { return !e.Outcome.IsFact() || h.logged(e, h.now.Mono) })
	for _, x := range h.early {
		u.Ends = slices.DeleteFunc(u.Ends, func(e state.End) bool { return slices.Contains(x.Ends, e) })
	}
	if len(u.Ends) > 0 {
		h.early = append(h.early, early{from: n.From, Status: u, at: h.now.Mono, sent: h.now.Mono})
	}
}

// pass tells this controller's own dispatcher what is not in the log, or the leader, to
// whom the agent itself repeats it: so only after a while, lest a leader that is
// behind is told everything by everybody.
func (h *Controller) pass() {
	h.early = slices.DeleteFunc(h.early, func(x early) bool {
		return !slices.ContainsFunc(x.Ends, func(e state.End) bool { return !h.logged(e, x.at) })
	})
	for i := range h.early {
		x := &h.early[i]
		wait := h.options.Truth.Ill
		if h.scheduler != nil {
			wait = h.options.Truth.Again
		}
		if h.now.Mono.Sub(x.sent) < wait {
			continue
		}
		to := h.raft.Leader()
		if h.scheduler != nil {
			to = h.options.Addr
		}
		if s := wire.Make(x.from, to, wire.Status, x.Status); h.scheduler != nil {
			h.scheduler.Take(h.now.Mono, h.raft.AuthorityLeft(), s.Message)
		} else {
			h.relay(s, to, x.tries)
			x.tries++
		}
		x.sent = h.now.Mono
	}
}

// relay sends a report to the leader, and, if it is none known or that did not help,
// by way of a few gateways, others each time: this controller may be cut off from the leader
// alone.
func (h *Controller) relay(s wire.Send, to types.Addr, tries int) {
	if to != "" {
		h.sends = append(h.sends, s)
	}
	if to != "" && tries == 0 {
		return
	}
	gateways := h.roster.Known("gateway")
	for i := range min(by, len(gateways)) {
		h.sends = append(h.sends, wire.Send{To: gateways[(by*tries+i)%len(gateways)].Addr, Message: s.Message})
	}
}
