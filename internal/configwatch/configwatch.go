// Package configwatch is the versioned long poll by which data-plane daemons get the
// table: a watcher asks with the version it has, and the publisher answers when it
// has another, or after a short hold to say that there is none. A watcher that
// has not been confirmed for a while knows that it may not decide by what it
// has. A confirmation counts from when its question was sent, by the watcher's
// own steady clock; an answer to a question that this process did not send, or
// sent too long ago, confirms nothing.
package configwatch

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	longPollHold             = 400 * time.Millisecond
	retryInterval            = 700 * time.Millisecond
	retryIntervalUnconfirmed = 100 * time.Millisecond // while what it has is not confirmed
	unconfirmedHold          = time.Millisecond       // then no news is news too, and told at once
	maxWatchers              = 500
)

type watchRequest struct {
	Version  types.Version  `json:"have"`
	HasTable bool           `json:"any"`
	HoldMS   int64          `json:"wait_ms,omitempty"` // how long no news may be held back
	Nonce    types.MonoTime `json:"mark"`
}

func (w watchRequest) hold() time.Duration {
	if w.HoldMS == 0 {
		return longPollHold
	}
	return min(longPollHold, time.Duration(w.HoldMS)*time.Millisecond)
}

type watchResponse struct {
	Version types.Version  `json:"edition"`
	Table   *config.Table  `json:"table,omitempty"`
	Nonce   types.MonoTime `json:"mark"`
}

type pendingWatch struct {
	request  watchRequest
	deadline types.MonoTime
}

// DefaultStaleAfter is how long a confirmation lasts where nothing else is set.
const DefaultStaleAfter = 1500 * time.Millisecond

// Publisher is the leader's side.
type Publisher struct {
	self    types.Addr
	pending map[types.Addr]pendingWatch
}

// NewPublisher makes the leader's side at an address.
func NewPublisher(me types.Addr) *Publisher { return &Publisher{me, map[types.Addr]pendingWatch{}} }

// HandleRequest handles a request; its answer comes from Answer.
func (p *Publisher) HandleRequest(now types.MonoTime, n wire.Message) {
	a, ok := wire.DecodeBody[watchRequest](n)
	if !ok || len(p.pending) >= maxWatchers {
		return
	}
	by := now.Add(a.hold())
	if w, ok := p.pending[n.From]; ok { // who asks again does not wait longer for it
		by = min(by, w.deadline)
	}
	p.pending[n.From] = pendingWatch{a, by}
}

// Responses answers those for whom there is news, or whose hold is over.
func (p *Publisher) Responses(now types.MonoTime, t config.Table) (sends []wire.OutboundMessage) {
	var due []types.Addr
	for from, w := range p.pending {
		if w.hasUpdate(t.Version) || now >= w.deadline {
			due = append(due, from)
		}
	}
	slices.Sort(due)
	for _, from := range due {
		sends = append(sends, wire.NewMessage(p.self, from, wire.ConfigWatchReply, p.pending[from].response(t)))
		delete(p.pending, from)
	}
	return
}

// hasUpdate tells whether who asked has not the table of that version.
func (p pendingWatch) hasUpdate(version types.Version) bool {
	return !p.request.HasTable || p.request.Version != version
}

// response brings the table where it is news, and else confirms the version held.
func (p pendingWatch) response(t config.Table) watchResponse {
	a := watchResponse{Version: t.Version, Nonce: p.request.Nonce}
	if p.hasUpdate(t.Version) {
		a.Table = &t
	}
	return a
}

// Watcher is the data-plane side.
type Watcher struct {
	self             types.Addr
	staleAfter       time.Duration
	Table            config.Table
	hasTable         bool
	awaitingResponse bool
	requestedAt      types.MonoTime
	confirmedAt      types.MonoTime
	firstNonce       types.MonoTime // of this process; its questions have higher ones
	lastNonce        types.MonoTime // of the latest question
	requests         []sentRequest  // that may still be answered, oldest first
}

// sentRequest is one that was sent. Its mark comes back with the answer. Marks are
// numbers from a random start and no stamps: the steady clock starts anew with
// each process, and an answer that was meant for an earlier process at this
// address must not confirm anything to this one.
type sentRequest struct {
	nonce  types.MonoTime
	sentAt types.MonoTime
}

const never = types.MonoTime(-1 << 61)

// NewWatcher makes one that does not decide by what was last confirmed so long
// ago. The first mark must differ from process to process.
func NewWatcher(me types.Addr, stale time.Duration, first types.MonoTime) *Watcher {
	return &Watcher{self: me, staleAfter: stale, confirmedAt: never, requestedAt: never, firstNonce: first, lastNonce: first}
}

// NewNonce draws the first mark of a process.
func NewNonce(rnd *rand.Rand) types.MonoTime { return types.MonoTime(rnd.Uint64() >> 12) }

// Fresh tells whether the table may be decided by.
func (w *Watcher) Fresh(now types.MonoTime) bool { return now < w.ConfirmedUntil() }

// ConfirmedUntil is when the confirmation of the table ends by the watcher's own
// steady clock. Whoever answers by the table compares it with that clock when
// the answer is given.
func (w *Watcher) ConfirmedUntil() types.MonoTime {
	if !w.hasTable {
		return never
	}
	return w.confirmedAt.Add(w.staleAfter)
}

// scaled is as much of a timing as the confirmation's life is of the default.
func (w *Watcher) scaled(d time.Duration) time.Duration {
	return min(w.staleAfter, DefaultStaleAfter) * d / DefaultStaleAfter
}

// Tick asks the leader again, at once after an answer.
func (w *Watcher) Tick(now types.MonoTime, lead types.Addr) (sends []wire.OutboundMessage) {
	wait, held := retryInterval, w.scaled(longPollHold)
	if !w.Fresh(now) {
		wait, held = retryIntervalUnconfirmed, unconfirmedHold
	}
	if lead == "" || w.awaitingResponse && now.Sub(w.requestedAt) < w.scaled(wait) {
		return nil
	}
	w.awaitingResponse, w.requestedAt = true, now
	return []wire.OutboundMessage{wire.NewMessage(w.self, lead, wire.ConfigWatch, watchRequest{w.Table.Version, w.hasTable, held.Milliseconds(), w.recordRequest(now)})}
}

// recordRequest notes that one is sent, and gives its mark. Those whose answer could
// no longer confirm anything are forgotten.
func (w *Watcher) recordRequest(now types.MonoTime) types.MonoTime {
	w.requests = slices.DeleteFunc(w.requests, func(q sentRequest) bool { return now.Sub(q.sentAt) >= w.staleAfter })
	w.lastNonce++
	w.requests = append(w.requests, sentRequest{w.lastNonce, now})
	return w.lastNonce
}

// sentAt is when the question with a mark was sent.
func (w *Watcher) sentAt(mark types.MonoTime) types.MonoTime {
	for _, q := range w.requests {
		if q.nonce == mark {
			return q.sentAt
		}
	}
	return never
}

// isOwnNonce tells whether a question of this process had a mark, answered or not.
func (w *Watcher) isOwnNonce(mark types.MonoTime) bool {
	return mark > w.firstNonce && mark <= w.lastNonce
}

// HandleResponse handles an answer; true when the table changed. What it confirms counts
// from when it was asked.
func (w *Watcher) HandleResponse(n wire.Message) bool {
	t, ok := wire.DecodeBody[watchResponse](n)
	if !ok || !w.isOwnNonce(t.Nonce) {
		return false
	}
	if t.Nonce == w.lastNonce {
		w.awaitingResponse = false
	}
	if t.Table != nil && (!w.hasTable || t.Version > w.Table.Version) {
		w.Table, w.hasTable, w.confirmedAt = *t.Table, true, max(w.confirmedAt, w.sentAt(t.Nonce))
		return true
	}
	if w.hasTable && t.Version == w.Table.Version {
		w.confirmedAt = max(w.confirmedAt, w.sentAt(t.Nonce))
	}
	return false
}
