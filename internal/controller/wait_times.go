package controller

import (
	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

// waitTimes keeps since when each stage has had something ready to run, without a
// pause and without anything of it being placed.
type waitTimes struct {
	since map[types.StageID]types.MonoTime
}

// update fills in how long each request has waited. Stages without a request are forgotten.
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

// placed restarts the wait of a stage of which something was placed.
func (w *waitTimes) placed(stage types.StageID) { delete(w.since, stage) }

// reset forgets all waits.
func (w *waitTimes) reset() { w.since = nil }
