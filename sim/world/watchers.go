package world

import (
	"slices"
	"time"

	"coppercourse/sim/history"
)

// watcher is called with each recorded event until it returns true.
type watcher func(history.Event) (done bool)

func (w *World) notifyWatchers(event history.Event) {
	if len(w.watchers) == 0 {
		return
	}
	list := w.watchers
	w.watchers = nil // watchers added during the calls see the next event
	list = slices.DeleteFunc(list, func(f watcher) bool { return f(event) })
	w.watchers = append(list, w.watchers...)
}

// OnNextEvent schedules run once, a random time in [shortest, longest) after the next event of a
// kind.
func (w *World) OnNextEvent(kind history.Kind, shortest, longest time.Duration, run func()) {
	w.watchers = append(w.watchers, func(event history.Event) bool {
		if event.Kind != kind {
			return false
		}
		w.After(shortest+randomBelow(w.Random, longest-shortest), run)
		return true
	})
}

// ClearWatchers removes all watchers whose events have not occurred.
func (w *World) ClearWatchers() { w.watchers = nil }
