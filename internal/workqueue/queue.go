package workqueue

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// classLimit holds the limits of one class.
type classLimit struct {
	maxLen int // maximum number of queued events
	// maxPassed is how many events of higher classes may be served before the oldest event of this
	// class. It is 0 for the highest class, which never has to wait.
	maxPassed int
}

var limits = [wire.NumClasses]classLimit{
	wire.ClassConsensus:     {maxLen: 8192, maxPassed: 0},
	wire.ClassConfiguration: {maxLen: 1024, maxPassed: 8},
	wire.ClassLeases:        {maxLen: 8192, maxPassed: 8},
	wire.ClassReports:       {maxLen: 8192, maxPassed: 12},
	wire.ClassOperators:     {maxLen: 256, maxPassed: 16},
	wire.ClassCallers:       {maxLen: 1024, maxPassed: 24},
	wire.ClassBackground:    {maxLen: 1024, maxPassed: 48},
}

// LastControlClass is the lowest of the control classes, those that keep the cluster safe.
// The classes below it serve operators and callers.
const LastControlClass = wire.ClassReports

// Queue holds events by class. Pop serves the classes in order, and the events of a class in the
// order of their arrival. A lower class does not starve: it is served at the latest after a bounded
// number of events of higher classes (classLimit).
type Queue[T any] struct {
	Rejected [wire.NumClasses]uint64 // events rejected because their class was full
	classes  [wire.NumClasses]classQueue[T]
	size     int // over all classes
}

// classQueue holds the events of one class.
type classQueue[T any] struct {
	entries []entry[T]
	passed  int // events of higher classes served since this one was last served or empty
}

type entry[T any] struct {
	queuedAt types.MonoTime
	item     T
}

// Push adds an event. If the event's class is full, it counts the event in Rejected and returns
// false.
func (q *Queue[T]) Push(class wire.Class, now types.MonoTime, item T) bool {
	if len(q.classes[class].entries) >= limits[class].maxLen {
		q.Rejected[class]++
		return false
	}
	q.PushAlways(class, now, item)
	return true
}

// PushAlways adds an event that must not be lost, even if its class is full. The number of such
// events is bounded by the operations that the machine itself has started.
func (q *Queue[T]) PushAlways(class wire.Class, now types.MonoTime, item T) {
	c := &q.classes[class]
	c.entries = append(c.entries, entry[T]{now, item})
	q.size++
}

// Pop removes the next event. It returns the event, its class, and when it was queued; ok is false
// if the queue is empty.
func (q *Queue[T]) Pop() (item T, class wire.Class, queuedAt types.MonoTime, ok bool) {
	if q.size == 0 {
		return item, 0, 0, false
	}
	class = q.next()
	e := q.popFrom(class)
	for lower := class + 1; lower < wire.NumClasses; lower++ {
		if len(q.classes[lower].entries) > 0 {
			q.classes[lower].passed++
		}
	}
	return e.item, class, e.queuedAt, true
}

// next returns the class to serve: the highest of those that have reached maxPassed, or else the
// highest that has events. The queue must not be empty.
func (q *Queue[T]) next() wire.Class {
	first := wire.NumClasses
	for class := range wire.NumClasses {
		c := &q.classes[class]
		if len(c.entries) == 0 {
			continue
		}
		if first == wire.NumClasses {
			first = class
		}
		if maxPassed := limits[class].maxPassed; maxPassed > 0 && c.passed >= maxPassed {
			return class
		}
	}
	return first
}

// popFrom removes the oldest event of a class.
func (q *Queue[T]) popFrom(class wire.Class) entry[T] {
	c := &q.classes[class]
	oldest := c.entries[0]
	c.entries[0] = entry[T]{} // releases what it refers to
	c.entries = c.entries[1:]
	if len(c.entries) == 0 {
		c.entries = nil // releases the array
	}
	c.passed = 0
	q.size--
	return oldest
}

// Expire removes the oldest events of a class that have waited longer than maxWait allows, up to
// the first that has not. An event whose maxWait is 0 never expires.
func (q *Queue[T]) Expire(class wire.Class, now types.MonoTime, maxWait func(T) time.Duration) (expired []T) {
	c := &q.classes[class]
	for len(c.entries) > 0 {
		oldest := c.entries[0]
		limit := maxWait(oldest.item)
		if limit == 0 || now.Sub(oldest.queuedAt) <= limit {
			break
		}
		expired = append(expired, q.popFrom(class).item)
	}
	return expired
}

// Len returns the number of queued events.
func (q *Queue[T]) Len() int { return q.size }

// LenOf returns the number of queued events of a class.
func (q *Queue[T]) LenOf(class wire.Class) int { return len(q.classes[class].entries) }

// Age returns how long the oldest event of the classes from first to last has waited.
func (q *Queue[T]) Age(now types.MonoTime, first, last wire.Class) (oldest time.Duration) {
	for class := first; class <= last; class++ {
		if entries := q.classes[class].entries; len(entries) > 0 {
			oldest = max(oldest, now.Sub(entries[0].queuedAt))
		}
	}
	return oldest
}

// Load returns how far the loop is behind, including the event that was just popped.
func (q *Queue[T]) Load(now types.MonoTime, class wire.Class, queuedAt types.MonoTime) wire.Load {
	load := wire.Load{
		EventAge:    now.Sub(queuedAt),
		ControlAge:  q.Age(now, 0, LastControlClass),
		CallerAge:   q.Age(now, wire.ClassOperators, wire.ClassCallers),
		MoreWaiting: q.size > 0,
	}
	switch {
	case class <= LastControlClass:
		load.ControlAge = max(load.ControlAge, load.EventAge)
	case class <= wire.ClassCallers:
		load.CallerAge = max(load.CallerAge, load.EventAge)
	}
	return load
}
