// The stand-in for a worker that is invoked: it starts, stops and holds what it is
// told by its agent alone, under a lease that ends at a reading of its own clock.
// A process, a "life", knows nothing of the one before it: it runs nothing, has
// seen no fence and counts its ends from 1. This file takes the calls; attempt.go
// has what runs, worker_environment.go what the workers of a deployment share.
package sim

import (
	"encoding/json"
	"math/rand"
	"sort"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// InvokedWorker is one process of such a worker.
type InvokedWorker struct {
	WorkerSpec
	ID    types.ID
	Still bool // what runs gets no further, but calls are answered
	Sick  bool // it turns all starts away and says so
	Lax   bool // a start is late only when the lease is over, not when its own time is
	Wild  bool // a planted bug: runs on without a lease
	Rash  bool // a planted bug: heeds no fence

	environment *WorkerEnvironment
	rnd         *rand.Rand
	tell        func(HistoryEvent)
	time        func() types.Stamp
	born        types.Stamp
	first       int64   // what its clock read at its birth
	pace        float64 // of its clock
	late        bool    // the call at hand is carried out late
	lease       int64   // when that ends, on its clock; 0 is none
	fence       uint64
	n           uint64
	seen        uint64
	runs        map[types.Attempt]*attempt
	shut        map[types.Task]int
	ends        []invokedEnd
	waits       []waitingHold
}

// invokedEnd is an end not yet settled; it is void once the lease has lapsed.
type invokedEnd struct {
	wire.WorkerEnd
	void bool
}

// waitingHold is a hold that is answered when something ends, or at a time.
type waitingHold struct {
	call  wire.WorkerCall
	until types.Stamp
	reply func(wire.WorkerReply)
}

// ends that one answer lists at most.
const listed = 500

// NewInvokedWorker starts a worker process. Its clock is up to 2% slow and begins
// anywhere.
func NewInvokedWorker(m WorkerSpec, id types.ID, environment *WorkerEnvironment, rnd *rand.Rand, time func() types.Stamp, tell func(HistoryEvent)) *InvokedWorker {
	if m.Slow == 0 {
		m.Slow = 1
	}
	return &InvokedWorker{WorkerSpec: m, ID: id, Lax: rnd.Intn(2) == 0, environment: environment, rnd: rnd, tell: tell, time: time, born: time(), first: 1 + rnd.Int63n(1<<40),
		pace: 1 - 0.02*rnd.Float64(), runs: map[types.Attempt]*attempt{}, shut: map[types.Task]int{}}
}

// Clock is what the worker's own clock reads.
func (w *InvokedWorker) Clock() int64 {
	return w.first + int64(w.pace*float64(w.time().Sub(w.born).Microseconds())/1000)
}

// over tells whether the lease has ended.
func (w *InvokedWorker) over() bool { return !w.Wild && w.Clock() >= w.lease }

func (w *InvokedWorker) say(h HistoryEvent) {
	h.Who, h.Shard = string(w.ID), w.Shard
	w.tell(h)
}

// Tick lets time pass.
func (w *InvokedWorker) Tick() {
	w.advance()
	w.wake()
}

// Do takes a call. Reply is called once, when the call is answered.
func (w *InvokedWorker) Do(c wire.WorkerCall, reply func(wire.WorkerReply)) {
	w.advance()
	defer w.wake()
	r := wire.WorkerReply{No: c.No, Result: wire.Taken, Clock: w.Clock()}
	switch {
	case c.Life != w.ID:
		reply(wire.WorkerReply{No: c.No, Result: wire.Stranger})
		return
	case c.Fence < w.fence && !w.Rash:
		if w.late && c.Kind == wire.Start {
			w.say(HistoryEvent{What: Spared, Attempt: c.Attempt, Late: true})
		}
		r.Result = wire.Fenced
		reply(r)
		return
	}
	w.fence = max(w.fence, c.Fence)
	switch c.Kind {
	case wire.Start:
		r.Result = w.begin(c)
	case wire.Halt:
		w.halt(c.Attempt)
	case wire.Hold:
		w.hold(c.Until)
		w.settle(c.Seen)
		if c.Wait > 0 && len(w.ends) == 0 {
			w.waits = append(w.waits, waitingHold{c, w.time().Add(min(c.Wait, mostWait)), reply})
			return
		}
		r = w.list(c)
	}
	reply(r)
}

// hold takes up the end of a lease: never shortened, and not beyond the limit.
func (w *InvokedWorker) hold(until int64) {
	now := w.Clock()
	if until = min(until, now+w.environment.Lease.Milliseconds()); until > now {
		w.lease = max(w.lease, until)
	}
}

func (w *InvokedWorker) begin(c wire.WorkerCall) wire.Result {
	if w.Sick {
		return wire.Sick
	}
	if now := w.Clock(); c.Until <= now && !(w.Lax && w.lease > now) {
		return wire.Late
	}
	w.hold(c.Until)
	switch {
	case w.runs[c.Attempt] != nil:
		return wire.Taken
	case c.Attempt.Attempt <= w.shut[c.Attempt.Task]:
		return wire.Outdated
	}
	step := w.environment.step(c.Attempt)
	if w.Guards && step != nil && !w.free().Holds(step.Room) {
		w.say(HistoryEvent{What: Spared, Attempt: c.Attempt})
		return wire.Full
	}
	w.start(c, step)
	return wire.Taken
}

// free is the room that nothing takes; what is being stopped still does.
func (w *InvokedWorker) free() types.Room {
	r := w.Room
	for _, a := range w.runs {
		r = r.Minus(a.room)
	}
	return r
}

func (w *InvokedWorker) halt(l types.Attempt) {
	a := w.runs[l]
	switch {
	case a == nil:
		w.shut[l.Task] = max(w.shut[l.Task], l.Attempt)
	case a.stops == 0:
		a.stops = w.time().Add(w.environment.some(w.rnd, w.environment.Stop))
	}
}

// settle forgets ends; those that had not lapsed are thereby noted for good.
func (w *InvokedWorker) settle(seen uint64) {
	for len(w.ends) > 0 && w.ends[0].N <= seen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		what := Noted
		if e.void {
			what = Void
		}
		w.say(HistoryEvent{What: what, Attempt: e.Attempt, How: e.How})
	}
}

func (w *InvokedWorker) list(c wire.WorkerCall) wire.WorkerReply {
	r := wire.WorkerReply{No: c.No, Result: wire.Taken, Clock: w.Clock()}
	for _, l := range w.sorted() {
		a := w.runs[l]
		r.Runs = append(r.Runs, wire.WorkerRun{Attempt: l, Ref: a.ref, Percent: a.percent()})
	}
	for _, e := range w.ends[:min(len(w.ends), listed)] {
		r.Ends = append(r.Ends, e.WorkerEnd)
	}
	return r
}

// wake answers the holds that wait, once something has ended or their time is up.
func (w *InvokedWorker) wake() {
	kept := w.waits[:0]
	for _, h := range w.waits {
		if len(w.ends) > 0 || w.time() >= h.until {
			h.reply(w.list(h.call))
		} else {
			kept = append(kept, h)
		}
	}
	w.waits = kept
}

// end ends an attempt; a gang ends with any of its members.
func (w *InvokedWorker) end(a *attempt, how wire.How) {
	if w.runs[a.attempt] != a {
		return
	}
	delete(w.runs, a.attempt)
	w.shut[a.attempt.Task] = max(w.shut[a.attempt.Task], a.attempt.Attempt)
	w.n++
	w.ends = append(w.ends, invokedEnd{WorkerEnd: wire.WorkerEnd{N: w.n, Attempt: a.attempt, How: how, Ref: a.ref}})
	w.say(HistoryEvent{What: Ended, Attempt: a.attempt, Outcome: outcomes[how], How: how})
	a.quit(how)
}

var outcomes = map[wire.How]state.Outcome{wire.Done: state.OK, wire.Failed: state.Bad, wire.Stopped: state.Halted,
	wire.Expired: state.Lapsed, wire.Broken: state.Halted, wire.Lonely: state.Halted}

// Die ends the process and all that it runs.
func (w *InvokedWorker) Die() {
	attempts, runs := w.sorted(), w.runs
	w.waits, w.runs = nil, nil
	for _, l := range attempts {
		runs[l].quit(wire.Stopped)
	}
}

func (w *InvokedWorker) sorted() []types.Attempt {
	list := make([]types.Attempt, 0, len(w.runs))
	for l := range w.runs {
		list = append(list, l)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Least(list[k]) })
	return list
}

// task reads what an attempt's work says to a stand-in.
func task(b json.RawMessage) (k Work) {
	json.Unmarshal(b, &k)
	return
}
