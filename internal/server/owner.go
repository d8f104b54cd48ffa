// Package server is the shell round a state machine: the one goroutine that owns
// it, the disk writer (disk.go), the outgoing posts and the HTTP pages. What the machine
// shows is published as immutable values behind atomic pointers.
package server

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

const (
	show     = 200 * time.Millisecond
	showBusy = time.Second // while events wait
)

// Owner runs one machine.
type Owner struct {
	m      wire.Machine
	post   *Post
	disk   *Disk
	inbox  *inbox
	ticks  workqueue.Ticks
	closed chan struct{}
	asks   map[uint64]chan wire.Answer
	next   uint64
	shown  time.Time
	Show   func() any // run by the owner, to publish
	After  func()     // run by the owner after each step
	Caller Caller     // carries calls to a worker
	slots  chan struct{}
	view   atomic.Pointer[json.RawMessage]
	idle   atomic.Bool
	busy   atomic.Uint64 // requests turned away since the loop was behind
}

var start = time.Now()

// Now reads the clocks; nothing else in the daemons does for a machine.
func Now() types.Now {
	t := time.Now()
	return types.Now{Mono: types.MonoTime(t.Sub(start)), Wall: types.WallTime(t.UnixNano())}
}

// Steady reads the daemon's steady clock.
func Steady() types.MonoTime { return Now().Mono }

func NewOwner(post *Post, file *wal.File) *Owner {
	o := &Owner{post: post, inbox: newInbox(), closed: make(chan struct{}), asks: map[uint64]chan wire.Answer{},
		slots: make(chan struct{}, callsAtOnce)}
	if file != nil {
		o.disk = NewDisk(file, o.synced, o.diskFailed)
	}
	return o
}

// Carry sets the machine; it must be called before Run.
func (o *Owner) Carry(m wire.Machine) { o.m = m }

// Message gives the machine a message; false when there is no room for its kind.
func (o *Owner) Message(n wire.Message) bool {
	return o.inbox.push(event{Event: wire.Event{Message: &n}})
}

// Ask gives the machine a request and waits for its answer. One that brings new
// work is turned away at once while the loop is behind with such requests. Once the
// machine may have seen the request, no end of this daemon is told as a refusal.
func (o *Owner) Ask(ctx context.Context, verb, arg string, body json.RawMessage) wire.Answer {
	ask := &wire.Ask{Verb: verb, Arg: arg, Body: body}
	if by, ok := ctx.Deadline(); ok {
		ask.Limit = max(1, time.Until(by))
	}
	select {
	case <-o.closed:
		return wire.Answer{Fault: apierror.New(apierror.ShuttingDown, "", "this daemon is stopping").WithRetryAfter(time.Second)}
	default:
	}
	e := event{Event: wire.Event{Ask: ask}, back: make(chan wire.Answer, 1), claimed: &atomic.Bool{}}
	behind := o.inbox.behind()
	if wire.Enters(verb) && behind > workqueue.EntryPatience || !o.inbox.push(e) {
		o.busy.Add(1)
		return wire.Answer{Fault: tooBusy(max(behind, time.Second))}
	}
	select {
	case a := <-e.back:
		return a
	case <-o.closed:
		return o.last(e.back)
	case <-ctx.Done():
		if e.claim() { // the machine has not seen it, and never will
			o.busy.Add(1)
			return wire.Answer{Fault: tooBusy(workqueue.RequestPatience)}
		}
		return wire.Answer{Fault: apierror.New(apierror.OutcomeUnknown, "", "no answer within the time there was")}
	}
}

// last is the answer to a request that was under way when the machine ended.
func (o *Owner) last(back chan wire.Answer) wire.Answer {
	select {
	case a := <-back:
		return a
	default:
		return wire.Answer{Fault: apierror.New(apierror.OutcomeUnknown, "", "this daemon stopped before it had an answer")}
	}
}

// Close tells the machine that its end is planned.
func (o *Owner) Close() { o.inbox.force(event{Event: wire.Event{Close: true}}) }

// Idle tells whether a machine that was told to close has nothing left to do.
func (o *Owner) Idle() bool { return o.idle.Load() }

// View is what the machine last showed.
func (o *Owner) View() json.RawMessage {
	if p := o.view.Load(); p != nil {
		return *p
	}
	return json.RawMessage("{}")
}

// Run is the owner goroutine: a tick when one is due, else the most urgent event.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.closed)
	ticker := time.NewTicker(workqueue.TickEvery)
	defer ticker.Stop()
	o.tick()
	for ctx.Err() == nil {
		if o.ticks.Due(Steady(), o.inbox.len()) {
			o.tick()
			continue
		}
		if e, ok := o.inbox.pop(); ok {
			o.ticks.Took()
			o.take(e)
			continue
		}
		select {
		case <-ctx.Done():
		case <-o.inbox.wake:
		case <-ticker.C:
		}
	}
	return nil
}

// tick lets time pass in the machine, and answers the requests that it won't get to.
func (o *Owner) tick() {
	o.ticks.Ticked(Steady())
	asks, calls := o.inbox.expire()
	for _, e := range asks {
		if e.claim() {
			o.busy.Add(1)
			e.back <- wire.Answer{Fault: tooBusy(workqueue.RequestPatience)}
		}
	}
	o.step(event{Event: wire.Event{Load: o.inbox.load(), Expired: calls}})
}

// take hands an event to the machine, but for a request that was given up.
func (o *Owner) take(e event) {
	if e.claim() {
		o.step(e)
	}
}

func (o *Owner) step(e event) {
	e.Now = Now()
	if e.Ask != nil {
		o.next++
		e.Ask.Token = o.next
		o.asks[o.next] = e.back
	}
	out := o.m.Step(e.Event)
	for _, s := range out.Sends {
		o.post.Send(s)
	}
	for _, c := range out.Calls {
		o.call(c)
	}
	if out.Batch != nil {
		o.disk.Write(Batch{Records: out.Batch, Seq: out.Seq, Whole: out.Whole, Instead: out.Instead})
	}
	for _, a := range out.Answers {
		if back := o.asks[a.Token]; back != nil {
			back <- a
			delete(o.asks, a.Token)
		}
	}
	o.idle.Store(out.Idle)
	if o.After != nil {
		o.After()
	}
	o.publish(e.Load.Waiting)
}

// publish shows the machine's account of itself, less often while events wait.
func (o *Owner) publish(waiting bool) {
	every := show
	if waiting {
		every = showBusy
	}
	if o.Show != nil && time.Since(o.shown) > every {
		o.shown = time.Now()
		b := wire.Body(o.Show())
		o.view.Store(&b)
	}
}
