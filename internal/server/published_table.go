package server

import (
	"sync/atomic"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// PublishedTable holds what HTTP requests need of the queue table, in a form T that is made
// once for each version. One goroutine publishes, that of the state machine; any number
// of requests read at the same time. The zero value holds no table.
//
// The end of the confirmation is compared with the clock at each request, so that a
// machine that takes no step for long can't keep an old table in use.
type PublishedTable[T any] struct {
	Clock func() types.MonoTime // MonotonicNow if nil

	last atomic.Pointer[publication[T]]
}

// publication is one table with one confirmation. It never changes.
type publication[T any] struct {
	version        types.Version
	confirmedUntil types.MonoTime // after it a newer version may be in force elsewhere
	view           T
}

// Publish replaces the table for all requests from now on. The view must not be changed
// afterwards. A version that is published again keeps the view that was made of it first;
// only its confirmation is replaced.
func (p *PublishedTable[T]) Publish(
	table config.Table, confirmedUntil types.MonoTime, makeView func(config.Table) T,
) {
	last := p.last.Load()
	switch {
	case last == nil || last.version != table.Version:
		p.last.Store(&publication[T]{table.Version, confirmedUntil, makeView(table)})
	case last.confirmedUntil != confirmedUntil:
		p.last.Store(&publication[T]{last.version, confirmedUntil, last.view})
	}
}

// Last returns the view of the table published last, whether or not it is still confirmed.
// It reports false if there is none.
func (p *PublishedTable[T]) Last() (view T, ok bool) {
	if last := p.last.Load(); last != nil {
		return last.view, true
	}
	return view, false
}

// Confirmed returns the view of the table to decide by. It reports false if there is none
// or its confirmation has ended. The clock is read after the request came and after the
// table was loaded, so that a decision holds at a moment between the request and its
// response, however slow this daemon is.
func (p *PublishedTable[T]) Confirmed() (view T, ok bool) {
	last := p.last.Load()
	if last == nil || p.now() >= last.confirmedUntil {
		return view, false
	}
	return last.view, true
}

func (p *PublishedTable[T]) now() types.MonoTime {
	if p.Clock == nil {
		return MonotonicNow()
	}
	return p.Clock()
}
