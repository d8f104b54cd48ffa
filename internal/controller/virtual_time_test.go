package controller

import (
	"cmp"
	"slices"
	"time"
)

// scheduledEvent is something that happens at a virtual time.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// virtualTime runs events in the order of their times; those of one time in the order in
// which they were scheduled.
type virtualTime struct {
	now    time.Duration
	events []scheduledEvent // in order
}

// after schedules an event.
func (v *virtualTime) after(d time.Duration, run func()) {
	event := scheduledEvent{v.now + d, run}
	i, _ := slices.BinarySearchFunc(v.events, event.at, func(e scheduledEvent, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1) // behind those of the same time
	})
	v.events = slices.Insert(v.events, i, event)
}

// run lets time pass.
func (v *virtualTime) run(d time.Duration) {
	end := v.now + d
	for len(v.events) > 0 && v.events[0].at <= end {
		next := v.events[0]
		v.events = slices.Delete(v.events, 0, 1)
		v.now = next.at
		next.run()
	}
	v.now = end
}
