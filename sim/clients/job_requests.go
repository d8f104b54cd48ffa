// What callers ask about a job that was accepted: its status now and then, and that it be
// cancelled.

package clients

import (
	"encoding/json"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/controller"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

const (
	minWatchInterval   = 500 * time.Millisecond
	watchIntervalRange = 2 * time.Second

	maxCancelRetries = 10
)

// WatchJob asks for a job's status now and then until it has ended.
func (g *Group) WatchJob(id types.JobID) {
	spread := time.Duration(g.world.Random.Int63n(int64(watchIntervalRange)))
	g.world.After(minWatchInterval+spread, func() {
		watchAgain := func() { g.WatchJob(id) }
		onAnswer := func(answer wire.Response) {
			if answer.Error != nil && answer.Error.Kind == apierror.NoSuchJob {
				g.world.Record(history.Event{Kind: history.JobNotFound, Job: id})
				return
			}
			if answer.Error != nil || !g.RecordObservation(id, answer) {
				watchAgain()
			}
		}
		g.request(g.AnyGateway(), wire.VerbGetJob, string(id), nil, onAnswer, watchAgain)
	})
}

// RecordObservation records the status of a job that an answer shows, and returns whether
// the job has ended.
func (g *Group) RecordObservation(id types.JobID, answer wire.Response) (ended bool) {
	var v controller.JobView
	if json.Unmarshal(answer.Body, &v) != nil {
		return false
	}
	g.world.Record(history.Event{Kind: history.JobObserved, Job: id, Status: v.State, Text: v.Reason})
	return v.State == state.JobDone || v.State == state.JobFailed || v.State == state.JobCancelled
}

// CancelJob cancels a job.
func (g *Group) CancelJob(id types.JobID) {
	g.world.Record(history.Event{Kind: history.CancelSubmitted, Job: id})
	o := newOperation(wire.VerbCancelJob, string(id), nil, maxCancelRetries)
	o.onAccepted = func(wire.Response) {
		g.world.Record(history.Event{Kind: history.CancelAccepted, Job: id})
	}
	g.perform(o, g.AnyGateway())
}
