package controller

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// workerShapes records in the replicated state what each worker offers, so that a job that no
// worker can ever run is distinguished from one whose workers are disconnected.
type workerShapes struct {
	proposed types.Index // index of the newest proposal; the next one waits until it is applied
	timer    reviewTimer
}

// reset drops the state of the previous leadership.
func (w *workerShapes) reset() { *w = workerShapes{} }

// propose proposes the shapes that have changed, if the review is due.
func (w *workerShapes) propose(v *leaderView, log *commandLog) {
	if w.proposed > log.applied() || !w.timer.due(v.now) {
		return
	}
	if changed := changedShapes(v); changed != nil {
		w.proposed, _ = log.propose(state.Command{WorkerShapes: changed})
	}
}

// changedShapes lists the shapes that differ from those in the state.
func changedShapes(v *leaderView) []state.WorkerShape {
	var changed []state.WorkerShape
	for _, worker := range v.scheduler.Workers() {
		shape := shapeOf(worker)
		known, ok := v.state.WorkerShapes[worker.Shard]
		if worker.State == protocol.WorkerNew || ok && (worker.Capacity.Cores == 0 || sameShape(known, shape)) {
			continue // no cores reported: the agent has not heard from the worker yet
		}
		changed = append(changed, shape)
	}
	return changed
}

// shapeOf returns the shape that a worker reports.
func shapeOf(worker *scheduler.RemoteWorker) state.WorkerShape {
	return state.WorkerShape{
		Shard:         worker.Shard,
		Rack:          worker.Rack,
		Kinds:         worker.Kinds,
		Resources:     worker.Capacity,
		Labels:        worker.Labels,
		CalledByAgent: worker.CalledByAgent,
	}
}

// sameShape reports whether two shapes of a worker are equal.
func sameShape(a, b state.WorkerShape) bool {
	return a.Rack == b.Rack && a.Resources == b.Resources && a.CalledByAgent == b.CalledByAgent &&
		slices.Equal(a.Kinds, b.Kinds) && slices.Equal(a.Labels, b.Labels)
}
