package server

import (
	"sync/atomic"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// PublishedTable holds a view of the queue table for HTTP requests, of a type T. The view is built
// once for each version. Only the state machine's goroutine publishes; any number of requests
// read concurrently. The zero value holds no table.
//
// Each request compares the end of the confirmation with the clock, so that an outdated table
// does not stay in use while the machine is stalled.
type PublishedTable[T any] struct {
	Clock func() types.MonoTime // MonotonicNow if nil

	last atomic.Pointer[publication[T]]
}

// publication is one table with one confirmation. It is immutable.
type publication[T any] struct {
	version        types.Version
	confirmedUntil types.MonoTime // afterwards a newer version may be in effect elsewhere
	view           T
}

// Publish replaces the table for all requests from now on. The view must be immutable. If the same
// version is published again, its first view is kept and only the confirmation is replaced.
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

// Last returns the view of the last published table, whether or not it is still confirmed.
// It reports false if there is none.
func (p *PublishedTable[T]) Last() (view T, ok bool) {
	if last := p.last.Load(); last != nil {
		return last.view, true
	}
	return view, false
}

// Confirmed returns the view of the last published table if that is still confirmed. It reports
// false if there is no table or its confirmation has expired. The clock is read after the request
// arrived and after the table was loaded, so that the table was confirmed at some time between
// the request and its response, however slow this daemon is.
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
