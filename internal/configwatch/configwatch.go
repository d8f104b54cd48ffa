// Package configwatch is the editioned long poll by which data-plane daemons get the
// table: the reader asks with the version it has, and the desk answers when it
// has another, or after a short hold to say that there is none. A reader that
// has not been confirmed for a while knows that it may not decide by what it
// has. A confirmation counts from when its question was sent, by the reader's
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
	hold  = 400 * time.Millisecond
	again = 700 * time.Millisecond
	eager = 100 * time.Millisecond // while what it has is not confirmed
	soon  = time.Millisecond       // then no news is news too, and told at once
	most  = 500
)

type ask struct {
	Have types.Version `json:"have"`
	Any  bool          `json:"any"`
	Wait int64         `json:"wait_ms,omitempty"` // how long no news may be held back
	Mark types.Stamp   `json:"mark"`
}

func (a ask) hold() time.Duration {
	if a.Wait == 0 {
		return hold
	}
	return min(hold, time.Duration(a.Wait)*time.Millisecond)
}

type told struct {
	Version types.Version `json:"edition"`
	Table   *config.Table `json:"table,omitempty"`
	Mark    types.Stamp   `json:"mark"`
}

type wait struct {
	ask ask
	by  types.Stamp
}

// Stale is the default for how long a confirmation lasts.
const Stale = 1500 * time.Millisecond

// Desk is the leader's side.
type Desk struct {
	me    types.Addr
	waits map[types.Addr]wait
}

func NewDesk(me types.Addr) *Desk { return &Desk{me, map[types.Addr]wait{}} }

func (d *Desk) Take(now types.Stamp, n wire.Message) {
	a, ok := wire.Read[ask](n)
	if !ok || len(d.waits) >= most {
		return
	}
	by := now.Add(a.hold())
	if w, ok := d.waits[n.From]; ok { // who asks again does not wait longer for it
		by = min(by, w.by)
	}
	d.waits[n.From] = wait{a, by}
}

// Tell answers those for whom there is news, or whose hold is over.
func (d *Desk) Tell(now types.Stamp, t config.Table) (sends []wire.Send) {
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
func (w wait) news(version types.Version) bool { return !w.ask.Any || w.ask.Have != version }

// answer brings the table where it is news, and else confirms the version held.
func (w wait) answer(t config.Table) told {
	a := told{Version: t.Version, Mark: w.ask.Mark}
	if w.news(t.Version) {
		a.Table = &t
	}
	return a
}

// Reader is the data-plane side.
type Reader struct {
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

// NewReader makes one that does not decide by what was last confirmed so long
// ago. The first mark must differ from process to process.
func NewReader(me types.Addr, stale time.Duration, first types.Stamp) *Reader {
	return &Reader{me: me, stale: stale, sure: never, asked: never, firstMark: first, mark: first}
}

// FirstMark draws the first mark of a process.
func FirstMark(rnd *rand.Rand) types.Stamp { return types.Stamp(rnd.Uint64() >> 12) }

// Fresh tells whether the table may be decided by.
func (r *Reader) Fresh(now types.Stamp) bool { return now < r.ConfirmedUntil() }

// ConfirmedUntil is when the confirmation of the table ends by the reader's own
// steady clock. Whoever answers by the table compares it with that clock when
// the answer is given.
func (r *Reader) ConfirmedUntil() types.Stamp {
	if !r.any {
		return never
	}
	return r.sure.Add(r.stale)
}

// part is as much of a timing as the confirmation's life is of the default.
func (r *Reader) part(d time.Duration) time.Duration { return min(r.stale, Stale) * d / Stale }

// Tick asks the leader again, at once after an answer.
func (r *Reader) Tick(now types.Stamp, lead types.Addr) (sends []wire.Send) {
	wait, held := again, r.part(hold)
	if !r.Fresh(now) {
		wait, held = eager, soon
	}
	if lead == "" || r.open && now.Sub(r.asked) < r.part(wait) {
		return nil
	}
	r.open, r.asked = true, now
	return []wire.Send{wire.Make(r.me, lead, wire.News, ask{r.Table.Version, r.any, held.Milliseconds(), r.question(now)})}
}

// question notes that one is sent, and gives its mark. Those whose answer could
// no longer confirm anything are forgotten.
func (r *Reader) question(now types.Stamp) types.Stamp {
	r.questions = slices.DeleteFunc(r.questions, func(q question) bool { return now.Sub(q.sent) >= r.stale })
	r.mark++
	r.questions = append(r.questions, question{r.mark, now})
	return r.mark
}

// sent is when the question with a mark was sent.
func (r *Reader) sent(mark types.Stamp) types.Stamp {
	for _, q := range r.questions {
		if q.mark == mark {
			return q.sent
		}
	}
	return never
}

// hasAsked tells whether a question of this process had a mark, answered or not.
func (r *Reader) hasAsked(mark types.Stamp) bool { return mark > r.firstMark && mark <= r.mark }

// Take handles an answer; true when the table changed. What it confirms counts
// from when it was asked.
func (r *Reader) Take(n wire.Message) bool {
	t, ok := wire.Read[told](n)
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
