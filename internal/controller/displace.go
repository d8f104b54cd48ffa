// Displacing: work that waits in a queue whose row displaces, and that is either
// more urgent than what runs or below its queue's share, takes the place of less
// urgent work of queues above their shares. Whole gangs only, each task a few
// times at most, one want at a time, and the place is then kept for it.
package controller

import (
	"slices"
	"sort"
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	endure = time.Second     // displacing work has waited so long
	gap    = 2 * time.Second // between two displacings
)

// victim is an attempt that may be displaced, with its gang.
type victim struct {
	attempts []types.Attempt
	room     map[types.Shard]types.Room
	urgency  int
	age      time.Duration
}

// displace finds what to take back for the first want that may displace, and
// the workers to keep for it.
func (co *Controller) displace(in placement.Input) ([]state.Back, *placement.Reserve) {
	if co.now.Mono.Sub(co.moves) < gap {
		return nil, nil
	}
	for _, w := range in.Wants {
		d := in.Dues[w.Queue]
		if d == nil || !d.Row.Displace || w.Since < endure || len(w.Tasks) == 0 {
			continue
		}
		if d.Running+w.Need() > d.Row.Running {
			continue
		}
		if attempts, kept := oust(w, in.Slots, co.victims(w, below(d, in.Total), in)); attempts != nil {
			co.moves = co.now.Mono
			return attempts, kept
		}
	}
	return nil, nil
}

func below(d *placement.Due, total types.Cores) bool {
	return 100*d.Cores < types.Cores(d.Row.Share)*total
}

// victims lists what a want may displace: the least urgent first, then what has
// run for the shortest time.
func (co *Controller) victims(w placement.Want, under bool, in placement.Input) (list []*victim) {
	gangs := map[placement.Part]*victim{}
	for _, o := range co.scheduler.Holds() {
		j := co.state.Jobs[o.Attempt.Job]
		if j == nil || o.Stage < 0 || !co.mayTake(o.Attempt) || j.Queue == w.Queue && j.Spec.Urgency >= w.Urgency {
			continue
		}
		d := in.Dues[j.Queue]
		urgent := j.Spec.Urgency < w.Urgency
		if d == nil || below(d, in.Total) || !urgent && !(under && j.Queue != w.Queue && j.Spec.Urgency <= w.Urgency) ||
			j.Task(o.Attempt.N).Moved >= d.Row.Moves {
			continue
		}
		v := &victim{room: map[types.Shard]types.Room{}, urgency: j.Spec.Urgency, age: co.now.Mono.Sub(o.At)}
		if j.Spec.Steps[o.Stage.Step()].Gang {
			k := placement.Part{Job: o.Attempt.Job, Stage: o.Stage}
			if gangs[k] != nil {
				v = gangs[k]
			} else {
				gangs[k] = v
				list = append(list, v)
			}
		} else {
			list = append(list, v)
		}
		v.attempts = append(v.attempts, o.Attempt)
		v.room[o.Shard] = v.room[o.Shard].Plus(o.Room)
	}
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		return a.urgency < b.urgency || a.urgency == b.urgency && a.age < b.age
	})
	return
}

// oust takes victims until the want would fit, and lets go of those that turn
// out not to be needed.
func oust(w placement.Want, slots []placement.Slot, list []*victim) (attempts []state.Back, kept *placement.Reserve) {
	need := w.Need()
	fits := func(use []*victim) (seats []placement.Seat) {
		n := 0
		for i := range slots {
			s := &slots[i]
			if !s.Suits(w) {
				continue
			}
			free := s.Free
			for _, v := range use {
				free = free.Plus(v.room[s.Shard])
			}
			k := 0
			for room := free; room.Holds(w.Room) && n+k < need && (w.Spread == 0 || s.Count(w.Part)+k < w.Spread); k++ {
				room = room.Minus(w.Room)
			}
			if k > 0 {
				seats = append(seats, placement.Seat{Shard: s.Shard, Tasks: k})
			}
			if n += k; n >= need {
				return seats
			}
		}
		return nil
	}
	if fits(nil) != nil || fits(list) == nil {
		return nil, nil
	}
	var use []*victim
	for _, v := range list {
		if use = append(use, v); fits(use) != nil {
			break
		}
	}
	for i := 0; i < len(use); {
		if less := slices.Delete(slices.Clone(use), i, i+1); fits(less) != nil {
			use = less
		} else {
			i++
		}
	}
	for _, v := range use {
		for _, l := range v.attempts {
			attempts = append(attempts, state.Back{Attempt: l, Why: state.Displaced})
		}
	}
	return attempts, &placement.Reserve{Part: w.Part, Seats: fits(use)}
}

// ages keeps since when each step has had something that could start.
func (co *Controller) ages(list []placement.Want) {
	next := make(map[placement.Part]types.Stamp, len(list))
	for i := range list {
		w := &list[i]
		at, ok := co.waited[w.Part]
		if !ok {
			at = co.now.Mono
		}
		next[w.Part], w.Since = at, co.now.Mono.Sub(at)
	}
	co.waited = next
}
