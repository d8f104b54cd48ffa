// What callers ask about a job that was accepted: its status now and then, and that it be
// cancelled.

package sim

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
	minWatchInterval    = 500 * time.Millisecond
	watchIntervalSpread = 2 * time.Second

	maxCancelRetries = 10
)

// watchJob asks for a job's status now and then until it has ended.
func (c *Clients) watchJob(id types.JobID) {
	spread := time.Duration(c.world.Random.Int63n(int64(watchIntervalSpread)))
	c.world.After(minWatchInterval+spread, func() {
		watchAgain := func() { c.watchJob(id) }
		onAnswer := func(answer wire.Response) {
			if answer.Error != nil && answer.Error.Kind == apierror.NoSuchJob {
				c.world.Record(history.Event{Kind: history.JobNotFound, Job: id})
				return
			}
			if answer.Error != nil || !c.recordObservation(id, answer) {
				watchAgain()
			}
		}
		c.request(c.anyGateway(), wire.VerbGetJob, string(id), nil, onAnswer, watchAgain)
	})
}

// recordObservation records the status of a job that an answer shows, and returns whether
// the job has ended.
func (c *Clients) recordObservation(id types.JobID, answer wire.Response) (ended bool) {
	var v controller.JobView
	if json.Unmarshal(answer.Body, &v) != nil {
		return false
	}
	c.world.Record(history.Event{Kind: history.JobObserved, Job: id, Status: v.State, Text: v.Reason})
	return v.State == state.JobDone || v.State == state.JobFailed || v.State == state.JobCancelled
}

// cancelJob cancels a job.
func (c *Clients) cancelJob(id types.JobID) {
	c.world.Record(history.Event{Kind: history.CancelSubmitted, Job: id})
	o := newOperation(wire.VerbCancelJob, string(id), nil, maxCancelRetries)
	o.onAccepted = func(wire.Response) {
		c.world.Record(history.Event{Kind: history.CancelAccepted, Job: id})
	}
	c.perform(o, c.anyGateway())
}
