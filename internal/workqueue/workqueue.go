// Package workqueue holds the events that wait for a machine, in one bounded queue
// for each class of work, and gives them out in the order of the classes. A lower
// class can't be starved: it is served after so many events of higher ones. The
// package reads no clock, so a daemon's loop and the simulator share it. It is not
// safe for use by several goroutines.
package workqueue

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// limit bounds one class: how many events may wait, and how many events of higher
// classes may go before its oldest. 0 is for the highest class, which waits for none.
type limit struct{ depth, passes int }

var limits = [wire.Classes]limit{
	wire.Consensus:     {8192, 0},
	wire.Configuration: {1024, 8},
	wire.Leases:        {8192, 8},
	wire.Reports:       {8192, 12},
	wire.Operators:     {256, 16},
	wire.Callers:       {1024, 24},
	wire.Background:    {1024, 48},
}

// ControlClasses are those that keep the rules; the rest serves.
const ControlClasses = wire.Reports

// Queue holds what waits.
type Queue[T any] struct {
	lines   [wire.Classes]line[T]
	size    int
	Refused [wire.Classes]uint64 // for want of room
}

type line[T any] struct {
	entries []entry[T]
	passed  int // events of higher classes since this one was served or was empty
}

type entry[T any] struct {
	at   types.MonoTime
	item T
}

// Push adds an event to its class; false, and counted, where that is full.
func (q *Queue[T]) Push(class wire.Class, now types.MonoTime, item T) bool {
	if len(q.lines[class].entries) >= limits[class].depth {
		q.Refused[class]++
		return false
	}
	q.Force(class, now, item)
	return true
}

// Force adds an event that can't be refused: how many there are is bounded by
// what the machine itself has asked for.
func (q *Queue[T]) Force(class wire.Class, now types.MonoTime, item T) {
	l := &q.lines[class]
	l.entries = append(l.entries, entry[T]{now, item})
	q.size++
}

// Pop gives the next event, its class, and since when it has waited.
func (q *Queue[T]) Pop() (item T, class wire.Class, at types.MonoTime, ok bool) {
	if q.size == 0 {
		return
	}
	class = q.next()
	e := q.take(class)
	for c := class + 1; c < wire.Classes; c++ {
		if len(q.lines[c].entries) > 0 {
			q.lines[c].passed++
		}
	}
	return e.item, class, e.at, true
}

// next is the class to serve: the highest that has been passed over too often, or
// else the highest.
func (q *Queue[T]) next() wire.Class {
	first := wire.Classes
	for c := range wire.Classes {
		l := &q.lines[c]
		if len(l.entries) == 0 {
			continue
		}
		if first == wire.Classes {
			first = c
		}
		if passes := limits[c].passes; passes > 0 && l.passed >= passes {
			return c
		}
	}
	return first
}

func (q *Queue[T]) take(class wire.Class) entry[T] {
	l := &q.lines[class]
	e := l.entries[0]
	l.entries[0] = entry[T]{}
	l.passed = 0
	if l.entries = l.entries[1:]; len(l.entries) == 0 {
		l.entries = nil
	}
	q.size--
	return e
}

// Expire takes out the oldest events of a class that have waited for longer than
// their patience, up to the first that has not; 0 is for what waits for ever.
func (q *Queue[T]) Expire(class wire.Class, now types.MonoTime, patience func(T) time.Duration) (list []T) {
	l := &q.lines[class]
	for len(l.entries) > 0 {
		longest := patience(l.entries[0].item)
		if longest == 0 || now.Sub(l.entries[0].at) <= longest {
			break
		}
		list = append(list, q.take(class).item)
	}
	return
}

// Len is how many events wait.
func (q *Queue[T]) Len() int { return q.size }

// Waits is how many of a class wait.
func (q *Queue[T]) Waits(class wire.Class) int { return len(q.lines[class].entries) }

// Age is how long the oldest event of the classes from one to another has waited.
func (q *Queue[T]) Age(now types.MonoTime, from, to wire.Class) (oldest time.Duration) {
	for c := from; c <= to; c++ {
		if l := q.lines[c].entries; len(l) > 0 {
			oldest = max(oldest, now.Sub(l[0].at))
		}
	}
	return
}

// Load measures how far the loop is behind, for the event that it has just taken.
func (q *Queue[T]) Load(now types.MonoTime, class wire.Class, at types.MonoTime) wire.Load {
	load := wire.Load{Age: now.Sub(at), Waiting: q.size > 0,
		Control: q.Age(now, 0, ControlClasses), Callers: q.Age(now, wire.Operators, wire.Callers)}
	switch {
	case class <= ControlClasses:
		load.Control = max(load.Control, load.Age)
	case class <= wire.Callers:
		load.Callers = max(load.Callers, load.Age)
	}
	return load
}
