// Stand-ins for callers and operators: how they choose a gateway, and when they retry.

package sim

import (
	"encoding/json"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/gateway"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/deployment"
	"coppercourse/sim/world"
)

const (
	answerTimeout     = 4 * time.Second        // after which a client gives a request up
	timeoutRetryDelay = 100 * time.Millisecond // from then until it retries

	defaultCancelRate = 0.04
	defaultMaxRetries = 30
)

// Clients are all callers and operators of a world.
type Clients struct {
	CancelRate      float64               // part of the flows' jobs that their callers cancel
	RacingOperators bool                  // operators change the table again and again
	Refusals        map[apierror.Kind]int // how often submissions were answered with each error
	ImpatientRate   float64               // part of the submissions retried before Retry-After
	BurstFactor     int                   // factor by which jobs come more often; 0 means 1
	MaxRetries      int                   // of the submission of a job

	world        *world.World
	deployment   deployment.Deployment
	address      types.Addr // of all clients
	gateways     []types.Addr
	open         bool // new jobs and changes of the table are submitted
	lastJob      int  // number of the last job or queue that was named
	cancelDelays map[types.JobID]time.Duration
}

// newClients returns the clients of a deployment. They retry no submission, cancel no
// job, and change no table.
func newClients(w *world.World, d deployment.Deployment, gateways []types.Addr) *Clients {
	return &Clients{
		Refusals:     map[apierror.Kind]int{},
		world:        w,
		deployment:   d,
		address:      "caller",
		gateways:     gateways,
		open:         true,
		cancelDelays: map[types.JobID]time.Duration{},
	}
}

// readyGateway returns the gateway of a zone, or the next one that is ready.
func (c *Clients) readyGateway(zone int) types.Addr {
	for i := range c.gateways {
		a := c.gateways[(zone+i)%len(c.gateways)]
		if g, ok := c.world.Nodes[a].Machine.(*gateway.Gateway); ok && g.Ready() {
			return a
		}
	}
	return c.gateways[zone%len(c.gateways)]
}

// anyGateway draws a gateway, ready or not.
func (c *Clients) anyGateway() types.Addr { return pickOne(c.world.Random, c.gateways) }

// alternateGateway draws between the i-th gateway and the one after it.
func (c *Clients) alternateGateway(i int) types.Addr {
	return c.gateways[(i+c.world.Random.Intn(2))%len(c.gateways)]
}

// request sends a request once. It calls onAnswer, or onTimeout if no answer came in time.
func (c *Clients) request(
	to types.Addr, verb wire.Verb, argument string, body json.RawMessage,
	onAnswer func(wire.Response), onTimeout func(),
) {
	done := false
	c.world.Request(c.address, to, verb, argument, body, func(answer wire.Response) {
		if !done {
			done = true
			onAnswer(answer)
		}
	})
	c.world.After(answerTimeout, func() {
		if !done {
			done = true
			onTimeout()
		}
	})
}

// operation is a request that is retried, at any gateway, until its outcome is known.
type operation struct {
	verb       wire.Verb
	argument   string
	body       json.RawMessage
	maxRetries int

	onAccepted func(wire.Response)
	onRejected func(*apierror.Error) // for good
	onTimeout  func()                // of one request

	// retryDelay returns how long to wait after an error with a Retry-After.
	retryDelay func(*apierror.Error) time.Duration
}

// newOperation returns an operation that does nothing but retry, as its answers say.
func newOperation(verb wire.Verb, argument string, body json.RawMessage, maxRetries int) operation {
	return operation{
		verb:       verb,
		argument:   argument,
		body:       body,
		maxRetries: maxRetries,
		onAccepted: func(wire.Response) {},
		onRejected: func(*apierror.Error) {},
		onTimeout:  func() {},
		retryDelay: retryAfter,
	}
}

// retryAfter returns the Retry-After of an error.
func retryAfter(err *apierror.Error) time.Duration {
	return time.Duration(err.RetryAfterSeconds) * time.Second
}

// perform sends an operation to a gateway, and retries it at any.
func (c *Clients) perform(o operation, to types.Addr) { c.attempt(o, to, 0) }

// attempt sends an operation to a gateway after so many retries.
func (c *Clients) attempt(o operation, to types.Addr, retries int) {
	retry := func(delay time.Duration) {
		if retries < o.maxRetries {
			c.world.After(delay, func() { c.attempt(o, c.anyGateway(), retries+1) })
		}
	}
	onAnswer := func(answer wire.Response) {
		switch {
		case answer.Error == nil:
			o.onAccepted(answer)
		case answer.Error.RetryAfterSeconds > 0:
			retry(o.retryDelay(answer.Error))
		default:
			o.onRejected(answer.Error)
		}
	}
	onTimeout := func() {
		o.onTimeout()
		retry(timeoutRetryDelay)
	}
	c.request(to, o.verb, o.argument, o.body, onAnswer, onTimeout)
}
