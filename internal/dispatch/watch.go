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
func (h *Scheduler) Tick(now types.Stamp, grace time.Duration) {
	h.now, h.grace = now, grace
	if now.Sub(h.swept) < sweep {
		return
	}
	h.swept = now
	for _, s := range h.order {
		h.judge(s)
		if s.State == New {
			h.ask(s)
		}
	}
	h.chase()
	if now.Sub(h.pruned) > time.Second {
		h.pruned = now
		h.outlive()
	}
	if h.Wait {
		h.wake()
	}
}

// judge moves one seat through the health machine.
func (h *Scheduler) judge(s *WorkerEntry) {
	quiet := h.now.Sub(s.Good)
	var to Health
	switch {
	case s.State == MustDie:
		return
	case quiet > h.pace.Loss:
		to = MustDie
	case s.State == New:
		return
	case quiet > h.pace.Ill:
		to = Unhealthy
	case s.Been || h.sets.permits(s):
		to, s.Been = Healthy, true
	default:
		to = Unhealthy
	}
	if to != s.State {
		s.State, s.Since = to, h.now
	}
	if to == MustDie {
		h.lose(s)
	}
}

// lose forgets what a lost worker ran; its grants have lapsed by now.
func (h *Scheduler) lose(s *WorkerEntry) {
	outcome := h.gone(s.Shard)
	for _, o := range h.holds.of(s.Shard) {
		h.drop(o.Attempt, outcome)
	}
	h.sets.exit(s)
	h.say(s, wire.Quit, Quit{h.top(s)})
}

// wake ends the initial wait: by time, counted from when an earlier leader can
// last have let anybody run anything, when every worker that still did so has had
// to stop; or early, when all agents that came carry the same
// worker set, it is just the set of those that came, and no attempt in the log
// waits to be heard of. The last is more than the paper asks.
func (h *Scheduler) wake() {
	late := h.now.Sub(h.ruled) > h.pace.Loss+h.pace.Beat
	h.Why = h.short()
	if !late && h.Why != "" {
		return
	}
	h.Wait, h.Why = false, ""
	for _, o := range h.holds.dims(h.seats) {
		h.drop(o.Attempt, h.gone(o.Shard))
	}
}

// short says why the wait can't be cut short, or nothing.
func (h *Scheduler) short() string {
	want := h.set()
	if want.Size == 0 {
		return "no agent has come yet"
	}
	for _, s := range h.order {
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
	if n := h.holds.dim; n > 0 {
		return fmt.Sprintf("%d legs given out before are not heard of", n)
	}
	return ""
}

// chase repeats orders' doubts and stops.
func (h *Scheduler) chase() {
	for _, o := range h.holds.overdue(h.now.Add(-h.pace.Again)) {
		h.holds.turn(o, unsure)
	}
	for _, k := range sorted(h.holds.open) {
		s := h.seats[k]
		if s == nil || s.State == MustDie || s.State == New || h.now.Sub(s.query) < h.pace.Again {
			continue
		}
		var attempts []types.Attempt
		for _, o := range h.holds.of(k) {
			if o.Phase == unsure {
				attempts = append(attempts, o.Attempt)
			}
		}
		s.query = h.now
		s.seq++
		if len(s.quest) > 16 {
			clear(s.quest)
		}
		s.quest[s.seq] = attempts
		h.say(s, wire.Query, Query{h.top(s), s.seq, attempts})
	}
}

// Halt asks for attempts to be stopped, again and again until they have ended; late
// ones are past the time their queue allows. Attempts of this leadership that were
// never sent are left alone.
func (h *Scheduler) Halt(attempts, late []types.Attempt) {
	by := map[types.Shard][]types.Attempt{}
	for _, l := range append(attempts, late...) {
		o := h.holds.by[l]
		if o == nil || o.halt != 0 && h.now.Sub(o.halt) < h.pace.Again/2 {
			continue
		}
		o.halt = h.now
		by[o.Shard] = append(by[o.Shard], l)
	}
	for _, k := range sorted(by) {
		if s := h.seats[k]; s != nil && s.State != MustDie && s.State != New {
			h.say(s, wire.Stop, Stop{h.top(s), by[k], late})
		}
	}
}

// Strays lists attempts that an agent runs but the log does not have as given out.
func (h *Scheduler) Strays() (list []types.Attempt) {
	for l, o := range h.holds.alien {
		if o.Phase == sure && h.Taken(state.End{Attempt: l, Outcome: state.Halted}) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, types.Attempt.Compare)
	return
}

// Missing lists attempts whose agent has still not come to this leadership when a
// sound one would have.
func (h *Scheduler) Missing() (list []*Hold) {
	if !h.Wait || h.now.Sub(h.born) <= h.pace.Ill {
		return nil
	}
	return h.holds.dims(h.seats)
}

// Holds lists the attempts that possibly run, by shard.
func (h *Scheduler) Holds() []*Hold { return h.holds.all() }

// Running lists those of one shard in order, with a number that differs whenever the
// list does; the list is the scheduler's own and holds until its next step.
func (h *Scheduler) Running(shard types.Shard) ([]*Hold, uint64) {
	var list []*Hold
	if x := h.holds.on[shard]; x != nil {
		list = x.list
	}
	return list, h.holds.revisions[shard]
}

// Where is the shard on which an attempt possibly runs, or nothing.
func (h *Scheduler) Where(attempt types.Attempt) types.Shard {
	if o := h.holds.by[attempt]; o != nil {
		return o.Shard
	}
	return ""
}

// Free is a seat's room less what its agent believes it to lack and all that possibly
// runs on it.
func (h *Scheduler) Free(s *WorkerEntry) types.Room {
	return s.Room.Minus(s.Lacks).Minus(h.holds.used(s.Shard))
}

var heads = map[string]func(*Scheduler, wire.Message){
	wire.Beat:    wire.On((*Scheduler).onBeat),
	wire.Account: wire.On((*Scheduler).onAccount),
	wire.Ordered: wire.On((*Scheduler).onOrdered),
	wire.Queried: wire.On((*Scheduler).onQueried),
	wire.Status:  wire.On((*Scheduler).onStatus),
}

// Take handles an agent's note.
func (h *Scheduler) Take(now types.Stamp, grace time.Duration, n wire.Message) {
	h.now, h.grace = now, grace
	if f := heads[n.Kind]; f != nil {
		f(h, n)
	}
}
