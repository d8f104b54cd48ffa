package workqueue

import (
	"time"

	"coppercourse/internal/types"
)

// How ticks and events share a loop. A tick that is due waits for a few events, so
// that dear ticks leave room for what came in, but never for long.
const (
	TickEvery     = 20 * time.Millisecond
	tickEarly     = 2 * time.Millisecond // a loop's ticker and its steps are not in phase
	eventsATick   = 16
	longestToTick = 100 * time.Millisecond
)

// Ticks tells a loop when to let time pass in its machine.
type Ticks struct {
	last   types.MonoTime
	events int
}

// Due tells whether the next step must be a tick; waiting is how many events wait.
func (t *Ticks) Due(now types.MonoTime, waiting int) bool {
	since := now.Sub(t.last)
	return since >= TickEvery-tickEarly && (waiting == 0 || t.events >= eventsATick || t.events > 0 && since >= longestToTick)
}

// Ticked notes a tick.
func (t *Ticks) Ticked(now types.MonoTime) { t.last, t.events = now, 0 }

// Took notes an event.
func (t *Ticks) Took() { t.events++ }
