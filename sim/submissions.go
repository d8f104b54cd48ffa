// Callers that submit jobs. A caller sends a job to a ready gateway of its zone, and the
// same again to any gateway when the answer is lost or says to retry.

package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

const (
	callerZones = 3 // zones that callers are in

	// The interval between two jobs is this part of the mean one, and up to one more.
	minIntervalPart = 0.5

	// One job of a flow in so many has a last step that must not start before a time.
	oneDelayedIn   = 8
	maxDelayMillis = 3000
	nanosPerMilli  = 1e6

	impatientDelay = 200 * time.Millisecond // after which an impatient caller retries
	maxCancelDelay = 3 * time.Second        // from a job's acceptance until it is cancelled
)

// startFlow submits jobs of a flow until the clients are closed.
func (c *Clients) startFlow(f deployment.Flow) {
	c.afterInterval(f.MeanInterval, func() {
		id := c.nextJobID(f.Queue)
		spec := f.NewSpec(c.world.Random)
		c.delayLastStep(&spec)
		c.submitNew(id, spec)
		c.startFlow(f)
	})
}

// startStream submits jobs of a stream until the clients are closed.
func (c *Clients) startStream(s deployment.Stream) {
	c.afterInterval(s.MeanInterval, func() {
		id := c.nextJobID(s.Queue)
		spec := s.NewSpec(c.world.Random, c.world.Now())
		c.drawCancellation(id, s)
		c.submitNew(id, spec)
		c.startStream(s)
	})
}

// afterInterval calls next after an interval drawn at random, if the clients are still open.
func (c *Clients) afterInterval(mean time.Duration, next func()) {
	interval := time.Duration((minIntervalPart + c.world.Random.Float64()) * float64(mean))
	c.world.After(interval/time.Duration(max(1, c.BurstFactor)), func() {
		if c.open {
			next()
		}
	})
}

// nextJobID names a job by its queue and a number.
func (c *Clients) nextJobID(queue types.QueueName) types.JobID {
	c.lastJob++
	return types.JobID(fmt.Sprintf("%s-%d", queue, c.lastJob))
}

// delayLastStep gives the last step of some jobs a time before which it must not start.
func (c *Clients) delayLastStep(spec *state.Spec) {
	if c.world.Random.Intn(oneDelayedIn) != 0 {
		return
	}
	delay := int64(c.world.Random.Intn(maxDelayMillis)) * nanosPerMilli
	notBefore := time.Unix(0, history.WallClockStart+c.world.Now()+delay).UTC()
	spec.Steps[len(spec.Steps)-1].NotBefore = notBefore.Format(time.RFC3339Nano)
}

// drawCancellation draws whether a job of a stream is cancelled, and when.
func (c *Clients) drawCancellation(id types.JobID, s deployment.Stream) {
	if c.world.Random.Float64() < s.CancelRate {
		spread := time.Duration(c.world.Random.Int63n(int64(s.CancelWithin)))
		c.cancelDelays[id] = s.CancelWithin/3 + spread
	}
}

// submitNew submits a job for the first time, at the gateway of a zone drawn at random.
func (c *Clients) submitNew(id types.JobID, spec state.Spec) {
	c.world.Record(history.Event{Kind: history.JobSubmitted, Job: id, Spec: &spec})
	c.submit(id, encodeSpec(spec), c.readyGateway(c.world.Random.Intn(callerZones)))
}

func encodeSpec(spec state.Spec) json.RawMessage { return wire.EncodeBody(spec) }

// submit submits an encoded job. Once it is accepted, its caller watches it and may cancel it.
func (c *Clients) submit(id types.JobID, body json.RawMessage, to types.Addr) {
	o := newOperation(wire.VerbSubmitJob, string(id), body, c.MaxRetries)
	o.onAccepted = func(answer wire.Response) {
		c.world.Record(history.Event{Kind: history.JobAccepted, Job: id})
		c.recordObservation(id, answer)
		c.watchJob(id)
		c.scheduleCancellation(id)
	}
	o.onRejected = func(err *apierror.Error) {
		c.Refusals[err.Kind]++
		c.world.Record(history.Event{Kind: history.JobDenied, Job: id, Text: err.Error()})
	}
	o.onTimeout = func() {
		c.world.Record(history.Event{Kind: history.SubmissionUnresolved, Job: id})
	}
	o.retryDelay = func(err *apierror.Error) time.Duration {
		c.Refusals[err.Kind]++
		c.recordRetryableError(id, err)
		if c.ImpatientRate > 0 && c.world.Random.Float64() < c.ImpatientRate {
			return impatientDelay
		}
		return retryAfter(err)
	}
	c.perform(o, to)
}

// recordRetryableError records whether a submission that may be retried had an effect.
func (c *Clients) recordRetryableError(id types.JobID, err *apierror.Error) {
	event := history.Event{Kind: history.SubmissionRejected, Job: id, Text: err.Error()}
	if err.Kind == apierror.OutcomeUnknown {
		event = history.Event{Kind: history.SubmissionUnresolved, Job: id}
	}
	c.world.Record(event)
}

// scheduleCancellation has the caller of an accepted job cancel it later, if it is to be
// cancelled. It is drawn now for a job of a flow, and was before for one of a stream.
func (c *Clients) scheduleCancellation(id types.JobID) {
	delay, ok := c.cancelDelays[id]
	if !ok {
		if c.deployment.Invoked() || c.world.Random.Float64() >= c.CancelRate {
			return
		}
		delay = time.Duration(c.world.Random.Int63n(int64(maxCancelDelay)))
	}
	c.world.After(delay, func() { c.cancelJob(id) })
}
