package server

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// recorder is a machine that notes what it is given and answers nothing.
type recorder struct{ events []wire.Event }

func (r *recorder) Step(e wire.Event) wire.Effects {
	r.events = append(r.events, e)
	return wire.Effects{}
}

// newStalledLoop is an owner whose loop takes nothing, on a clock of the test.
func newStalledLoop(now *types.MonoTime) (*EventLoop, *recorder) {
	o, m := NewEventLoop(nil, nil), &recorder{}
	o.SetMachine(m)
	o.queue.clock = func() types.MonoTime { return *now }
	return o, m
}

// waits tells when so many requests are in the inbox.
func (el *EventLoop) waitForQueued(n int) {
	for el.queue.len() < n {
		<-el.queue.wake
	}
}

func TestSubmissionsAreRejectedWhileTheLoopIsBehind(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, _ := newStalledLoop(&now)
	go o.Ask(t.Context(), "job.get", "a", nil)
	o.waitForQueued(1)
	now = types.MonoTime(workqueue.MaxSubmitDelay + 2*time.Second)
	a := o.Ask(context.Background(), "job.put", "b", nil)
	is.Equal(a.Error.Kind, apierror.TooBusy)
	is.Equal(a.Error.RetryAfterSeconds, 5) // twice as long as the loop is behind
	is.Equal(o.queue.len(), 1)
	go o.Ask(t.Context(), "job.cancel", "a", nil) // brings no new work: it may wait
	o.waitForQueued(2)
}

// A request that was given up before the machine took it is surely not taken, and
// the machine never sees it.
func TestAbandonedRequestIsAnsweredAtOnceAndNotProcessed(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, m := newStalledLoop(&now)
	ctx, stop := context.WithCancel(context.Background())
	got := make(chan wire.Response)
	go func() { got <- o.Ask(ctx, "job.put", "a", nil) }()
	o.waitForQueued(1)
	stop()
	is.Equal((<-got).Error.Kind, apierror.TooBusy)
	e, ok := o.queue.pop()
	is.True(ok)
	o.handle(e)
	is.Equal(len(m.events), 0)
}

// A request that the loop does not get to is answered at the next tick.
func TestExpiredRequestIsAnsweredUnprocessed(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, m := newStalledLoop(&now)
	got := make(chan wire.Response)
	go func() { got <- o.Ask(t.Context(), "job.get", "a", nil) }()
	o.waitForQueued(1)
	now = types.MonoTime(workqueue.MaxRequestWait) + 1
	o.tick()
	is.Equal((<-got).Error.Kind, apierror.TooBusy)
	is.Equal(o.queue.len(), 0)
	for _, e := range m.events {
		is.True(e.Request == nil)
	}
}

// A heartbeat goes before thousands of requests; with one queue for everything,
// the planted bug, it goes last.
func TestHeartbeatOvertakesRequests(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, m := newStalledLoop(&now)
	for range 1000 {
		is.True(o.Deliver(wire.Message{Kind: wire.ForwardRequest}))
	}
	is.True(o.Deliver(wire.Message{Kind: wire.AppendEntries}))
	o.onSynced(7)
	for range 2 {
		e, _ := o.queue.pop()
		o.handle(e)
	}
	is.Equal(m.events[0].Message.Kind, wire.AppendEntries)
	is.Equal(m.events[1].Synced, uint64(7))
	is.True(m.events[0].Load.MoreWaiting)
}
