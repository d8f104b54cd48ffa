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

func (r *recorder) Step(e wire.Event) wire.Out {
	r.events = append(r.events, e)
	return wire.Out{}
}

// stalled is an owner whose loop takes nothing, on a clock of the test.
func stalled(now *types.MonoTime) (*Owner, *recorder) {
	o, m := NewOwner(nil, nil), &recorder{}
	o.Carry(m)
	o.inbox.clock = func() types.MonoTime { return *now }
	return o, m
}

// waits tells when so many requests are in the inbox.
func (o *Owner) untilWaiting(n int) {
	for o.inbox.len() < n {
		<-o.inbox.wake
	}
}

func TestNewWorkIsTurnedAwayAtOnceWhileTheLoopIsBehind(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, _ := stalled(&now)
	go o.Ask(t.Context(), "job.get", "a", nil)
	o.untilWaiting(1)
	now = types.MonoTime(workqueue.EntryPatience + 2*time.Second)
	a := o.Ask(context.Background(), "job.put", "b", nil)
	is.Equal(a.Fault.Kind, apierror.TooBusy)
	is.Equal(a.Fault.RetryAfterSeconds, 5) // twice as long as the loop is behind
	is.Equal(o.inbox.len(), 1)
	go o.Ask(t.Context(), "job.cancel", "a", nil) // brings no new work: it may wait
	o.untilWaiting(2)
}

// A request that was given up before the machine took it is surely not taken, and
// the machine never sees it.
func TestARequestGivenUpIsAnsweredAtOnceAndNotTaken(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, m := stalled(&now)
	ctx, stop := context.WithCancel(context.Background())
	got := make(chan wire.Answer)
	go func() { got <- o.Ask(ctx, "job.put", "a", nil) }()
	o.untilWaiting(1)
	stop()
	is.Equal((<-got).Fault.Kind, apierror.TooBusy)
	e, ok := o.inbox.pop()
	is.True(ok)
	o.take(e)
	is.Equal(len(m.events), 0)
}

// A request that the loop does not get to is answered at the next tick.
func TestARequestThatWaitedTooLongIsAnsweredUntaken(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, m := stalled(&now)
	got := make(chan wire.Answer)
	go func() { got <- o.Ask(t.Context(), "job.get", "a", nil) }()
	o.untilWaiting(1)
	now = types.MonoTime(workqueue.RequestPatience) + 1
	o.tick()
	is.Equal((<-got).Fault.Kind, apierror.TooBusy)
	is.Equal(o.inbox.len(), 0)
	for _, e := range m.events {
		is.True(e.Ask == nil)
	}
}

// A heartbeat goes before thousands of requests; with one queue for everything,
// the planted bug, it goes last.
func TestAHeartbeatDoesNotWaitBehindRequests(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	o, m := stalled(&now)
	for range 1000 {
		is.True(o.Message(wire.Message{Kind: wire.Call}))
	}
	is.True(o.Message(wire.Message{Kind: wire.AppendEntries}))
	o.synced(7)
	for range 2 {
		e, _ := o.inbox.pop()
		o.take(e)
	}
	is.Equal(m.events[0].Message.Kind, wire.AppendEntries)
	is.Equal(m.events[1].Synced, uint64(7))
	is.True(m.events[0].Load.Waiting)
}
