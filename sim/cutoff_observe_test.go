// What the recorder sees without asking: messages between daemons, and what agents
// answer their workers.
package sim

import (
	"net/http"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// observeMessages keeps what controllers tell their peers, and who heard a leader.
func (r *recorder) observeMessages() {
	w := r.r.World
	tamper := w.TamperMessage
	w.TamperMessage = func(s *wire.OutboundMessage) bool {
		if tamper != nil && !tamper(s) {
			return false
		}
		r.told(s)
		return true
	}
	w.Delivered = func(to types.Addr, m wire.Message) {
		if m.Kind == wire.AppendEntries || m.Kind == wire.InstallSnapshot || m.Kind == wire.Hello && leads(m) {
			r.word[[2]types.Addr{to, m.From}] = w.now
		}
	}
}

// leads tells whether the sender of a greeting says that it leads.
func leads(m wire.Message) bool {
	h, ok := wire.DecodeBody[struct {
		Me struct {
			Leads bool `json:"leads"`
		} `json:"me"`
	}](m)
	return ok && h.Me.Leads
}

func (r *recorder) told(s *wire.OutboundMessage) {
	from, now := s.Message.From, r.r.now
	switch s.Message.Kind {
	case wire.ConfigWatchReply:
		if m, ok := wire.DecodeBody[struct {
			Version types.Version `json:"edition"`
		}](s.Message); ok {
			r.list = append(r.list, &observation{sent: now, answered: now, daemon: from, audience: toPeers, request: confirmTable, code: http.StatusOK,
				last: http.StatusOK, version: m.Version})
		}
	case wire.ForwardReply:
		if m, ok := wire.DecodeBody[wire.ForwardedReply](s.Message); ok {
			o := &observation{sent: now, answered: now, daemon: from, audience: toPeers, request: forwarded, code: m.StatusCode}
			switch {
			case m.NotLeader:
				o.code, o.redirect, o.retry = http.StatusTemporaryRedirect, m.Leader, true
				o.word = r.word[[2]types.Addr{from, m.Leader}]
			case m.Error != nil:
				r.control(o, wire.Response{Error: m.Error})
				o.retry = m.Error.RetryAfterSeconds > 0
			}
			o.last = o.code
			r.list = append(r.list, o)
		}
	}
}

// observeWorkers keeps what agents answer to their workers' beats.
func (r *recorder) observeWorkers() {
	w := r.r.World
	tamper := w.TamperAnswerOf
	w.TamperAnswerOf = func(daemon types.Addr, verb string, a *wire.Response) bool {
		if tamper != nil && !tamper(daemon, verb, a) {
			return false
		}
		if verb == "beat" {
			o := &observation{sent: w.now, answered: w.now, daemon: daemon, audience: toWorkers, request: workerBeat, code: http.StatusOK, last: http.StatusOK}
			if a.Error != nil {
				o.code, o.retry = a.Error.StatusCode(), apierror.Retryable[a.Error.Kind]
			}
			r.list = append(r.list, o)
		}
		return true
	}
}
