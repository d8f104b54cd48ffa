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
	Have types.Version `json:"have"`
	Any  bool          `json:"any"`
	Wait int64         `json:"wait_ms,omitempty"` // how long no news may be held back
	Mark types.Stamp   `json:"mark"`
}

func (a watchRequest) hold() time.Duration {
	if a.Wait == 0 {
		return longPoll
	}
	return min(longPoll, time.Duration(a.Wait)*time.Millisecond)
}

type watchResponse struct {
	Version types.Version `json:"edition"`
	Table   *config.Table `json:"table,omitempty"`
	Mark    types.Stamp   `json:"mark"`
}

type pendingWatch struct {
	ask watchRequest
	by  types.Stamp
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
func (d *Publisher) Take(now types.Stamp, n wire.Message) {
	a, ok := wire.Read[watchRequest](n)
	if !ok || len(d.waits) >= maxWatchers {
		return
	}
	by := now.Add(a.hold())
	if w, ok := d.waits[n.From]; ok { // who asks again does not wait longer for it
		by = min(by, w.by)
	}
	d.waits[n.From] = pendingWatch{a, by}
}

// Answer answers those for whom there is news, or whose hold is over.
func (d *Publisher) Answer(now types.Stamp, t config.Table) (sends []wire.Send) {
	var due []types.Addr
	for from, w := range d.waits {
		if w.news(t.Version) || now >= w.by {
			due = append(due, from)
		}
	}
	slices.Sort(due)
	for _, from := range due {
		sends = append(sends, wire.Make(d.me, from, wire.Told, d.waits[from].answer(t)))
		delete(d.waits, from)
	}
	return
}

// news tells whether who asked has not the table of that version.
func (w pendingWatch) news(version types.Version) bool { return !w.ask.Any || w.ask.Have != version }

// answer brings the table where it is news, and else confirms the version held.
func (w pendingWatch) answer(t config.Table) watchResponse {
	a := watchResponse{Version: t.Version, Mark: w.ask.Mark}
	if w.news(t.Version) {
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
	asked     types.Stamp
	sure      types.Stamp
	firstMark types.Stamp // of this process; its questions have higher ones
	mark      types.Stamp // of the latest question
	questions []question  // that may still be answered, oldest first
}

// question is one that was sent. Its mark comes back with the answer. Marks are
// numbers from a random start and no stamps: the steady clock starts anew with
// each process, and an answer that was meant for an earlier process at this
// address must not confirm anything to this one.
type question struct {
	mark types.Stamp
	sent types.Stamp
}

const never = types.Stamp(-1 << 61)

// NewWatcher makes one that does not decide by what was last confirmed so long
// ago. The first mark must differ from process to process.
func NewWatcher(me types.Addr, stale time.Duration, first types.Stamp) *Watcher {
	return &Watcher{me: me, stale: stale, sure: never, asked: never, firstMark: first, mark: first}
}

// FirstMark draws the first mark of a process.
func FirstMark(rnd *rand.Rand) types.Stamp { return types.Stamp(rnd.Uint64() >> 12) }

// Fresh tells whether the table may be decided by.
func (r *Watcher) Fresh(now types.Stamp) bool { return now < r.ConfirmedUntil() }

// ConfirmedUntil is when the confirmation of the table ends by the watcher's own
// steady clock. Whoever answers by the table compares it with that clock when
// the answer is given.
func (r *Watcher) ConfirmedUntil() types.Stamp {
	if !r.any {
		return never
	}
	return r.sure.Add(r.stale)
}

// part is as much of a timing as the confirmation's life is of the default.
func (r *Watcher) part(d time.Duration) time.Duration {
	return min(r.stale, DefaultStaleAfter) * d / DefaultStaleAfter
}

// Tick asks the leader again, at once after an answer.
func (r *Watcher) Tick(now types.Stamp, lead types.Addr) (sends []wire.Send) {
	wait, held := retryAfter, r.part(longPoll)
	if !r.Fresh(now) {
		wait, held = retryUnconfirmed, shortPoll
	}
	if lead == "" || r.open && now.Sub(r.asked) < r.part(wait) {
		return nil
	}
	r.open, r.asked = true, now
	return []wire.Send{wire.Make(r.me, lead, wire.News, watchRequest{r.Table.Version, r.any, held.Milliseconds(), r.question(now)})}
}

// question notes that one is sent, and gives its mark. Those whose answer could
// no longer confirm anything are forgotten.
func (r *Watcher) question(now types.Stamp) types.Stamp {
	r.questions = slices.DeleteFunc(r.questions, func(q question) bool { return now.Sub(q.sent) >= r.stale })
	r.mark++
	r.questions = append(r.questions, question{r.mark, now})
	return r.mark
}

// sent is when the question with a mark was sent.
func (r *Watcher) sent(mark types.Stamp) types.Stamp {
	for _, q := range r.questions {
		if q.mark == mark {
			return q.sent
		}
	}
	return never
}

// hasAsked tells whether a question of this process had a mark, answered or not.
func (r *Watcher) hasAsked(mark types.Stamp) bool { return mark > r.firstMark && mark <= r.mark }

// Take handles an answer; true when the table changed. What it confirms counts
// from when it was asked.
func (r *Watcher) Take(n wire.Message) bool {
	t, ok := wire.Read[watchResponse](n)
	if !ok || !r.hasAsked(t.Mark) {
		return false
	}
	if t.Mark == r.mark {
		r.open = false
	}
	if t.Table != nil && (!r.any || t.Version > r.Table.Version) {
		r.Table, r.any, r.sure = *t.Table, true, max(r.sure, r.sent(t.Mark))
		return true
	}
	if r.any && t.Version == r.Table.Version {
		r.sure = max(r.sure, r.sent(t.Mark))
	}
	return false
}
