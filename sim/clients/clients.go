// Package clients has stand-ins for callers and operators of a simulated world: how they
// choose a gateway and when they retry (clients.go), the jobs that they submit, watch and
// cancel (submissions.go, job_requests.go), and the changes that operators make (operators.go,
// versioning_operators.go).
package clients

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
	// RequestTimeout is after how long a client gives a request up.
	RequestTimeout    = 4 * time.Second
	timeoutRetryDelay = 100 * time.Millisecond // from then until it retries

	// DefaultCancelRate is CancelRate in a simulated run.
	DefaultCancelRate = 0.04
	// DefaultMaxRetries is MaxRetries in a simulated run.
	DefaultMaxRetries = 30
)

// Group is all callers and operators of a world.
type Group struct {
	CancelRate          float64               // part of the flows' jobs that their callers cancel
	ConcurrentOperators bool                  // operators change the table again and again
	Rejections          map[apierror.Kind]int // how often submissions were answered with each error
	EarlyRetryRate      float64               // part of the submissions retried before Retry-After
	BurstFactor         int                   // factor by which jobs come more often; 0 means 1
	MaxRetries          int                   // of the submission of a job
	Submitting          bool                  // new jobs and changes of the table are submitted

	Deployment deployment.Deployment
	Address    types.Addr // of all clients
	Gateways   []types.Addr

	world        *world.World
	lastJob      int // number of the last job or queue that was named
	cancelDelays map[types.JobID]time.Duration
}

// New returns the clients of a deployment. They retry no submission, cancel no
// job, and change no table.
func New(w *world.World, d deployment.Deployment, gateways []types.Addr) *Group {
	return &Group{
		Rejections:   map[apierror.Kind]int{},
		world:        w,
		Deployment:   d,
		Address:      "caller",
		Gateways:     gateways,
		Submitting:   true,
		cancelDelays: map[types.JobID]time.Duration{},
	}
}

// ReadyGateway returns the gateway of a zone, or the next one that is ready.
func (g *Group) ReadyGateway(zone int) types.Addr {
	for i := range g.Gateways {
		a := g.Gateways[(zone+i)%len(g.Gateways)]
		if machine, ok := g.world.Nodes[a].Machine.(*gateway.Gateway); ok && machine.Ready() {
			return a
		}
	}
	return g.Gateways[zone%len(g.Gateways)]
}

// AnyGateway draws a gateway, ready or not.
func (g *Group) AnyGateway() types.Addr { return g.Gateways[g.world.Random.Intn(len(g.Gateways))] }

// alternateGateway draws between the i-th gateway and the one after it.
func (g *Group) alternateGateway(i int) types.Addr {
	return g.Gateways[(i+g.world.Random.Intn(2))%len(g.Gateways)]
}

// request sends a request once. It calls onAnswer, or onTimeout if no answer came in time.
func (g *Group) request(
	to types.Addr, verb wire.Verb, argument string, body json.RawMessage,
	onAnswer func(wire.Response), onTimeout func(),
) {
	done := false
	g.world.Request(g.Address, to, verb, argument, body, func(answer wire.Response) {
		if !done {
			done = true
			onAnswer(answer)
		}
	})
	g.world.After(RequestTimeout, func() {
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
func (g *Group) perform(o operation, to types.Addr) { g.sendWithRetries(o, to, 0) }

// attempt sends an operation to a gateway after so many retries.
func (g *Group) sendWithRetries(o operation, to types.Addr, retries int) {
	retry := func(delay time.Duration) {
		if retries < o.maxRetries {
			g.world.After(delay, func() { g.sendWithRetries(o, g.AnyGateway(), retries+1) })
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
	g.request(to, o.verb, o.argument, o.body, onAnswer, onTimeout)
}
