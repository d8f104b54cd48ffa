// Package choice decides which waiting task goes to which worker. It is one
// pure function over what the leader knows at that moment. Queues take turns by
// how little of their due they have; a task that finds no place is passed over
// and holds up nobody behind it; a gang is placed whole or not at all.
package choice

import (
	"slices"
	"sort"

	"coppercourse/blueprint"
	"coppercourse/mark"
)

// Slot is a worker that may be given work.
type Slot struct {
	Shard mark.Shard
	Rack  mark.Rack
	Kinds []mark.Kind
	Free  mark.Room
	Bad   float64
	Slow  float64
	Busy  int
	Has   map[Part]int
}

// Part is one step of one job.
type Part struct {
	Job  mark.JobID
	Step int
}

// Want is the tasks of one step that may start now.
type Want struct {
	Part
	Queue   mark.Queue
	Urgency int
	Kind    mark.Kind
	Rack    mark.Rack
	Room    mark.Room
	Spread  int
	Gang    bool
	Tasks   []int
}

// Due is a queue's row and what it has in use.
type Due struct {
	Row     blueprint.Row
	Running int
	Cores   int
}

// Pick is one placement.
type Pick struct {
	Task  mark.Task
	Shard mark.Shard
}

// Most is how many tasks one round places; the next round goes on.
const Most = 400

// A worker whose legs end badly this much more often than the others' gets
// one task at a time, by which it can prove itself.
const shun = 0.35

type turn struct {
	due   *Due
	wants []Want
}

// Place gives the round's placements; wants come oldest first.
func Place(wants []Want, slots []Slot, dues map[mark.Queue]*Due, total int) (picks []Pick) {
	turns := line(wants, dues)
	mean := 0.0
	for _, s := range slots {
		mean += s.Bad / float64(len(slots))
	}
	dead := map[shape]bool{}
	for len(picks) < Most {
		t := next(turns, total)
		if t == nil {
			return
		}
		w := &t.wants[0]
		n := 1
		if w.Gang {
			n = len(w.Tasks)
		}
		k := shape{w.Kind, w.Rack, w.Room}
		var got []int
		if t.due.Running+n <= t.due.Row.Running && (!dead[k] || w.Gang) {
			got = fit(*w, n, slots, mean)
			if got == nil && !w.Gang && w.Spread == 0 {
				dead[k] = true
			}
		}
		if got == nil {
			t.wants = t.wants[1:]
			continue
		}
		for i, at := range got {
			s := &slots[at]
			s.Free = s.Free.Minus(w.Room)
			s.Busy++
			s.Has[w.Part]++
			picks = append(picks, Pick{mark.Task{Job: w.Job, N: w.Tasks[i]}, s.Shard})
		}
		t.due.Running += n
		t.due.Cores += n * w.Room.Cores
		if w.Tasks = w.Tasks[n:]; len(w.Tasks) == 0 {
			t.wants = t.wants[1:]
		}
	}
	return
}

type shape struct {
	kind mark.Kind
	rack mark.Rack
	room mark.Room
}

func line(wants []Want, dues map[mark.Queue]*Due) (turns []*turn) {
	by := map[mark.Queue]*turn{}
	for _, w := range wants {
		t := by[w.Queue]
		if t == nil {
			d := dues[w.Queue]
			if d == nil {
				continue
			}
			t = &turn{due: d}
			by[w.Queue], turns = t, append(turns, t)
		}
		t.wants = append(t.wants, w)
	}
	for _, t := range turns {
		sort.SliceStable(t.wants, func(i, k int) bool { return t.wants[i].Urgency > t.wants[k].Urgency })
	}
	return
}

// next is the queue whose turn it is: those below their share first, the one
// furthest below before the others, then by cores in use for each weight.
func next(turns []*turn, total int) (best *turn) {
	rank := func(t *turn) (bool, float64) {
		part := 100 * float64(t.due.Cores) / float64(max(total, 1))
		if s := float64(t.due.Row.Share); part < s {
			return true, part / s
		}
		return false, float64(t.due.Cores) / float64(t.due.Row.Weight)
	}
	for _, t := range turns {
		if len(t.wants) == 0 {
			continue
		}
		if best == nil {
			best = t
			continue
		}
		a, x := rank(t)
		b, y := rank(best)
		if a && !b || a == b && x < y {
			best = t
		}
	}
	return
}

// fit finds workers for n tasks of a want, or nil.
func fit(w Want, n int, slots []Slot, mean float64) (got []int) {
	free := make([]mark.Room, len(slots))
	more := make([]int, len(slots))
	for i := range slots {
		free[i] = slots[i].Free
	}
	for range n {
		best, mark := -1, 0.0
		for i := range slots {
			s := &slots[i]
			if !free[i].Holds(w.Room) || w.Rack != "" && w.Rack != s.Rack || !slices.Contains(s.Kinds, w.Kind) ||
				w.Spread > 0 && s.Has[w.Part]+more[i] >= w.Spread {
				continue
			}
			if s.Bad > mean+shun && s.Busy+more[i] > 0 {
				continue
			}
			if v := worth(s, free[i]); best < 0 || v > mark {
				best, mark = i, v
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

// worth prefers workers with much room that end their legs well and in time.
func worth(s *Slot, free mark.Room) float64 {
	return float64(free.Cores) * (1 - s.Bad) / max(s.Slow, 0.2)
}
