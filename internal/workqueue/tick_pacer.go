package workqueue

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// TickInterval is the time between two ticks of a loop that is not behind.
	TickInterval = 20 * time.Millisecond
	// tickSlack is how much earlier than that a tick may come: a loop's ticker and its steps
	// are not in phase.
	tickSlack = 2 * time.Millisecond
	// eventsPerTick is how many events go before a tick that is due, so that expensive ticks
	// leave time for events.
	eventsPerTick = 16
	// maxTickDelay is when a tick is due after the last one in any case, once there was an
	// event in between.
	maxTickDelay = 100 * time.Millisecond
)

// TickPacer decides when a loop lets its machine take a tick rather than an event.
type TickPacer struct {
	lastTick types.MonoTime
	events   int // since the last tick
}

// Due reports whether the next step must be a tick, with so many events waiting.
func (p *TickPacer) Due(now types.MonoTime, waiting int) bool {
	since := now.Sub(p.lastTick)
	if since < TickInterval-tickSlack {
		return false
	}
	return waiting == 0 ||
		p.events >= eventsPerTick ||
		p.events > 0 && since >= maxTickDelay
}

// RecordTick records that the machine took a tick.
func (p *TickPacer) RecordTick(now types.MonoTime) { p.lastTick, p.events = now, 0 }

// RecordEvent records that the machine took an event.
func (p *TickPacer) RecordEvent() { p.events++ }
