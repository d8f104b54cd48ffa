// The worker set and its consensus, after the paper: each leader numbers the
// sets it has known, each ward carries the one it heard of last, and a new ward
// gets no work before every set that could end a later leader's wait has it in,
// directly or through the wards in that set (indirectWorkerSetID_). The sets
// are kept whole instead of as a history of changes; there are a dozen wards.
package truth

import (
	"hash/fnv"
	"sort"
	"time"

	"coppercourse/mark"
	"coppercourse/store"
)

// digest hashes a set of ward instances.
func digest(ids map[mark.ID]bool) uint64 {
	list := make([]string, 0, len(ids))
	for id := range ids {
		list = append(list, string(id))
	}
	sort.Strings(list)
	f := fnv.New64a()
	for _, s := range list {
		f.Write([]byte(s + "\n"))
	}
	return f.Sum64()
}

// reset numbers a new set after a ward came or was lost.
func (h *Head) reset() {
	ids := map[mark.ID]bool{}
	for _, s := range h.seats {
		if s.State != MustDie {
			ids[s.ID] = true
		}
	}
	h.hist = append(h.hist, ids)
	least := len(h.hist) - 1
	for _, s := range h.seats {
		if s.State != MustDie && s.ind > 0 {
			least = min(least, s.ind, s.ver)
		}
	}
	for i := 1; i < least; i++ {
		h.hist[i] = nil
	}
}

func (h *Head) set() SetID {
	v := len(h.hist) - 1
	return SetID{Born: h.term, Ver: v, Hash: digest(h.hist[v]), Size: len(h.hist[v])}
}

// spread brings every ward's indirect set up: to its own set if that is newer,
// then to the highest among the wards of that set, until nothing changes.
func (h *Head) spread() {
	by := map[mark.ID]*Seat{}
	for _, s := range h.seats {
		by[s.ID] = s
		s.ind = max(s.ind, s.ver)
	}
	for more := true; more; {
		more = false
		for _, s := range h.seats {
			if s.ind == 0 {
				continue
			}
			for id := range h.hist[s.ind] {
				if u := by[id]; u != nil && u.ind > s.ind {
					s.ind, more = u.ind, true
				}
			}
		}
	}
}

// permits is consensusPermitsWorkerToBecomeHealthy: the ward requires every
// other that is not lost, and each of those requires it, if indirectly.
func (h *Head) permits(w *Seat) bool {
	if w.ver == 0 {
		return false
	}
	for _, u := range h.seats {
		if u == w || u.State == MustDie {
			continue
		}
		if !h.hist[w.ver][u.ID] || u.ind == 0 || !h.hist[u.ind][w.ID] {
			return false
		}
	}
	return true
}

// Worth is how a worker's legs have ended of late and how long they took
// beside what is usual for the same step of a queue.
type Worth struct {
	Bad  float64
	Slow float64
}

const fade = 0.1

func (h *Head) mark(o *Hold, f store.Fate) {
	s := h.seats[o.Shard]
	if s == nil || f == store.Unrun || f == store.Halted || f == store.Cut {
		return
	}
	bad := 0.0
	if f != store.OK {
		bad = 1
	}
	s.Worth.Bad += fade * (bad - s.Worth.Bad)
	if o.Usual == "" || f != store.OK {
		return
	}
	if s.Invoked {
		h.took(o, h.now.Sub(o.At), true)
	}
	took := float64(h.now.Sub(o.At))
	n := h.norm[o.Usual]
	if n == nil {
		n = &usual{took: took}
		h.norm[o.Usual] = n
	}
	n.count++
	s.Worth.Slow += fade * (took/n.took - s.Worth.Slow)
	n.took += fade * (min(took, 4*n.took) - n.took)
}

// usual is how long legs of one step of a queue take.
type usual struct {
	took  float64
	count int
}

// Usual gives that, once enough of them have ended well to tell.
func (h *Head) Usual(name string) (time.Duration, bool) {
	n := h.norm[name]
	if n == nil || n.count < 10 {
		return 0, false
	}
	return time.Duration(n.took), true
}
