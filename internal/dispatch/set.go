// The worker set and its consensus, after the paper: each leader numbers the
// sets it has known, each agent carries the one it heard of last, and a new agent
// gets no work before every set that could end a later leader's wait has it in,
// directly or through the agents in that set (indirectWorkerSetID_). The sets are
// kept as a history of differences: an agent is in those from the one that it came
// with up to the one that it was lost with; the digest is kept as they change.
package dispatch

import (
	"hash/fnv"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// digest stands for an agent instance; that of a set is the sum of its members'.
func digest(id types.ID) uint64 {
	f := fnv.New64a()
	f.Write([]byte(id))
	return f.Sum64()
}

// sets is the history. Groups are the seats by their indirect sets.
type sets struct {
	ver    int
	hash   uint64
	size   int
	groups map[int][]*WorkerEntry
	came   []*WorkerEntry // in order of joining; some have left
}

// in tells whether a seat's agent is in a set.
func (s *WorkerEntry) in(set int) bool { return s.join <= set && (s.left == 0 || set < s.left) }

// enter makes the next set, with an agent in it and the one that it replaces out.
func (h *sets) enter(s, old *WorkerEntry) {
	h.ver++
	if old != nil {
		h.out(old)
		h.ungroup(old)
	}
	s.join = h.ver
	h.hash += digest(s.ID)
	h.size++
	h.groups[0] = append(h.groups[0], s)
	h.came = append(h.came, s)
}

// exit makes the next set, with a lost agent out of it.
func (h *sets) exit(s *WorkerEntry) {
	h.ver++
	h.out(s)
}

func (h *sets) out(s *WorkerEntry) {
	if s.left != 0 {
		return
	}
	s.left = h.ver
	h.hash -= digest(s.ID)
	h.size--
	if len(h.came) > 2*h.size+64 {
		h.came = slices.DeleteFunc(h.came, func(s *WorkerEntry) bool { return s.left != 0 })
	}
}

func (h *sets) ungroup(s *WorkerEntry) {
	list := slices.DeleteFunc(h.groups[s.ind], func(o *WorkerEntry) bool { return o == s })
	if h.groups[s.ind] = list; len(list) == 0 {
		delete(h.groups, s.ind)
	}
}

// lift brings indirect sets up after an agent told of a newer set: its own to that
// one or the highest of the agents in it, then that of any agent whose set has it
// in, or one brought up so, to the same.
func (h *sets) lift(s *WorkerEntry) {
	if s.ver <= s.ind {
		return
	}
	h.ungroup(s)
	s.ind = s.ver
	for more := true; more; {
		more = false
		for set, list := range h.groups {
			if set > s.ind && slices.ContainsFunc(list, func(o *WorkerEntry) bool { return o.in(s.ind) }) {
				s.ind, more = set, true
			}
		}
	}
	h.groups[s.ind] = append(h.groups[s.ind], s)
	for up := []*WorkerEntry{s}; len(up) > 0; up = up[1:] {
		for set, list := range h.groups {
			if set == 0 || set >= s.ind || !up[0].in(set) {
				continue
			}
			delete(h.groups, set)
			for _, o := range list {
				o.ind = s.ind
			}
			h.groups[s.ind] = append(h.groups[s.ind], list...)
			up = append(up, list...)
		}
	}
}

// permits is consensusPermitsWorkerToBecomeHealthy: the agent requires every
// other that is not lost, and each of those requires it, if indirectly.
func (h *sets) permits(w *WorkerEntry) bool {
	if w.ver == 0 {
		return false
	}
	for i := len(h.came) - 1; i >= 0 && h.came[i].join > w.ver; i-- {
		if u := h.came[i]; u != w && u.left == 0 {
			return false
		}
	}
	for set, list := range h.groups {
		if set < w.join && slices.ContainsFunc(list, func(u *WorkerEntry) bool { return u != w && u.left == 0 }) {
			return false
		}
	}
	return true
}

func (h *Scheduler) set() SetID {
	return SetID{Born: h.term, Ver: h.sets.ver, Hash: h.sets.hash, Size: h.sets.size}
}

// Worth is how a worker's attempts have ended of late and how long they took
// beside what is usual for the same step of a queue.
type Worth struct {
	Bad  float64
	Slow float64
}

const fade = 0.1

func (h *Scheduler) mark(o *Hold, f state.Outcome) {
	s := h.seats[o.Shard]
	if s == nil || f == state.Unrun || f == state.Halted || f == state.Cut {
		return
	}
	bad := 0.0
	if f != state.OK {
		bad = 1
	}
	s.Worth.Bad += fade * (bad - s.Worth.Bad)
	if o.Usual == "" || f != state.OK {
		return
	}
	if s.Invoked {
		h.took(o, h.now.Sub(o.At), true)
	}
	took := float64(h.now.Sub(o.At))
	if took <= 0 {
		return // it tells nothing, and nothing can be set beside it
	}
	n := h.norm[o.Usual]
	if n == nil {
		n = &usual{took: took}
		h.norm[o.Usual] = n
	}
	n.count++
	s.Worth.Slow += fade * (took/n.took - s.Worth.Slow)
	n.took += fade * (min(took, 4*n.took) - n.took)
}

// usual is how long attempts of one step of a queue take.
type usual struct {
	took  float64
	count int
}

// Usual gives that, once enough of them have ended well to tell.
func (h *Scheduler) Usual(name string) (time.Duration, bool) {
	n := h.norm[name]
	if n == nil || n.count < 10 {
		return 0, false
	}
	return time.Duration(n.took), true
}
