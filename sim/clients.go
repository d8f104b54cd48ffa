// Stand-in callers and operators of the simulator. A caller sends a job at a
// ready gateway of its zone, sends the same again anywhere when the answer is
// lost or says to come back, looks at its jobs now and then, and sometimes
// cancels one. Operators put tables, at times two at once.

package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

const answerTimeout = 4 * time.Second

// Clients is all callers and operators of a world.
type Clients struct {
	world           *world.World
	deployment      deployment.Deployment
	gateways        []types.Addr
	address         types.Addr
	lastJob         int
	open            bool
	CancelRate      float64
	RacingOperators bool
	Refusals        map[apierror.Kind]int
	ImpatientRate   float64 // part of the callers that do not heed when to come back
	BurstFactor     int     // how many times as much is sent; 0 is once
	MaxRetries      int     // how often a job is sent, at most
	cancelDelays    map[types.JobID]time.Duration
}

func (c *Clients) readyGateway(zone int) types.Addr {
	first := c.gateways[zone%len(c.gateways)]
	for i := range c.gateways {
		a := c.gateways[(zone+i)%len(c.gateways)]
		if g, ok := c.world.Nodes[a].Machine.(*gateway.Gateway); ok && g.Ready() {
			return a
		}
	}
	return first
}

func (c *Clients) anyGateway() types.Addr { return c.gateways[c.world.Random.Intn(len(c.gateways))] }

// startFlow sends jobs of one shape until the clients is closed.
func (c *Clients) startFlow(f deployment.Flow) {
	gap := time.Duration((0.5+c.world.Random.Float64())*float64(f.MeanInterval)) / time.Duration(max(1, c.BurstFactor))
	c.world.After(gap, func() {
		if !c.open {
			return
		}
		c.lastJob++
		id := types.JobID(fmt.Sprintf("%s-%d", f.Queue, c.lastJob))
		s := f.NewSpec(c.world.Random)
		if c.world.Random.Intn(8) == 0 {
			due := history.WallClockStart + c.world.Now() + int64(c.world.Random.Intn(3000))*1e6
			s.Steps[len(s.Steps)-1].NotBefore = time.Unix(0, due).UTC().Format(time.RFC3339Nano)
		}
		c.world.Record(history.Event{Kind: history.JobSubmitted, Job: id, Spec: &s})
		c.submit(id, wire.EncodeBody(s), c.readyGateway(c.world.Random.Intn(3)), 0)
		c.startFlow(f)
	})
}

// startStream sends jobs to the invoked workers' deployment until the clients is closed.
func (c *Clients) startStream(f deployment.Stream) {
	gap := time.Duration((0.5+c.world.Random.Float64())*float64(f.MeanInterval)) / time.Duration(max(1, c.BurstFactor))
	c.world.After(gap, func() {
		if !c.open {
			return
		}
		c.lastJob++
		id := types.JobID(fmt.Sprintf("%s-%d", f.Queue, c.lastJob))
		s := f.NewSpec(c.world.Random, c.world.Now())
		if c.world.Random.Float64() < f.CancelRate {
			c.cancelDelays[id] = f.CancelWithin/3 + time.Duration(c.world.Random.Int63n(int64(f.CancelWithin)))
		}
		c.world.Record(history.Event{Kind: history.JobSubmitted, Job: id, Spec: &s})
		c.submit(id, wire.EncodeBody(s), c.readyGateway(c.world.Random.Intn(3)), 0)
		c.startStream(f)
	})
}

// request asks once; lost is called when no answer came in time.
func (c *Clients) request(
	to types.Addr, verb wire.Verb, argument string, body json.RawMessage,
	onAnswer func(wire.Response), onTimeout func(),
) {
	done := false
	c.world.Request(c.address, to, verb, argument, body, func(a wire.Response) {
		if !done {
			done = true
			onAnswer(a)
		}
	})
	c.world.After(answerTimeout, func() {
		if !done {
			done = true
			onTimeout()
		}
	})
}

func (c *Clients) submit(id types.JobID, body json.RawMessage, to types.Addr, retries int) {
	retry := func(d time.Duration) {
		if retries < c.MaxRetries {
			c.world.After(d, func() { c.submit(id, body, c.anyGateway(), retries+1) })
		}
	}
	c.request(to, wire.VerbSubmitJob, string(id), body, func(a wire.Response) {
		switch {
		case a.Error == nil:
			c.world.Record(history.Event{Kind: history.JobAccepted, Job: id})
			c.recordObservation(id, a)
			c.watchJob(id)
			if d, ok := c.cancelDelays[id]; ok {
				c.world.After(d, func() { c.cancelJob(id, 0) })
			} else if !c.deployment.Invoked() && c.world.Random.Float64() < c.CancelRate {
				c.world.After(time.Duration(c.world.Random.Int63n(int64(3*time.Second))), func() { c.cancelJob(id, 0) })
			}
		case a.Error.RetryAfterSeconds > 0:
			c.Refusals[a.Error.Kind]++
			if a.Error.Kind == apierror.OutcomeUnknown {
				c.world.Record(history.Event{Kind: history.SubmissionUnresolved, Job: id})
			} else {
				c.world.Record(history.Event{Kind: history.SubmissionRejected, Job: id, Text: a.Error.Error()})
			}
			if c.ImpatientRate > 0 && c.world.Random.Float64() < c.ImpatientRate {
				retry(200 * time.Millisecond)
				return
			}
			retry(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		default:
			c.Refusals[a.Error.Kind]++
			c.world.Record(history.Event{Kind: history.JobDenied, Job: id, Text: a.Error.Error()})
		}
	}, func() {
		c.world.Record(history.Event{Kind: history.SubmissionUnresolved, Job: id})
		retry(100 * time.Millisecond)
	})
}

func (c *Clients) recordObservation(id types.JobID, a wire.Response) (ended bool) {
	var v controller.JobView
	if json.Unmarshal(a.Body, &v) != nil {
		return false
	}
	c.world.Record(history.Event{Kind: history.JobObserved, Job: id, Stage: v.State, Text: v.Reason})
	return v.State == "done" || v.State == "failed" || v.State == "cancelled"
}

// watchJob asks after a job now and then until it has ended.
func (c *Clients) watchJob(id types.JobID) {
	c.world.After(500*time.Millisecond+time.Duration(c.world.Random.Int63n(int64(2*time.Second))), func() {
		c.request(c.anyGateway(), wire.VerbGetJob, string(id), nil, func(a wire.Response) {
			switch {
			case a.Error != nil && a.Error.Kind == apierror.NoSuchJob:
				c.world.Record(history.Event{Kind: history.JobNotFound, Job: id})
			case a.Error != nil || !c.recordObservation(id, a):
				c.watchJob(id)
			}
		}, func() { c.watchJob(id) })
	})
}

func (c *Clients) cancelJob(id types.JobID, retries int) {
	if retries == 0 {
		c.world.Record(history.Event{Kind: history.CancelSubmitted, Job: id})
	}
	retry := func(d time.Duration) {
		if retries < 10 {
			c.world.After(d, func() { c.cancelJob(id, retries+1) })
		}
	}
	c.request(c.anyGateway(), wire.VerbCancelJob, string(id), nil, func(a wire.Response) {
		switch {
		case a.Error == nil:
			c.world.Record(history.Event{Kind: history.CancelAccepted, Job: id})
		case a.Error.RetryAfterSeconds > 0:
			retry(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		}
	}, func() { retry(100 * time.Millisecond) })
}

// putTable sends a table until it is known to be taken or refused.
func (c *Clients) putTable(t config.Table, to types.Addr, retries int, then func(bool)) {
	if retries == 0 {
		c.world.Record(history.Event{Kind: history.TableSubmitted, Table: &t})
	}
	retry := func(d time.Duration) {
		if retries < 40 {
			c.world.After(d, func() { c.putTable(t, c.anyGateway(), retries+1, then) })
		}
	}
	c.request(to, wire.VerbPutTable, "", wire.EncodeBody(t), func(a wire.Response) {
		switch {
		case a.Error == nil:
			got := t.Accepted()
			c.world.Record(history.Event{Kind: history.TableAcknowledged, Table: &got, Text: fmt.Sprint(t.Version)})
			then(true)
		case a.Error.RetryAfterSeconds > 0:
			retry(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		default:
			c.world.Record(history.Event{Kind: history.TableRefused, Table: &t, Text: a.Error.Error()})
			then(false)
		}
	}, func() { retry(100 * time.Millisecond) })
}

// startDrain starts a drain, and calls then once it is accepted.
func (c *Clients) startDrain(target string, drain config.Drain, then func()) {
	c.requestAsOperator(wire.VerbStartDrain, target, wire.EncodeBody(drain), 0, func() {
		c.world.Record(history.Event{Kind: history.DrainAccepted, Text: target})
		then()
	})
}

// cancelDrain cancels a drain, and calls then once that is accepted.
func (c *Clients) cancelDrain(target string, then func()) {
	c.world.Record(history.Event{Kind: history.DrainRemoval, Text: target})
	c.requestAsOperator(wire.VerbCancelDrain, target, nil, 0, then)
}

// requestAsOperator gives an operator's order until it is known to be taken or refused.
func (c *Clients) requestAsOperator(verb wire.Verb, argument string, body json.RawMessage, retries int, then func()) {
	retry := func(d time.Duration) {
		if retries < 100 {
			c.world.After(d, func() { c.requestAsOperator(verb, argument, body, retries+1, then) })
		}
	}
	c.request(c.anyGateway(), verb, argument, body, func(a wire.Response) {
		switch {
		case a.Error == nil:
			then()
		case a.Error.RetryAfterSeconds > 0:
			retry(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		}
	}, func() { retry(100 * time.Millisecond) })
}

// readTable reads the table and gives it on.
func (c *Clients) readTable(then func(config.Table)) {
	began := c.world.Now()
	c.request(c.anyGateway(), wire.VerbGetTable, "", nil, func(a wire.Response) {
		var t config.Table
		if a.Error == nil && json.Unmarshal(a.Body, &t) == nil {
			c.world.Record(history.Event{Kind: history.TableRead, Table: &t, Text: fmt.Sprint(began)})
			if then != nil {
				then(t)
			}
		}
	}, func() {})
}

// startRacingOperators has two operators change the table on the same version, again and
// again, at different gateways.
func (c *Clients) startRacingOperators() {
	c.world.After(time.Duration(2+c.world.Random.Intn(4))*time.Second, func() {
		if !c.open || !c.RacingOperators {
			return
		}
		c.readTable(func(t config.Table) {
			for i := range 2 {
				c.putTable(c.alteredTable(t), c.gateways[(i+c.world.Random.Intn(2))%len(c.gateways)], 0, func(bool) {})
			}
		})
		c.startRacingOperators()
	})
}
