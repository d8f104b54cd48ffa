package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// testTimeout is a duration that only what never ends would reach on any machine.
const testTimeout = 2 * time.Minute

// stubObserver shows fixed values.
type stubObserver struct {
	ready  bool
	status any // an empty object if nil
}

func (stubObserver) AfterStep() {}

func (o stubObserver) Ready() bool { return o.ready }

func (o stubObserver) Status() any {
	if o.status == nil {
		return struct{}{}
	}
	return o.status
}

// newTestLoop returns a loop that is not running, with a sender and a stub observer where
// the configuration has none.
func newTestLoop(t *testing.T, config Config) *EventLoop {
	t.Helper()
	if config.Sender == nil {
		config.Sender = NewSender("")
	}
	if config.Observer == nil {
		config.Observer = stubObserver{ready: true}
	}
	loop := NewEventLoop(config)
	t.Cleanup(loop.Close)
	return loop
}

// recorder is a machine that keeps its events and does nothing.
type recorder struct{ events []wire.Event }

func (r *recorder) Step(e wire.Event) wire.Effects {
	r.events = append(r.events, e)
	return wire.Effects{}
}

// requests counts the requests among the events.
func (r *recorder) requests() (count int) {
	for _, e := range r.events {
		if e.Request != nil {
			count++
		}
	}
	return count
}

// newStalledLoop returns a loop that takes nothing, on a clock of the test.
func newStalledLoop(t *testing.T, now *types.MonoTime) (*EventLoop, *recorder) {
	t.Helper()
	machine := &recorder{}
	loop := newTestLoop(t, Config{Machine: machine})
	loop.queue.clock = func() types.MonoTime { return *now }
	return loop, machine
}

// waitForQueued waits until so many events are in the queue.
func (el *EventLoop) waitForQueued(n int) {
	for el.queue.len() < n {
		<-el.queue.wake
	}
}

// echoMachine makes calls to a worker at its first step and passes the replies on. It
// answers each request with whether that has a timeout, and is drained once notified of a
// shutdown.
type echoMachine struct {
	calls    []wire.WorkerCall
	replies  chan wire.WorkerReply
	shutdown bool
}

func (m *echoMachine) Step(e wire.Event) wire.Effects {
	effects := wire.Effects{Calls: m.calls, Drained: m.shutdown}
	m.calls = nil
	if e.WorkerReply != nil {
		m.replies <- *e.WorkerReply
	}
	if e.Request != nil {
		effects.Responses = []wire.Response{{
			Token:      e.Request.Token,
			StatusCode: http.StatusOK,
			Body:       wire.EncodeBody(e.Request.Timeout > 0),
		}}
	}
	m.shutdown = m.shutdown || e.Shutdown
	return effects
}

// gauge counts what is going on at once, and the highest count there was.
type gauge struct{ current, highest atomic.Int64 }

func (g *gauge) enter() {
	current := g.current.Add(1)
	for highest := g.highest.Load(); current > highest; highest = g.highest.Load() {
		g.highest.CompareAndSwap(highest, current)
	}
}

func (g *gauge) leave() { g.current.Add(-1) }

// runInBackground runs a loop until the test ends, and returns what stops it before.
func runInBackground(t *testing.T, loop *EventLoop) (stop context.CancelFunc) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return stop
}
