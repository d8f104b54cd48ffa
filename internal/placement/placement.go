// Package placement decides which waiting task goes to which worker. It is one
// pure function over what the leader knows at that moment. Queues take turns by
// how little of their due they have; a task that finds no place is passed over
// and holds up nobody behind it; a gang is placed whole or not at all. One that
// was passed over for long while smaller work kept flowing gets a reservation:
// named workers on which others may start only what surely ends before the
// reserved work could begin anyway.
package placement

import (
	"slices"
	"sort"
	"strings"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Slot is a worker that may be given work.
type Slot struct {
	Shard types.Shard
	Rack  types.Rack
	Kinds []types.Kind

	Labels []string

	Free  types.Room
	Bad   float64
	Slow  float64
	Now   float64 // how many times the usual what runs there takes now; 0 is as usual
	Busy  int
	Has   map[Part]int  // tasks of each part that run there; it may be shared, and is not changed
	Size  types.Room    // when nothing runs there
	Till  time.Duration // how long until it may run nothing; 0 is without end
	Clear time.Duration // by when all that runs there has ended, by its limits
	held  types.Room    // reserved of it
	added []Part        // of the tasks that were placed there since Has was made
}

// Count is how many tasks of a part are there.
func (s *Slot) Count(p Part) int {
	n := s.Has[p]
	for _, x := range s.added {
		if x == p {
			n++
		}
	}
	return n
}

// Add places a task of a part there, and takes its room.
func (s *Slot) Add(p Part, room types.Room) {
	s.Free = s.Free.Minus(room)
	s.Busy++
	s.added = append(s.added, p)
}

// Part is one step of one job, at one of its times.
type Part struct {
	Job   types.JobID
	Stage types.Stage
}

// Want is the tasks of one step that may start now.
type Want struct {
	Part
	Queue   types.Queue
	Urgency int
	Kind    types.Kind
	Rack    types.Rack
	Labels  []string
	Room    types.Room
	Spread  int
	Gang    bool
	Tasks   []int
	Long    time.Duration // its time limit
	Since   time.Duration // how long it has been ready

	Class   Class       // whether its job can still meet its aim
	Spare   int         // percent of all cores that it leaves at most to what goes before it
	Cap     types.Cores // what its queue may have in use with it, or 0 for no bound
	Idle    bool        // nothing of its job runs
	Turn    float64     // of what is in the same class, the lowest goes first
	Near    types.Rack  // where its data is
	OneRack bool        // it is slower when spread over racks
	Shun    map[types.Shard]bool
}

// Need is how many tasks must be placed together.
func (w Want) Need() int {
	if w.Gang {
		return len(w.Tasks)
	}
	return 1
}

// Reserve is room on named workers kept for one step of a job.
type Reserve struct {
	Part
	Seats []Seat
}

// WorkerEntry is a worker and for how many tasks room is kept there.
type Seat struct {
	Shard types.Shard
	Tasks int
}

// Input is all that the choice looks at.
type Input struct {
	Wants []Want // oldest first
	Slots []Slot
	Dues  map[types.Queue]*Due
	Total types.Cores
	Kept  *Reserve
}

// Output is the round's placements, and the reservation to keep.
type Output struct {
	Picks []Pick
	Kept  *Reserve
}

// Endure is how long work is passed over before workers are reserved for it.
const Endure = 3 * time.Second

// Due is a queue's row and what it has in use.
type Due struct {
	Row     config.Row
	Running int
	Cores   types.Cores
}

// Pick is one placement.
type Pick struct {
	Task  types.Task
	Shard types.Shard
}

// Most is how many tasks one round places; the next round goes on.
const Most = 400

// A worker whose attempts end badly this much more often than the others' gets
// one task at a time, by which it can prove itself.
const shun = 0.35

type turn struct {
	due   *Due
	wants []Want
}

// round is one call of Place.
type round struct {
	Input
	out    Output
	mean   float64
	dead   map[shape]bool
	missed *Want // the first whose turn it was, passed over for too long
	passed bool  // and other work took room that would have suited it
	free   []types.Room
	more   []int
	holds  int // slots on which room is kept, for this round, for work that found none
}

// Place gives the round's placements.
func Place(in Input) Output {
	r := &round{Input: in, dead: map[shape]bool{}}
	for _, s := range r.Slots {
		r.mean += s.Bad / float64(len(r.Slots))
	}
	r.redeem()
	turns := line(r.Wants, r.Dues)
	for len(r.out.Picks) < Most {
		t := next(turns, r.Total)
		if t == nil {
			break
		}
		w := &t.wants[0]
		n := w.Need()
		room := t.due.Running+n <= t.due.Row.Running && !t.due.capped(w, n)
		var got []int
		if k := w.shape(); room && (!r.dead[k] || w.Gang) {
			got = r.fit(*w, n)
			if got == nil && !w.Gang && w.Spread == 0 && w.Shun == nil {
				r.dead[k] = true
			}
		}
		if got == nil {
			if room && t.due.Row.Aims() {
				r.hold(w)
			}
			if room && r.missed == nil && r.out.Kept == nil && w.Since >= Endure && w.Class == InAim {
				r.missed = w
			}
			t.wants = t.wants[1:]
			continue
		}
		for _, at := range got {
			r.passed = r.passed || r.missed != nil && r.Slots[at].Suits(*r.missed)
		}
		r.take(w, t.due, got)
		if len(w.Tasks) == 0 {
			t.wants = t.wants[1:]
		}
	}
	if r.missed != nil && r.passed {
		r.out.Kept = r.reserve(*r.missed)
	}
	return r.out
}

// capped tells whether patient work would take more than is left for it beside the
// peaks of what goes before it. A little of it always may run.
func (d *Due) capped(w *Want, n int) bool {
	return w.Cap > 0 && d.Cores > 0 && d.Cores+types.Cores(n)*w.Room.Cores > w.Cap
}

func (r *round) take(w *Want, d *Due, got []int) {
	for i, at := range got {
		s := &r.Slots[at]
		s.Add(w.Part, w.Room)
		r.out.Picks = append(r.out.Picks, Pick{types.Task{Job: w.Job, N: w.Tasks[i]}, s.Shard})
	}
	d.Running += len(got)
	d.Cores += types.Cores(len(got)) * w.Room.Cores
	w.Tasks = w.Tasks[len(got):]
}

// redeem places what a reservation was kept for, or keeps it on. It lapses when
// what it was for waits no more, or a worker of it is gone.
func (r *round) redeem() {
	if r.Kept == nil {
		return
	}
	for i := range r.Wants {
		w := &r.Wants[i]
		d := r.Dues[w.Queue]
		if w.Part != r.Kept.Part || d == nil {
			continue
		}
		n := w.Need()
		if d.Running+n > d.Row.Running {
			return
		}
		if got := r.fit(*w, n); got != nil {
			r.take(w, d, got)
			return
		}
		for _, x := range r.Kept.Seats {
			k := slices.IndexFunc(r.Slots, func(s Slot) bool { return s.Shard == x.Shard && s.Suits(*w) })
			if k < 0 {
				for k := range r.Slots {
					r.Slots[k].held = types.Room{}
				}
				return
			}
			r.Slots[k].held = w.Room.Times(x.Tasks)
		}
		r.out.Kept = r.Kept
		return
	}
}

// Suits tells whether a worker could run a task of a want if it were empty.
func (s *Slot) Suits(w Want) bool {
	for _, l := range w.Labels {
		if !slices.Contains(s.Labels, l) {
			return false
		}
	}
	return s.Size.Holds(w.Room) && (w.Rack == "" || w.Rack == s.Rack) && slices.Contains(s.Kinds, w.Kind) &&
		(s.Till == 0 || w.Long <= s.Till)
}

// reserve names the workers that lack the least room for the want, or none if
// all that suit it could not hold it together.
func (r *round) reserve(w Want) *Reserve {
	need := w.Need()
	var at []int
	for i := range r.Slots {
		if r.Slots[i].Suits(w) {
			at = append(at, i)
		}
	}
	sort.SliceStable(at, func(i, k int) bool {
		a, b := r.Slots[at[i]], r.Slots[at[k]]
		return a.Free.Cores > b.Free.Cores || a.Free.Cores == b.Free.Cores && a.Clear < b.Clear
	})
	kept := &Reserve{Part: w.Part}
	most := func(s Slot) int { // by its size, and by how many of the step may be there
		n := s.Size.Fits(w.Room)
		if w.Spread > 0 {
			n = min(n, w.Spread-s.Count(w.Part))
		}
		return n
	}
	for pass := range 2 { // one each at first, then as many as they hold
		for _, i := range at {
			s := r.Slots[i]
			k := slices.IndexFunc(kept.Seats, func(x Seat) bool { return x.Shard == s.Shard })
			switch n := most(s); {
			case need == 0 || n < 1:
			case pass == 0:
				kept.Seats = append(kept.Seats, Seat{s.Shard, 1})
				need--
			case k >= 0:
				add := min(need, n-kept.Seats[k].Tasks)
				kept.Seats[k].Tasks += add
				need -= add
			}
		}
	}
	if need > 0 {
		return nil
	}
	return kept
}

func (w Want) shape() shape {
	return shape{w.Kind, w.Rack, strings.Join(w.Labels, " "), w.Room, w.Long}
}

type shape struct {
	kind types.Kind
	rack types.Rack
	need string
	room types.Room
	long time.Duration
}
