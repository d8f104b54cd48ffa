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
	longPoll         = 400 * time.Millisecond
	retryAfter       = 700 * time.Millisecond
	retryUnconfirmed = 100 * time.Millisecond // while what it has is not confirmed
	shortPoll        = time.Millisecond       // then no news is news too, and told at once
	maxWatchers      = 500
)

type watchRequest struct {
	Have types.Version  `json:"have"`
	Any  bool           `json:"any"`
	Wait int64          `json:"wait_ms,omitempty"` // how long no news may be held back
	Mark types.MonoTime `json:"mark"`
}

func (w watchRequest) hold() time.Duration {
	if w.Wait == 0 {
		return longPoll
	}
	return min(longPoll, time.Duration(w.Wait)*time.Millisecond)
}

type watchResponse struct {
	Version types.Version  `json:"edition"`
	Table   *config.Table  `json:"table,omitempty"`
	Mark    types.MonoTime `json:"mark"`
}

type pendingWatch struct {
	ask watchRequest
	by  types.MonoTime
}

// DefaultStaleAfter is how long a confirmation lasts where nothing else is set.
const DefaultStaleAfter = 1500 * time.Millisecond

// Publisher is the leader's side.
type Publisher struct {
	me    types.Addr
	waits map[types.Addr]pendingWatch
}

// NewPublisher makes the leader's side at an address.
func NewPublisher(me types.Addr) *Publisher { return &Publisher{me, map[types.Addr]pendingWatch{}} }

// Take handles a request; its answer comes from Answer.
func (p *Publisher) Take(now types.MonoTime, n wire.Message) {
	a, ok := wire.Read[watchRequest](n)
	if !ok || len(p.waits) >= maxWatchers {
		return
	}
	by := now.Add(a.hold())
	if w, ok := p.waits[n.From]; ok { // who asks again does not wait longer for it
		by = min(by, w.by)
	}
	p.waits[n.From] = pendingWatch{a, by}
}

// Answer answers those for whom there is news, or whose hold is over.
func (p *Publisher) Answer(now types.MonoTime, t config.Table) (sends []wire.Send) {
	var due []types.Addr
	for from, w := range p.waits {
		if w.news(t.Version) || now >= w.by {
			due = append(due, from)
		}
	}
	slices.Sort(due)
	for _, from := range due {
		sends = append(sends, wire.Make(p.me, from, wire.Told, p.waits[from].answer(t)))
		delete(p.waits, from)
	}
	return
}

// news tells whether who asked has not the table of that version.
func (p pendingWatch) news(version types.Version) bool { return !p.ask.Any || p.ask.Have != version }

// answer brings the table where it is news, and else confirms the version held.
func (p pendingWatch) answer(t config.Table) watchResponse {
	a := watchResponse{Version: t.Version, Mark: p.ask.Mark}
	if p.news(t.Version) {
		a.Table = &t
	}
	return a
}

// Watcher is the data-plane side.
type Watcher struct {
	me        types.Addr
	stale     time.Duration
	Table     config.Table
	any       bool
	open      bool
	asked     types.MonoTime
	sure      types.MonoTime
	firstMark types.MonoTime // of this process; its questions have higher ones
	mark      types.MonoTime // of the latest question
	questions []question     // that may still be answered, oldest first
}

// question is one that was sent. Its mark comes back with the answer. Marks are
// numbers from a random start and no stamps: the steady clock starts anew with
// each process, and an answer that was meant for an earlier process at this
// address must not confirm anything to this one.
type question struct {
	mark types.MonoTime
	sent types.MonoTime
}

const never = types.MonoTime(-1 << 61)

// NewWatcher makes one that does not decide by what was last confirmed so long
// ago. The first mark must differ from process to process.
func NewWatcher(me types.Addr, stale time.Duration, first types.MonoTime) *Watcher {
	return &Watcher{me: me, stale: stale, sure: never, asked: never, firstMark: first, mark: first}
}

// FirstMark draws the first mark of a process.
func FirstMark(rnd *rand.Rand) types.MonoTime { return types.MonoTime(rnd.Uint64() >> 12) }

// Fresh tells whether the table may be decided by.
func (w *Watcher) Fresh(now types.MonoTime) bool { return now < w.ConfirmedUntil() }

// ConfirmedUntil is when the confirmation of the table ends by the watcher's own
// steady clock. Whoever answers by the table compares it with that clock when
// the answer is given.
func (w *Watcher) ConfirmedUntil() types.MonoTime {
	if !w.any {
		return never
	}
	return w.sure.Add(w.stale)
}

// part is as much of a timing as the confirmation's life is of the default.
func (w *Watcher) part(d time.Duration) time.Duration {
	return min(w.stale, DefaultStaleAfter) * d / DefaultStaleAfter
}

// Tick asks the leader again, at once after an answer.
func (w *Watcher) Tick(now types.MonoTime, lead types.Addr) (sends []wire.Send) {
	wait, held := retryAfter, w.part(longPoll)
	if !w.Fresh(now) {
		wait, held = retryUnconfirmed, shortPoll
	}
	if lead == "" || w.open && now.Sub(w.asked) < w.part(wait) {
		return nil
	}
	w.open, w.asked = true, now
	return []wire.Send{wire.Make(w.me, lead, wire.News, watchRequest{w.Table.Version, w.any, held.Milliseconds(), w.question(now)})}
}

// question notes that one is sent, and gives its mark. Those whose answer could
// no longer confirm anything are forgotten.
func (w *Watcher) question(now types.MonoTime) types.MonoTime {
	w.questions = slices.DeleteFunc(w.questions, func(q question) bool { return now.Sub(q.sent) >= w.stale })
	w.mark++
	w.questions = append(w.questions, question{w.mark, now})
	return w.mark
}

// sent is when the question with a mark was sent.
func (w *Watcher) sent(mark types.MonoTime) types.MonoTime {
	for _, q := range w.questions {
		if q.mark == mark {
			return q.sent
		}
	}
	return never
}

// hasAsked tells whether a question of this process had a mark, answered or not.
func (w *Watcher) hasAsked(mark types.MonoTime) bool { return mark > w.firstMark && mark <= w.mark }

// Take handles an answer; true when the table changed. What it confirms counts
// from when it was asked.
func (w *Watcher) Take(n wire.Message) bool {
	t, ok := wire.Read[watchResponse](n)
	if !ok || !w.hasAsked(t.Mark) {
		return false
	}
	if t.Mark == w.mark {
		w.open = false
	}
	if t.Table != nil && (!w.any || t.Version > w.Table.Version) {
		w.Table, w.any, w.sure = *t.Table, true, max(w.sure, w.sent(t.Mark))
		return true
	}
	if w.any && t.Version == w.Table.Version {
		w.sure = max(w.sure, w.sent(t.Mark))
	}
	return false
}
