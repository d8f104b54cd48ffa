// The history of differences against the slow way: sets kept whole and the
// agreement worked out afresh.
package truth

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/matryer/is"

	"coppercourse/mark"
)

// whole is the worker sets kept whole.
type whole struct {
	hist []map[mark.ID]bool
	ind  map[mark.ID]int
}

func (w *whole) reset(seats map[mark.Shard]*Seat) {
	ids := map[mark.ID]bool{}
	for _, s := range seats {
		if s.State != MustDie {
			ids[s.ID] = true
		}
	}
	w.hist = append(w.hist, ids)
}

func (w *whole) spread(seats map[mark.Shard]*Seat) {
	by := map[mark.ID]*Seat{}
	for _, s := range seats {
		by[s.ID] = s
		w.ind[s.ID] = max(w.ind[s.ID], s.ver)
	}
	for more := true; more; {
		more = false
		for _, s := range seats {
			if w.ind[s.ID] == 0 {
				continue
			}
			for id := range w.hist[w.ind[s.ID]] {
				if by[id] != nil && w.ind[id] > w.ind[s.ID] {
					w.ind[s.ID], more = w.ind[id], true
				}
			}
		}
	}
}

func (w *whole) permits(x *Seat, seats map[mark.Shard]*Seat) bool {
	if x.ver == 0 {
		return false
	}
	for _, u := range seats {
		if u == x || u.State == MustDie {
			continue
		}
		if !w.hist[x.ver][u.ID] || w.ind[u.ID] == 0 || !w.hist[w.ind[u.ID]][x.ID] {
			return false
		}
	}
	return true
}

func TestSetsAgainstTheSlowWay(t *testing.T) {
	is := is.New(t)
	for seed := range int64(60) {
		rnd := rand.New(rand.NewSource(seed))
		fast := sets{groups: map[int][]*Seat{}}
		slow := whole{hist: []map[mark.ID]bool{{}}, ind: map[mark.ID]int{}}
		seats := map[mark.Shard]*Seat{}
		shards := 2 + rnd.Intn(9)
		pick := func() *Seat { return seats[mark.Shard(fmt.Sprint("s", rnd.Intn(shards)))] }
		permitted := 0
		for step := range 400 {
			k := mark.Shard(fmt.Sprint("s", rnd.Intn(shards)))
			switch s := pick(); {
			case rnd.Intn(8) == 0 && (seats[k] == nil || rnd.Intn(2) == 0): // one comes, maybe in another's place
				x := &Seat{Shard: k, ID: mark.ID(fmt.Sprint(k, "-", step)), State: Unhealthy}
				old := seats[k]
				seats[k] = x
				fast.enter(x, old)
				slow.reset(seats)
			case s == nil:
			case rnd.Intn(12) == 0 && s.State != MustDie:
				s.State = MustDie
				fast.exit(s)
				slow.reset(seats)
			case s.State != MustDie:
				if v := fast.ver - rnd.Intn(min(4, fast.ver+1)); v > s.ver {
					s.ver = v
					fast.lift(s)
				}
			}
			slow.spread(seats)
			last := slow.hist[len(slow.hist)-1]
			is.Equal(fast.ver, len(slow.hist)-1)
			is.Equal(fast.size, len(last))
			sum := uint64(0)
			for id := range last {
				sum += digest(id)
			}
			is.Equal(fast.hash, sum)
			for _, s := range seats {
				is.Equal(s.ind, slow.ind[s.ID])
				is.True(slices.Contains(fast.groups[s.ind], s))
				if s.State != MustDie {
					is.Equal(fast.permits(s), slow.permits(s, seats))
					if fast.permits(s) {
						permitted++
					}
				}
			}
		}
		is.True(permitted > 0)
	}
}
