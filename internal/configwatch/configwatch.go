// Package configwatch is the editioned long poll by which data-plane daemons get the
// table: the reader asks with the version it has, and the desk answers when it
// has another, or after a short hold to say that there is none. A reader that
// has not been confirmed for a while knows that it may not decide by what it
// has.
package configwatch

import (
	"maps"
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
	Life uint64        `json:"life,omitempty"` // of the process that asks
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
	Life    uint64        `json:"life,omitempty"`
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
	for _, from := range slices.Sorted(maps.Keys(d.waits)) {
		w := d.waits[from]
		fresh := !w.ask.Any || w.ask.Have != t.Version
		if !fresh && now < w.by {
			continue
		}
		b := told{Version: t.Version, Mark: w.ask.Mark, Life: w.ask.Life}
		if fresh {
			b.Table = &t
		}
		sends = append(sends, wire.Make(d.me, from, wire.Told, b))
		delete(d.waits, from)
	}
	return
}

// Reader is the data-plane side.
type Reader struct {
	me    types.Addr
	life  uint64
	stale time.Duration
	Table config.Table
	any   bool
	open  bool
	asked types.Stamp
	sure  types.Stamp
}

// NewReader makes one that does not decide by what was last confirmed so long ago.
// Its life is drawn anew by each process: an answer to the one before at the same
// address counts from that one's clock, and is dropped.
func NewReader(me types.Addr, life uint64, stale time.Duration) *Reader {
	return &Reader{me: me, life: life, stale: stale, sure: -1 << 61, asked: -1 << 61}
}

// Fresh tells whether the table may be decided by.
func (r *Reader) Fresh(now types.Stamp) bool { return r.any && now.Sub(r.sure) < r.stale }

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
	return []wire.Send{wire.Make(r.me, lead, wire.News, ask{r.Table.Version, r.any, held.Milliseconds(), now, r.life})}
}

// mine tells whether an answer is to a question of this life. Desks of earlier
// releases name no life; then only the clock can tell.
func (r *Reader) mine(t told) bool {
	return (t.Life == r.life || t.Life == 0) && t.Mark <= r.asked
}

// Take handles an answer; true when the table changed. What it confirms counts
// from when it was asked.
func (r *Reader) Take(n wire.Message) bool {
	t, ok := wire.Read[told](n)
	if !ok || !r.mine(t) {
		return false
	}
	if t.Mark == r.asked {
		r.open = false
	}
	if t.Table != nil && (!r.any || t.Version > r.Table.Version) {
		r.Table, r.any, r.sure = *t.Table, true, max(r.sure, t.Mark)
		return true
	}
	if r.any && t.Version == r.Table.Version {
		r.sure = max(r.sure, t.Mark)
	}
	return false
}
