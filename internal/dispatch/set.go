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
func (w *WorkerEntry) in(set int) bool { return w.join <= set && (w.left == 0 || set < w.left) }

// enter makes the next set, with an agent in it and the one that it replaces out.
func (se *sets) enter(s, old *WorkerEntry) {
	se.ver++
	if old != nil {
		se.out(old)
		se.ungroup(old)
	}
	s.join = se.ver
	se.hash += digest(s.ID)
	se.size++
	se.groups[0] = append(se.groups[0], s)
	se.came = append(se.came, s)
}

// exit makes the next set, with a lost agent out of it.
func (se *sets) exit(s *WorkerEntry) {
	se.ver++
	se.out(s)
}

func (se *sets) out(s *WorkerEntry) {
	if s.left != 0 {
		return
	}
	s.left = se.ver
	se.hash -= digest(s.ID)
	se.size--
	if len(se.came) > 2*se.size+64 {
		se.came = slices.DeleteFunc(se.came, func(s *WorkerEntry) bool { return s.left != 0 })
	}
}

func (se *sets) ungroup(s *WorkerEntry) {
	list := slices.DeleteFunc(se.groups[s.ind], func(o *WorkerEntry) bool { return o == s })
	if se.groups[s.ind] = list; len(list) == 0 {
		delete(se.groups, s.ind)
	}
}

// lift brings indirect sets up after an agent told of a newer set: its own to that
// one or the highest of the agents in it, then that of any agent whose set has it
// in, or one brought up so, to the same.
func (se *sets) lift(s *WorkerEntry) {
	if s.ver <= s.ind {
		return
	}
	se.ungroup(s)
	s.ind = s.ver
	for more := true; more; {
		more = false
		for set, list := range se.groups {
			if set > s.ind && slices.ContainsFunc(list, func(o *WorkerEntry) bool { return o.in(s.ind) }) {
				s.ind, more = set, true
			}
		}
	}
	se.groups[s.ind] = append(se.groups[s.ind], s)
	for up := []*WorkerEntry{s}; len(up) > 0; up = up[1:] {
		for set, list := range se.groups {
			if set == 0 || set >= s.ind || !up[0].in(set) {
				continue
			}
			delete(se.groups, set)
			for _, o := range list {
				o.ind = s.ind
			}
			se.groups[s.ind] = append(se.groups[s.ind], list...)
			up = append(up, list...)
		}
	}
}

// permits is consensusPermitsWorkerToBecomeHealthy: the agent requires every
// other that is not lost, and each of those requires it, if indirectly.
func (se *sets) permits(w *WorkerEntry) bool {
	if w.ver == 0 {
		return false
	}
	for i := len(se.came) - 1; i >= 0 && se.came[i].join > w.ver; i-- {
		if u := se.came[i]; u != w && u.left == 0 {
			return false
		}
	}
	for set, list := range se.groups {
		if set < w.join && slices.ContainsFunc(list, func(u *WorkerEntry) bool { return u != w && u.left == 0 }) {
			return false
		}
	}
	return true
}

func (sc *Scheduler) set() SetID {
	return SetID{Born: sc.term, Ver: sc.sets.ver, Hash: sc.sets.hash, Size: sc.sets.size}
}

// Worth is how a worker's attempts have ended of late and how long they took
// beside what is usual for the same step of a queue.
type Worth struct {
	Bad  float64
	Slow float64
}

const fade = 0.1

func (sc *Scheduler) mark(o *Hold, f state.Outcome) {
	s := sc.seats[o.Shard]
	if s == nil || f == state.OutcomeNeverRan || f == state.OutcomeStopped || f == state.OutcomePartitioned {
		return
	}
	bad := 0.0
	if f != state.OutcomeOK {
		bad = 1
	}
	s.Worth.Bad += fade * (bad - s.Worth.Bad)
	if o.Usual == "" || f != state.OutcomeOK {
		return
	}
	if s.Invoked {
		sc.took(o, sc.now.Sub(o.At), true)
	}
	took := float64(sc.now.Sub(o.At))
	if took <= 0 {
		return // it tells nothing, and nothing can be set beside it
	}
	n := sc.norm[o.Usual]
	if n == nil {
		n = &usual{took: took}
		sc.norm[o.Usual] = n
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
func (sc *Scheduler) Usual(name string) (time.Duration, bool) {
	n := sc.norm[name]
	if n == nil || n.count < 10 {
		return 0, false
	}
	return time.Duration(n.took), true
}
