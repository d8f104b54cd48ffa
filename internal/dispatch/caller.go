// Caller is the agent's side towards a worker that is called rather than calling.
// The worker's processes are told apart by their ids, its "lives". It runs
// attempts only under a lease that ends at a reading of its own clock; the lease
// is never longer than what the leader granted to the agent, counted from a
// reading that the worker itself told, by a clock that may run slow. This file
// keeps lives, clock and lease; line.go makes the calls and reads the replies.
package dispatch

import (
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	slowest = 0.975                  // of our clock's pace, at which a worker's clock runs at least
	early   = 20 * time.Millisecond  // a lease ends so much before the agent's own
	listens = time.Second            // how long a hold waits for an end at most
	overdue = 100 * time.Millisecond // past its time, a hold is not waited for any more: another goes
	answers = 250 * time.Millisecond // how long any call's reply is waited for, past its own wait
	settles = 60 * time.Millisecond  // how long an end may be on its way into the log before the next hold
	retries = 100 * time.Millisecond // between holds that brought nothing
	lists   = 500                    // ends that one reply holds at most
	fences  = 1024                   // fences for each millisecond of the worker's clock
	lives   = 64

	leastBackoff = time.Second // how long a worker that turned a start away for want of room is believed
	mostBackoff  = 16 * time.Second
)

// flight is a call that has no reply yet.
type flight struct {
	wire.WorkerCall
	at types.MonoTime
}

// ending is an end that the worker still lists.
type ending struct {
	attempt types.AttemptID
	settled bool
}

// Caller calls one worker.
type Caller struct {
	life  types.ID
	to    types.Addr
	seq   uint64
	past  map[types.ID]bool
	heir  *wire.WorkerBeat // another process, until this one is known to be over, or to live
	came  types.MonoTime   // when that one beat
	clock int64            // the worker's, as of got or a little before
	got   types.MonoTime
	until int64 // the highest end of a lease that was sent
	fence uint64
	firm  bool // the fence is above all that an earlier agent sent
	no    uint64
	open  map[uint64]*flight
	hold  uint64 // the hold that waits for an end, or 0
	query uint64 // the hold that settles what is unsure, or 0
	next  types.MonoTime
	read  int64 // the clock of the newest list of runs heeded
	seen  uint64
	sick  types.MonoTime // until then it is not given work
	mute  bool           // it has said nothing since a call that got no reply
	ends  map[uint64]*ending
	calls []wire.WorkerCall
	Sums  CallSums

	departing bool // it deregistered without a drain, and runs on for a while

	proven  types.Resources // what ran there when it last turned a start away for want of room, or since
	tight   types.MonoTime  // until then it is believed to hold no more than that,
	backoff time.Duration   // for so long after each such refusal
}

// CallSums are counters since start.
type CallSums struct {
	Starts, Stops, Holds, Queries, Silent, Lapsed, Lives uint64
}

// Invoked tells whether the worker is one that is called.
func (ex *Executor) Invoked() bool { return ex.caller != nil }

// Calls drains the calls to make.
func (ex *Executor) Calls() []wire.WorkerCall {
	if ex.caller == nil {
		return nil
	}
	c := ex.caller.calls
	ex.caller.calls = nil
	return c
}

// Beat takes what the worker tells of itself. A process that is over is not
// heard; another one waits until the present one is known to be over. If that
// still answers, the beat was late, of a process before it.
func (ex *Executor) Beat(now types.MonoTime, b wire.WorkerBeat) {
	ex.now = now
	if ex.caller == nil {
		ex.caller = &Caller{past: map[types.ID]bool{}, open: map[uint64]*flight{}, ends: map[uint64]*ending{}}
	}
	c := ex.caller
	switch {
	case c.past[b.Life]:
	case c.life == "":
		ex.adopt(b)
	case c.life != b.Life:
		c.heir, c.came = &b, now
		ex.line()
	case b.Seq > c.seq:
		c.seq, c.to, ex.heard = b.Seq, b.To, now
		ex.hear(b.Clock)
		ex.report(b)
	}
}

// Leave takes it that a worker process goes. One that said before that it is
// draining ends now, all that it ran with it. Any other runs on for a while: it is
// draining from now on, whatever late beats of it say, and is over only when its
// lease has run out or another process answers in its place.
func (ex *Executor) Leave(now types.MonoTime, life types.ID) {
	ex.now = now
	if ex.caller == nil || ex.caller.life != life {
		return
	}
	if ex.rep.Leaving && !ex.caller.departing {
		ex.over(true)
		return
	}
	if ex.caller.departing {
		return
	}
	ex.caller.departing = true
	ex.beat = never
	ex.leaves(ex.pace.Drain)
}

// leaves notes that the worker goes, and how long it surely runs on; 0 is not known.
func (ex *Executor) leaves(in time.Duration) {
	ex.rep.Leaving, ex.rep.LeaveMS = true, in.Milliseconds()
	ex.goes = ex.now.Add(in)
}

func (ex *Executor) report(b wire.WorkerBeat) {
	before := ex.rep
	ex.rep = Report{Rack: b.Rack, Kinds: b.Kinds, Room: b.Room, Labels: b.Labels, Lacks: before.Lacks, Healthy: before.Healthy, Invoked: true}
	switch {
	case b.Leaving:
		ex.leaves(time.Duration(b.LeaveMS) * time.Millisecond)
	case ex.caller.departing: // a late beat, or one of a worker that never says that it drains
		ex.rep.Leaving, ex.rep.LeaveMS = true, before.LeaveMS
	}
	if ex.rep.Leaving != before.Leaving || !before.Healthy {
		ex.beat = never
	}
}

// adopt takes up a worker process. What it runs is asked before anything else.
func (ex *Executor) adopt(b wire.WorkerBeat) {
	c := ex.caller
	c.life, c.to, c.seq, c.heir, c.departing = b.Life, b.To, b.Seq, nil, false
	c.clock, c.got, c.until, c.read, c.seen, c.sick, c.mute = b.Clock, ex.now, 0, 0, 0, never, false
	c.tight, c.backoff = never, 0
	c.fence, c.firm = uint64(max(b.Clock, 0))*fences, false
	c.hold, c.query, c.next = 0, 0, never
	clear(c.ends)
	c.Sums.Lives++
	ex.worker, ex.heard, ex.told = b.Life, ex.now, false
	ex.report(b)
	ex.line()
}

// over gives up the worker's present process: nothing of it runs any more. If it
// is gone, rather than out of reach for longer than its lease, it is not heard
// again.
func (ex *Executor) over(gone bool) {
	c := ex.caller
	if len(c.past) >= lives {
		clear(c.past)
	}
	if gone {
		c.past[c.life] = true
	}
	c.life, c.hold, c.query = "", 0, 0
	clear(c.open)
	clear(c.ends)
	for _, l := range ex.sorted() {
		if l.part != ended {
			ex.finish(l, state.OutcomeWorkerExited)
		}
		if l.settled {
			ex.forget(l.job.Attempt)
		}
	}
	ex.rep.Healthy, ex.beat = false, never
	if c.heir != nil {
		ex.adopt(*c.heir)
	}
}

// listen is how long a hold waits for an end. Each renews the lease, which must
// outlast two that get no reply.
func (ex *Executor) listen() time.Duration { return min(listens, ex.pace.Grant/3) }

// quiet tells whether a worker that is called is sick, or has said nothing since a
// call that got no reply.
func (ex *Executor) quiet() bool {
	c := ex.caller
	return ex.now < c.sick || c.life == "" || c.mute || ex.now.Sub(ex.heard) > ex.listen()+answers+ex.pace.Ill
}

// full takes it that the worker turned a start away for want of room: for a while it
// holds no more than what runs there now, for twice as long if it does so again soon.
func (ex *Executor) full() {
	c := ex.caller
	switch since := ex.now.Sub(c.tight); {
	case since >= c.backoff:
		c.backoff = leastBackoff
	case since >= 0:
		c.backoff = min(2*c.backoff, mostBackoff)
	}
	c.proven, c.tight = ex.used(), ex.now.Add(c.backoff)
}

// used is the room that what runs there takes.
func (ex *Executor) used() (r types.Resources) {
	for _, l := range ex.attempts {
		if l.part == going || l.part == halting {
			r = r.Add(l.job.Room)
		}
	}
	return
}

// lacks is how much less room the worker is believed to have than it tells.
func (ex *Executor) lacks() (r types.Resources) {
	if c := ex.caller; c != nil && ex.now < c.tight {
		r = ex.rep.Room.Sub(c.proven)
		r = types.Resources{Cores: max(0, r.Cores), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators)}
	}
	return
}

// hear takes a reading of the worker's clock, if it says more than is known.
func (ex *Executor) hear(clock int64) {
	if c := ex.caller; clock > c.reads(ex.now) {
		c.clock, c.got = clock, ex.now
	}
}

// reads is what the worker's clock reads at a time, at the least.
func (c *Caller) reads(now types.MonoTime) int64 {
	return c.clock + int64(slowest*float64(now.Sub(c.got).Milliseconds()))
}

// lease is the end of the lease that the worker may have now, on its own clock,
// or 0 for none.
func (ex *Executor) lease() int64 {
	c := ex.caller
	if ex.state == MustDie || ex.until <= ex.now {
		return 0
	}
	end := c.clock + int64(slowest*float64((ex.until.Sub(c.got)-early).Milliseconds()))
	if end <= c.reads(ex.now) {
		return 0
	}
	return end
}

// expired is true when the worker's lease has surely ended, and with it all
// that ran there. An earlier agent may have given a longer one.
func (ex *Executor) expired() bool {
	c := ex.caller
	return c.reads(ex.now) > c.until && ex.now.Sub(ex.boot) > ex.pace.Loss
}

// Lease is how the worker's lease stands, for the status page.
type Lease struct {
	Life   types.ID `json:"life"`
	Clock  int64    `json:"clock_ms"`
	Until  int64    `json:"until_ms"`
	Fence  uint64   `json:"fence"`
	Seen   uint64   `json:"settled_ends"`
	Unseen int      `json:"unsettled_ends"`
	Open   int      `json:"calls_under_way"`
	Sums   CallSums `json:"sums"`
}

// Lease shows it, or nil where the worker calls by itself.
func (ex *Executor) Lease() *Lease {
	c := ex.caller
	if c == nil {
		return nil
	}
	return &Lease{c.life, c.reads(ex.now), c.until, c.fence, c.seen, len(c.ends), len(c.open), c.Sums}
}
