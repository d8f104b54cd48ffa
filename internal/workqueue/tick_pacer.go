package workqueue

import (
	"time"

	"coppercourse/internal/types"
)

// How ticks and events share a loop. A tick that is due waits for a few events, so
// that dear ticks leave room for what came in, but never for long.
const (
	TickInterval  = 20 * time.Millisecond
	tickSlack     = 2 * time.Millisecond // a loop's ticker and its steps are not in phase
	eventsPerTick = 16
	maxTickDelay  = 100 * time.Millisecond
)

// TickPacer tells a loop when to let time pass in its machine.
type TickPacer struct {
	lastTick types.MonoTime
	events   int
}

// Due tells whether the next step must be a tick; waiting is how many events wait.
func (t *TickPacer) Due(now types.MonoTime, waiting int) bool {
	since := now.Sub(t.lastTick)
	return since >= TickInterval-tickSlack && (waiting == 0 || t.events >= eventsPerTick || t.events > 0 && since >= maxTickDelay)
}

// NoteTick notes a tick.
func (t *TickPacer) NoteTick(now types.MonoTime) { t.lastTick, t.events = now, 0 }

// NoteEvent notes an event.
func (t *TickPacer) NoteEvent() { t.events++ }
