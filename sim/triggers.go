// Faults that strike when something happens: an acknowledgement, an accepted job, an
// order on its way; and what of the network they change.
package sim

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// watcher is shown what is recorded until it has had enough.
type watcher func(history.Event) (enough bool)

func (w *World) notifyWatchers(h history.Event) {
	if len(w.watchers) == 0 {
		return
	}
	list := w.watchers
	w.watchers = nil
	list = slices.DeleteFunc(list, func(f watcher) bool { return f(h) })
	w.watchers = append(list, w.watchers...)
}

// onNextEvent runs something once, some time after the next event of a kind.
func (w *World) onNextEvent(kind history.Kind, shortest, longest time.Duration, run func()) {
	w.watchers = append(w.watchers, func(h history.Event) bool {
		if h.Kind != kind {
			return false
		}
		w.after(shortest+time.Duration(w.random.Int63n(int64(longest-shortest))), run)
		return true
	})
}

// resetRate is the part of a daemon's connections that are reset at once.
const resetRate = 0.5

// lostToReset tells whether a message was lost because connections were reset on its way.
func (w *World) lostToReset(from, to types.Addr, sent int64) bool {
	if len(w.connectionResets) == 0 {
		return false
	}
	hit := func(a types.Addr) bool {
		at, ok := w.connectionResets[a]
		return ok && at >= sent && at <= w.now
	}
	return (hit(from) || hit(to)) && w.random.Float64() < resetRate
}

// losesAcknowledgement tells whether the acknowledgement of a change gets lost on its way.
func (w *World) losesAcknowledgement(verb wire.Verb, a wire.Response) bool {
	return w.ackLossRate > 0 && verb == wire.VerbPutTable && a.Error == nil && w.random.Float64() < w.ackLossRate
}
