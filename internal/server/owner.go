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
)

const (
	beat  = 20 * time.Millisecond
	inbox = 8192
	show  = 200 * time.Millisecond
)

type event struct {
	wire.Event
	back chan wire.Answer
}

// Owner runs one machine.
type Owner struct {
	m      wire.Machine
	post   *Post
	disk   *Disk
	in     chan event
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
	full   atomic.Uint64
}

var start = time.Now()

// Now reads the clocks; nothing else in the daemons does for a machine.
func Now() types.Now {
	t := time.Now()
	return types.Now{Mono: types.Stamp(t.Sub(start)), Wall: types.Wall(t.UnixNano())}
}

func NewOwner(post *Post, file *wal.File) *Owner {
	o := &Owner{post: post, in: make(chan event, inbox), closed: make(chan struct{}), asks: map[uint64]chan wire.Answer{},
		slots: make(chan struct{}, callsAtOnce)}
	if file != nil {
		o.disk = NewDisk(file, o.synced, o.diskFailed)
	}
	return o
}

// Carry sets the machine; it must be called before Run.
func (o *Owner) Carry(m wire.Machine) { o.m = m }

// Message gives the machine a message; false when its inbox is full.
func (o *Owner) Message(n wire.Message) bool {
	select {
	case o.in <- event{Event: wire.Event{Message: &n}}:
		return true
	default:
		o.full.Add(1)
		return false
	}
}

// Ask gives the machine a request and waits for its answer.
func (o *Owner) Ask(ctx context.Context, verb, arg string, body json.RawMessage) wire.Answer {
	back := make(chan wire.Answer, 1)
	ask := &wire.Ask{Verb: verb, Arg: arg, Body: body}
	if by, ok := ctx.Deadline(); ok {
		ask.Limit = max(1, time.Until(by))
	}
	select {
	case o.in <- event{wire.Event{Ask: ask}, back}:
	default:
		o.full.Add(1)
		return wire.Answer{Fault: apierror.New(apierror.Crowd, "", "more requests than this daemon can take in").After(2 * time.Second)}
	}
	select {
	case a := <-back:
		return a
	case <-o.closed:
		return wire.Answer{Fault: apierror.New(apierror.Closing, "", "this daemon is stopping").After(time.Second)}
	case <-ctx.Done():
		return wire.Answer{Fault: apierror.New(apierror.Unsure, "", "no answer within the time there was")}
	}
}

// Close tells the machine that its end is planned.
func (o *Owner) Close() { o.in <- event{Event: wire.Event{Close: true}} }

// Idle tells whether a machine that was told to close has nothing left to do.
func (o *Owner) Idle() bool { return o.idle.Load() }

// View is what the machine last showed.
func (o *Owner) View() json.RawMessage {
	if p := o.view.Load(); p != nil {
		return *p
	}
	return json.RawMessage("{}")
}

// Run is the owner goroutine.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.closed)
	tick := time.NewTicker(beat)
	defer tick.Stop()
	o.step(event{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-o.in:
			o.step(e)
		case <-tick.C:
			o.step(event{})
		}
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
	if o.Show != nil && time.Since(o.shown) > show {
		o.shown = time.Now()
		b := wire.Body(o.Show())
		o.view.Store(&b)
	}
}
