package controller

import (
	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

// waitTimes keeps since when each task group has had something ready to run, without a
// pause and without anything of it being placed.
type waitTimes struct {
	since map[placement.TaskGroup]types.MonoTime
}

// update fills in how long each request has waited. Groups without a request are forgotten.
func (w *waitTimes) update(now types.MonoTime, requests []placement.Request) {
	next := make(map[placement.TaskGroup]types.MonoTime, len(requests))
	for i := range requests {
		request := &requests[i]
		since, ok := w.since[request.TaskGroup]
		if !ok {
			since = now
		}
		next[request.TaskGroup], request.WaitingFor = since, now.Sub(since)
	}
	w.since = next
}

// placed restarts the wait of a group of which something was placed.
func (w *waitTimes) placed(group placement.TaskGroup) { delete(w.since, group) }

// reset forgets all waits.
func (w *waitTimes) reset() { w.since = nil }
