// What the scheduler's half does as time passes: the health machine, the end
// of the initial wait, unsure attempts asked about until none is left, and stops
// repeated until the end is told.
package dispatch

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// sweep is how much time passes before all seats are looked at again.
const sweep = 10 * time.Millisecond

// Tick lets time pass. Grace is how long the leader's own authority lasts.
func (sc *Scheduler) Tick(now types.MonoTime, grace time.Duration) {
	sc.now, sc.grace = now, grace
	if now.Sub(sc.swept) < sweep {
		return
	}
	sc.swept = now
	for _, s := range sc.order {
		sc.judge(s)
		if s.State == New {
			sc.ask(s)
		}
	}
	sc.chase()
	if now.Sub(sc.pruned) > time.Second {
		sc.pruned = now
		sc.outlive()
	}
	if sc.Wait {
		sc.wake()
	}
}

// judge moves one seat through the health machine.
func (sc *Scheduler) judge(s *WorkerEntry) {
	quiet := sc.now.Sub(s.Good)
	var to Health
	switch {
	case s.State == MustDie:
		return
	case quiet > sc.pace.Loss:
		to = MustDie
	case s.State == New:
		return
	case quiet > sc.pace.Ill:
		to = Unhealthy
	case s.Been || sc.sets.permits(s):
		to, s.Been = Healthy, true
	default:
		to = Unhealthy
	}
	if to != s.State {
		s.State, s.Since = to, sc.now
	}
	if to == MustDie {
		sc.lose(s)
	}
}

// lose forgets what a lost worker ran; its grants have lapsed by now.
func (sc *Scheduler) lose(s *WorkerEntry) {
	outcome := sc.gone(s.Shard)
	for _, o := range sc.holds.of(s.Shard) {
		sc.drop(o.Attempt, outcome)
	}
	sc.sets.exit(s)
	sc.say(s, wire.Quit, Quit{sc.top(s)})
}

// wake ends the initial wait: by time, counted from when an earlier leader can
// last have let anybody run anything, when every worker that still did so has had
// to stop; or early, when all agents that came carry the same
// worker set, it is just the set of those that came, and no attempt in the log
// waits to be heard of. The last is more than the paper asks.
func (sc *Scheduler) wake() {
	late := sc.now.Sub(sc.ruled) > sc.pace.Loss+sc.pace.Beat
	sc.Why = sc.short()
	if !late && sc.Why != "" {
		return
	}
	sc.Wait, sc.Why = false, ""
	for _, o := range sc.holds.dims(sc.seats) {
		sc.drop(o.Attempt, sc.gone(o.Shard))
	}
}

// short says why the wait can't be cut short, or nothing.
func (sc *Scheduler) short() string {
	want := sc.set()
	if want.Size == 0 {
		return "no agent has come yet"
	}
	for _, s := range sc.order {
		if s.State == MustDie {
			continue
		}
		if s.State == New {
			return "agent of " + string(s.Shard) + " has not told what runs"
		}
		if s.old.Hash != want.Hash || s.old.Size != want.Size {
			return "the agents do not agree on the worker set"
		}
	}
	if n := sc.holds.dim; n > 0 {
		return fmt.Sprintf("%d legs given out before are not heard of", n)
	}
	return ""
}

// chase repeats orders' doubts and stops.
func (sc *Scheduler) chase() {
	for _, o := range sc.holds.overdue(sc.now.Add(-sc.pace.Again)) {
		sc.holds.turn(o, unsure)
	}
	for _, k := range sorted(sc.holds.open) {
		s := sc.seats[k]
		if s == nil || s.State == MustDie || s.State == New || sc.now.Sub(s.query) < sc.pace.Again {
			continue
		}
		var attempts []types.AttemptID
		for _, o := range sc.holds.of(k) {
			if o.Phase == unsure {
				attempts = append(attempts, o.Attempt)
			}
		}
		s.query = sc.now
		s.seq++
		if len(s.quest) > 16 {
			clear(s.quest)
		}
		s.quest[s.seq] = attempts
		sc.say(s, wire.Query, Query{sc.top(s), s.seq, attempts})
	}
}

// Halt asks for attempts to be stopped, again and again until they have ended; late
// ones are past the time their queue allows. Attempts of this leadership that were
// never sent are left alone.
func (sc *Scheduler) Halt(attempts, late []types.AttemptID) {
	by := map[types.Shard][]types.AttemptID{}
	for _, l := range append(attempts, late...) {
		o := sc.holds.by[l]
		if o == nil || o.halt != 0 && sc.now.Sub(o.halt) < sc.pace.Again/2 {
			continue
		}
		o.halt = sc.now
		by[o.Shard] = append(by[o.Shard], l)
	}
	for _, k := range sorted(by) {
		if s := sc.seats[k]; s != nil && s.State != MustDie && s.State != New {
			sc.say(s, wire.Stop, Stop{sc.top(s), by[k], late})
		}
	}
}

// Strays lists attempts that an agent runs but the log does not have as given out.
func (sc *Scheduler) Strays() (list []types.AttemptID) {
	for l, o := range sc.holds.alien {
		if o.Phase == sure && sc.Taken(state.AttemptEnd{ID: l, Outcome: state.OutcomeStopped}) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, types.AttemptID.Compare)
	return
}

// Missing lists attempts whose agent has still not come to this leadership when a
// sound one would have.
func (sc *Scheduler) Missing() (list []*Hold) {
	if !sc.Wait || sc.now.Sub(sc.born) <= sc.pace.Ill {
		return nil
	}
	return sc.holds.dims(sc.seats)
}

// Holds lists the attempts that possibly run, by shard.
func (sc *Scheduler) Holds() []*Hold { return sc.holds.all() }

// Running lists those of one shard in order, with a number that differs whenever the
// list does; the list is the scheduler's own and holds until its next step.
func (sc *Scheduler) Running(shard types.Shard) ([]*Hold, uint64) {
	var list []*Hold
	if x := sc.holds.on[shard]; x != nil {
		list = x.list
	}
	return list, sc.holds.revisions[shard]
}

// Where is the shard on which an attempt possibly runs, or nothing.
func (sc *Scheduler) Where(attempt types.AttemptID) types.Shard {
	if o := sc.holds.by[attempt]; o != nil {
		return o.Shard
	}
	return ""
}

// Free is a seat's room less what its agent believes it to lack and all that possibly
// runs on it.
func (sc *Scheduler) Free(s *WorkerEntry) types.Resources {
	return s.Room.Sub(s.Lacks).Sub(sc.holds.used(s.Shard))
}

var heads = map[string]func(*Scheduler, wire.Message){
	wire.Beat:    wire.On((*Scheduler).onBeat),
	wire.Account: wire.On((*Scheduler).onAccount),
	wire.Ordered: wire.On((*Scheduler).onOrdered),
	wire.Queried: wire.On((*Scheduler).onQueried),
	wire.Status:  wire.On((*Scheduler).onStatus),
}

// Take handles an agent's note.
func (sc *Scheduler) Take(now types.MonoTime, grace time.Duration, n wire.Message) {
	sc.now, sc.grace = now, grace
	if f := heads[n.Kind]; f != nil {
		f(sc, n)
	}
}
