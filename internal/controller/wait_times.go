package controller

import (
	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

// waitTimes tracks since when each stage has continuously had ready tasks without any of them
// being placed.
type waitTimes struct {
	since map[types.StageID]types.MonoTime
}

// update sets WaitingFor of each request and drops the stages without a request.
func (w *waitTimes) update(now types.MonoTime, requests []placement.Request) {
	next := make(map[types.StageID]types.MonoTime, len(requests))
	for i := range requests {
		request := &requests[i]
		since, ok := w.since[request.StageID]
		if !ok {
			since = now
		}
		next[request.StageID], request.WaitingFor = since, now.Sub(since)
	}
	w.since = next
}

// placed restarts the wait of a stage after one of its tasks was placed.
func (w *waitTimes) placed(stage types.StageID) { delete(w.since, stage) }

// reset drops all waits.
func (w *waitTimes) reset() { w.since = nil }
