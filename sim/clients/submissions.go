// Callers that submit jobs. A caller sends a job to a ready gateway, of its own zone if possible,
// and resends it to any gateway if the response is lost or requests a retry.

package clients

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
	callerZones = 3 // number of zones with callers

	// MinIntervalFraction is the minimum interval between two jobs as a fraction of the mean. The
	// interval is uniform between the minimum and one mean more.
	MinIntervalFraction = 0.5

	// One in oneDelayedIn jobs of a flow has a last step with a NotBefore time.
	oneDelayedIn   = 8
	maxDelayMillis = 3000
	nanosPerMilli  = 1e6

	earlyRetryDelay = 200 * time.Millisecond // delay of a retry that ignores Retry-After
	maxCancelDelay  = 3 * time.Second        // from the acceptance of a job to its cancellation
)

// StartFlow submits jobs of a flow while Submitting is set.
func (g *Group) StartFlow(f deployment.Flow) {
	g.afterInterval(f.MeanInterval, func() {
		id := g.NextJobID(f.Queue)
		spec := f.NewSpec(g.world.Random)
		g.delayLastStep(&spec)
		g.SubmitNew(id, spec)
		g.StartFlow(f)
	})
}

// StartStream submits jobs of a stream while Submitting is set.
func (g *Group) StartStream(s deployment.Stream) {
	g.afterInterval(s.MeanInterval, func() {
		id := g.NextJobID(s.Queue)
		spec := s.NewSpec(g.world.Random, g.world.Now())
		g.Deployment.AssignTenant(g.world.Random, &spec)
		g.drawCancellation(id, s)
		g.SubmitNew(id, spec)
		g.StartStream(s)
	})
}

// afterInterval calls next after a random interval if Submitting is still set then.
func (g *Group) afterInterval(mean time.Duration, next func()) {
	interval := time.Duration((MinIntervalFraction + g.world.Random.Float64()) * float64(mean))
	g.world.After(interval/time.Duration(max(1, g.BurstFactor)), func() {
		if g.Submitting {
			next()
		}
	})
}

// NextJobID returns a new job ID, made of the queue and a sequence number.
func (g *Group) NextJobID(queue types.QueueName) types.JobID {
	g.lastJob++
	return types.JobID(fmt.Sprintf("%s-%d", queue, g.lastJob))
}

// delayLastStep sets NotBefore on the last step of one in oneDelayedIn jobs.
func (g *Group) delayLastStep(spec *state.Spec) {
	if g.world.Random.Intn(oneDelayedIn) != 0 {
		return
	}
	delay := int64(g.world.Random.Intn(maxDelayMillis)) * nanosPerMilli
	notBefore := time.Unix(0, history.WallClockStart+g.world.Now()+delay).UTC()
	spec.Steps[len(spec.Steps)-1].NotBefore = notBefore.Format(time.RFC3339Nano)
}

// drawCancellation draws whether and when a job of a stream is cancelled.
func (g *Group) drawCancellation(id types.JobID, s deployment.Stream) {
	if g.world.Random.Float64() < s.CancelRate {
		spread := time.Duration(g.world.Random.Int63n(int64(s.CancelWithin)))
		g.cancelDelays[id] = s.CancelWithin/3 + spread
	}
}

// SubmitNew submits a new job through the gateway of a random zone.
func (g *Group) SubmitNew(id types.JobID, spec state.Spec) {
	g.world.Record(history.Event{Kind: history.JobSubmitted, Job: id, Spec: &spec})
	g.Submit(id, encodeSpec(spec), g.ReadyGateway(g.world.Random.Intn(callerZones)))
}

func encodeSpec(spec state.Spec) json.RawMessage { return wire.EncodeBody(spec) }

// Submit submits an encoded job. Once it is accepted, its caller polls its status and may cancel it.
func (g *Group) Submit(id types.JobID, body json.RawMessage, to types.Addr) {
	o := newOperation(wire.VerbSubmitJob, string(id), body, g.MaxRetries)
	o.onAccepted = func(response wire.Response) {
		g.world.Record(history.Event{Kind: history.JobAccepted, Job: id})
		g.RecordObservation(id, response)
		g.WatchJob(id)
		g.scheduleCancellation(id)
	}
	o.onRejected = func(err *apierror.Error) {
		g.Rejections[err.Kind]++
		g.world.Record(history.Event{Kind: history.JobRejected, Job: id, Text: err.Error()})
	}
	o.onTimeout = func() {
		g.world.Record(history.Event{Kind: history.SubmissionIndeterminate, Job: id})
	}
	o.retryDelay = func(err *apierror.Error) time.Duration {
		g.Rejections[err.Kind]++
		g.recordRetryableError(id, err)
		if g.EarlyRetryRate > 0 && g.world.Random.Float64() < g.EarlyRetryRate {
			return earlyRetryDelay
		}
		return retryAfter(err)
	}
	g.perform(o, to)
}

// recordRetryableError records a retryable error of a submission: as indeterminate if its outcome
// is unknown, otherwise as rejected.
func (g *Group) recordRetryableError(id types.JobID, err *apierror.Error) {
	event := history.Event{Kind: history.SubmissionRejected, Job: id, Text: err.Error()}
	if err.Kind == apierror.OutcomeUnknown {
		event = history.Event{Kind: history.SubmissionIndeterminate, Job: id}
	}
	g.world.Record(event)
}

// scheduleCancellation schedules the cancellation of an accepted job, if it is to be cancelled.
// For a job of a stream this was drawn before its submission; for a job of a flow it is drawn here.
func (g *Group) scheduleCancellation(id types.JobID) {
	delay, ok := g.cancelDelays[id]
	if !ok {
		if g.Deployment.Invoked() || g.world.Random.Float64() >= g.CancelRate {
			return
		}
		delay = time.Duration(g.world.Random.Int63n(int64(maxCancelDelay)))
	}
	g.world.After(delay, func() { g.CancelJob(id) })
}
