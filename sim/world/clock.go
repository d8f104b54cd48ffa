package world

import (
	"container/heap"
	"time"
)

// clock holds the virtual time and the events scheduled in it.
type clock struct {
	now          int64 // nanoseconds since the start of the run
	lastSequence uint64
	scheduled    eventHeap
}

// scheduledEvent is a function to run at a virtual time. Events with the same time run in the
// order in which they were scheduled.
type scheduledEvent struct {
	at       int64
	sequence uint64
	run      func()
}

// eventHeap is a heap of the scheduled events, ordered by time.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].sequence < h[k].sequence
}

func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push adds an event at the end, for container/heap.
func (h *eventHeap) Push(event any) {
	if e, ok := event.(scheduledEvent); ok {
		*h = append(*h, e)
	}
}

// Pop removes the last event, for container/heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// Now returns the true time in nanoseconds since the start of the run.
func (c *clock) Now() int64 { return c.now }

// After schedules run after a delay.
func (c *clock) After(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.scheduled, scheduledEvent{c.now + int64(d), c.lastSequence, run})
}

// RunUntil runs all events scheduled up to a time since the start of the run.
func (c *clock) RunUntil(until time.Duration) {
	for len(c.scheduled) > 0 && c.scheduled[0].at <= int64(until) {
		next := c.scheduled[0]
		heap.Pop(&c.scheduled)
		c.now = next.at
		next.run()
	}
	c.now = int64(until)
}
