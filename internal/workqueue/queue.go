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

// classLimit bounds one class: how many events may wait, and how many events of higher
// classes may go before its oldest. 0 is for the highest class, which waits for none.
type classLimit struct{ maxLen, maxPassed int }

var limits = [wire.NumClasses]classLimit{
	wire.ClassConsensus:     {8192, 0},
	wire.ClassConfiguration: {1024, 8},
	wire.ClassLeases:        {8192, 8},
	wire.ClassReports:       {8192, 12},
	wire.ClassOperators:     {256, 16},
	wire.ClassCallers:       {1024, 24},
	wire.ClassBackground:    {1024, 48},
}

// LastControlClass are those that keep the rules; the rest serves.
const LastControlClass = wire.ClassReports

// Queue holds what waits.
type Queue[T any] struct {
	classes  [wire.NumClasses]classQueue[T]
	size     int
	Rejected [wire.NumClasses]uint64 // for want of room
}

type classQueue[T any] struct {
	entries []entry[T]
	passed  int // events of higher classes since this one was served or was empty
}

type entry[T any] struct {
	queuedAt types.MonoTime
	item     T
}

// Push adds an event to its class; false, and counted, where that is full.
func (q *Queue[T]) Push(class wire.Class, now types.MonoTime, item T) bool {
	if len(q.classes[class].entries) >= limits[class].maxLen {
		q.Rejected[class]++
		return false
	}
	q.PushAlways(class, now, item)
	return true
}

// PushAlways adds an event that can't be refused: how many there are is bounded by
// what the machine itself has asked for.
func (q *Queue[T]) PushAlways(class wire.Class, now types.MonoTime, item T) {
	l := &q.classes[class]
	l.entries = append(l.entries, entry[T]{now, item})
	q.size++
}

// Pop gives the next event, its class, and since when it has waited.
func (q *Queue[T]) Pop() (item T, class wire.Class, at types.MonoTime, ok bool) {
	if q.size == 0 {
		return
	}
	class = q.next()
	e := q.popFrom(class)
	for c := class + 1; c < wire.NumClasses; c++ {
		if len(q.classes[c].entries) > 0 {
			q.classes[c].passed++
		}
	}
	return e.item, class, e.queuedAt, true
}

// next is the class to serve: the highest that has been passed over too often, or
// else the highest.
func (q *Queue[T]) next() wire.Class {
	first := wire.NumClasses
	for c := range wire.NumClasses {
		l := &q.classes[c]
		if len(l.entries) == 0 {
			continue
		}
		if first == wire.NumClasses {
			first = c
		}
		if passes := limits[c].maxPassed; passes > 0 && l.passed >= passes {
			return c
		}
	}
	return first
}

func (q *Queue[T]) popFrom(class wire.Class) entry[T] {
	l := &q.classes[class]
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
func (q *Queue[T]) Expire(class wire.Class, now types.MonoTime, maxWait func(T) time.Duration) (list []T) {
	l := &q.classes[class]
	for len(l.entries) > 0 {
		longest := maxWait(l.entries[0].item)
		if longest == 0 || now.Sub(l.entries[0].queuedAt) <= longest {
			break
		}
		list = append(list, q.popFrom(class).item)
	}
	return
}

// Len is how many events wait.
func (q *Queue[T]) Len() int { return q.size }

// LenOf is how many of a class wait.
func (q *Queue[T]) LenOf(class wire.Class) int { return len(q.classes[class].entries) }

// Age is how long the oldest event of the classes from one to another has waited.
func (q *Queue[T]) Age(now types.MonoTime, from, to wire.Class) (oldest time.Duration) {
	for c := from; c <= to; c++ {
		if l := q.classes[c].entries; len(l) > 0 {
			oldest = max(oldest, now.Sub(l[0].queuedAt))
		}
	}
	return
}

// Load measures how far the loop is behind, for the event that it has just taken.
func (q *Queue[T]) Load(now types.MonoTime, class wire.Class, at types.MonoTime) wire.Load {
	load := wire.Load{EventAge: now.Sub(at), MoreWaiting: q.size > 0,
		ControlAge: q.Age(now, 0, LastControlClass), CallerAge: q.Age(now, wire.ClassOperators, wire.ClassCallers)}
	switch {
	case class <= LastControlClass:
		load.ControlAge = max(load.ControlAge, load.EventAge)
	case class <= wire.ClassCallers:
		load.CallerAge = max(load.CallerAge, load.EventAge)
	}
	return load
}
