package world

import (
	"slices"
	"time"

	"coppercourse/sim/history"
)

// watcher is shown each event that is recorded until it has seen enough.
type watcher func(history.Event) (enough bool)

func (w *World) notifyWatchers(event history.Event) {
	if len(w.watchers) == 0 {
		return
	}
	list := w.watchers
	w.watchers = nil // those that are added meanwhile see the next event
	list = slices.DeleteFunc(list, func(f watcher) bool { return f(event) })
	w.watchers = append(list, w.watchers...)
}

// OnNextEvent runs something once, some time after the next event of a kind.
func (w *World) OnNextEvent(kind history.Kind, shortest, longest time.Duration, run func()) {
	w.watchers = append(w.watchers, func(event history.Event) bool {
		if event.Kind != kind {
			return false
		}
		w.After(shortest+randomBelow(w.Random, longest-shortest), run)
		return true
	})
}

// ClearWatchers forgets what was to run after events that have not come.
func (w *World) ClearWatchers() { w.watchers = nil }
