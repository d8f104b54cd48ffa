// Where the tasks of a step go: workers that suit them and have room, on the rack
// of their data if they can, on one rack if they are slower when spread, away from
// workers where they stalled or failed.
package placement

import "coppercourse/internal/types"

// fit finds workers for n tasks of a want, or nil.
func (r *round) fit(w Want, n int) (got []int) {
	if w.OneRack {
		if got = r.rack(w, n); got != nil {
			return got
		}
	}
	return r.among(w, n, "")
}

// rack finds one rack that holds n tasks of a want, the one of its data first.
func (r *round) rack(w Want, n int) []int {
	seen := map[types.Rack]bool{"": true}
	try := func(x types.Rack) []int {
		if seen[x] {
			return nil
		}
		seen[x] = true
		return r.among(w, n, x)
	}
	got := try(w.Near)
	for i := 0; i < len(r.Slots) && got == nil; i++ {
		if at := r.Slots[i].Rack; r.Slots[i].Count(w.Part) > 0 {
			got = try(at)
		}
	}
	for i := 0; i < len(r.Slots) && got == nil; i++ {
		got = try(r.Slots[i].Rack)
	}
	return got
}

// among finds workers in a rack, or in any.
func (r *round) among(w Want, n int, rack types.Rack) (got []int) {
	free, more := r.free[:0], r.more[:0]
	for i := range r.Slots {
		free, more = append(free, r.Slots[i].Free), append(more, 0)
	}
	r.free, r.more = free, more
	for range n {
		best, top := -1, 0.0
		for i := range r.Slots {
			s := &r.Slots[i]
			if rack != "" && s.Rack != rack || !free[i].Holds(w.Room) || !s.Suits(w) ||
				w.Spread > 0 && s.Count(w.Part)+more[i] >= w.Spread ||
				!free[i].Minus(s.held).Holds(w.Room) && w.Long > s.Clear {
				continue
			}
			if r.bad(s) && s.Busy+more[i] > 0 || s.Now > slow || s.Now > 0 && s.Busy+more[i] >= proves {
				continue
			}
			v := worth(s, free[i])
			if w.Near != "" && s.Rack != w.Near {
				v /= 100
			}
			if w.Shun[s.Shard] {
				v /= 1000
			}
			if best < 0 || v > top {
				best, top = i, v
			}
		}
		if best < 0 {
			return nil
		}
		free[best] = free[best].Minus(w.Room)
		more[best]++
		got = append(got, best)
	}
	return
}

// A worker on which all takes more than slow times as long gets nothing; one that
// is being trusted again gets a little, by which it can prove itself.
const (
	slow   = 2.0
	proves = 2
)

// hold keeps the room of the slots where a want that found none will soonest find it,
// so that smaller work whose turn is later does not take it piece by piece. It lasts
// for the round: the next one comes to the same while nothing changes. A part of the
// slots at most is kept so.
func (r *round) hold(w *Want) {
	if w.Class == Spent || w.Gang {
		return
	}
	for range w.Tasks {
		best := -1
		for i := range r.Slots {
			s := &r.Slots[i]
			if s.held != (types.Room{}) || !s.Suits(*w) || s.Now > slow || s.Now > 0 && s.Busy >= proves ||
				w.Spread > 0 && s.Count(w.Part) >= w.Spread || r.bad(s) && s.Busy > 0 {
				continue
			}
			if best < 0 || s.Free.Cores > r.Slots[best].Free.Cores {
				best = i
			}
		}
		if best < 0 || (r.holds+1)*keeps > len(r.Slots) {
			return
		}
		r.Slots[best].held = w.Room
		r.holds++
	}
}

// keeps is of how many slots one at most has its room kept for work that found none.
const keeps = 4

// bad tells a worker whose attempts end badly much more often than the others'.
func (r *round) bad(s *Slot) bool { return s.Bad > r.mean+shun }

// worth prefers workers with much room that end their attempts well and in time.
func worth(s *Slot, free types.Room) float64 {
	return float64(free.Cores) * (1 - s.Bad) / max(s.Slow, 0.2)
}
