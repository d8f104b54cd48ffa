// What wards told of their workers' legs is kept by every helm that heard it
// until the log has it: a leader may lose its duty before the end is committed,
// and the ward may be gone by then. "Rebuilt from those who told it first."
package helm

import (
	"slices"
	"time"

	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/truth"
	"coppercourse/word"
)

type early struct {
	from mark.Addr
	truth.Status
	at    mark.Stamp
	sent  mark.Stamp
	tries int // so often it was passed on
}

// lag is how long a report of a leg that this helm's log does not have yet is
// kept; by is by way of how many gates one is passed on at once.
const (
	lag = 10 * time.Second
	by  = 2
)

// logged tells whether an end need not be kept any longer.
func (h *Helm) logged(e store.End, at mark.Stamp) bool {
	j := h.state.Jobs[e.Leg.Job]
	if j == nil {
		return h.now.Mono.Sub(at) > lag
	}
	if t := j.Task(e.Leg.N); t != nil && e.Leg.Leg > t.Leg {
		return h.now.Mono.Sub(at) > lag
	}
	return h.taken(e)
}

// keep holds on to a report until its ends are in the log.
func (h *Helm) keep(n word.Note) {
	u, ok := word.Read[truth.Status](n)
	if !ok || len(h.early) >= Crowd {
		return
	}
	u.Ends = slices.DeleteFunc(u.Ends, func(e store.End) bool { return !e.Fate.Fact() || h.logged(e, h.now.Mono) })
	for _, x := range h.early {
		u.Ends = slices.DeleteFunc(u.Ends, func(e store.End) bool { return slices.Contains(x.Ends, e) })
	}
	if len(u.Ends) > 0 {
		h.early = append(h.early, early{from: n.From, Status: u, at: h.now.Mono, sent: h.now.Mono})
	}
}

// pass tells this helm's own dispatcher what is not in the log, or the leader, to
// whom the ward itself repeats it: so only after a while, lest a leader that is
// behind is told everything by everybody.
func (h *Helm) pass() {
	h.early = slices.DeleteFunc(h.early, func(x early) bool {
		return !slices.ContainsFunc(x.Ends, func(e store.End) bool { return !h.logged(e, x.at) })
	})
	for i := range h.early {
		x := &h.early[i]
		wait := h.place.Truth.Ill
		if h.head != nil {
			wait = h.place.Truth.Again
		}
		if h.now.Mono.Sub(x.sent) < wait {
			continue
		}
		to := h.core.Leader()
		if h.head != nil {
			to = h.place.Addr
		}
		if s := word.Make(x.from, to, word.Status, x.Status); h.head != nil {
			h.head.Take(h.now.Mono, h.core.Grace(), s.Note)
		} else {
			h.relay(s, to, x.tries)
			x.tries++
		}
		x.sent = h.now.Mono
	}
}

// relay sends a report to the leader, and, if it is none known or that did not help,
// by way of a few gates, others each time: this helm may be cut off from the leader
// alone.
func (h *Helm) relay(s word.Send, to mark.Addr, tries int) {
	if to != "" {
		h.sends = append(h.sends, s)
	}
	if to != "" && tries == 0 {
		return
	}
	gates := h.kin.Known("gate")
	for i := range min(by, len(gates)) {
		h.sends = append(h.sends, word.Send{To: gates[(by*tries+i)%len(gates)].Addr, Note: s.Note})
	}
}
