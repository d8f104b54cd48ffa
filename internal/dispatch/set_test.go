// The history of differences and the indexes of attempts, against the slow ways:
// sets kept whole and worked out afresh, and lists walked and sorted.
package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// whole is the worker sets kept whole.
type whole struct {
	hist []map[types.ID]bool
	ind  map[types.ID]int
}

func (w *whole) reset(seats map[types.Shard]*WorkerEntry) {
	ids := map[types.ID]bool{}
	for _, s := range seats {
		if s.State != MustDie {
			ids[s.ID] = true
		}
	}
	w.hist = append(w.hist, ids)
}

func (w *whole) spread(seats map[types.Shard]*WorkerEntry) {
	by := map[types.ID]*WorkerEntry{}
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

func (w *whole) permits(x *WorkerEntry, seats map[types.Shard]*WorkerEntry) bool {
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
		fast := sets{groups: map[int][]*WorkerEntry{}}
		slow := whole{hist: []map[types.ID]bool{{}}, ind: map[types.ID]int{}}
		seats := map[types.Shard]*WorkerEntry{}
		shards := 2 + rnd.Intn(9)
		pick := func() *WorkerEntry { return seats[types.Shard(fmt.Sprint("s", rnd.Intn(shards)))] }
		permitted := 0
		for step := range 400 {
			k := types.Shard(fmt.Sprint("s", rnd.Intn(shards)))
			switch s := pick(); {
			case rnd.Intn(8) == 0 && (seats[k] == nil || rnd.Intn(2) == 0): // one comes, maybe in another's place
				x := &WorkerEntry{Shard: k, ID: types.ID(fmt.Sprint(k, "-", step)), State: Unhealthy}
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

func TestHoldsAgainstTheSlowWay(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewSource(5))
	h := newHolds()
	now := types.MonoTime(time.Hour)
	plain := map[types.AttemptID]*Hold{}
	for range 4000 {
		now = now.Add(time.Millisecond)
		l := types.AttemptID{TaskID: types.TaskID{Job: types.JobID(fmt.Sprint("j", rnd.Intn(6))), Number: rnd.Intn(4)}, Attempt: 1 + rnd.Intn(2)}
		switch o := plain[l]; {
		case o == nil || rnd.Intn(9) == 0:
			o = &Hold{Attempt: l, Shard: types.Shard(fmt.Sprint("s", rnd.Intn(4))), Stage: types.Stage(rnd.Intn(3) - 1), Room: types.Resources{Cores: types.MilliCores(1 + rnd.Intn(3))},
				Phase: []phase{dim, sent, sure}[rnd.Intn(3)], At: now}
			h.add(o)
			plain[l] = o
		case rnd.Intn(3) == 0:
			h.drop(l)
			delete(plain, l)
		default:
			h.turn(o, []phase{dim, sure}[rnd.Intn(2)])
		}
		for _, o := range h.overdue(now.Add(-20 * time.Millisecond)) {
			is.Equal(o.Phase, sent)
			is.True(now.Sub(o.At) > 20*time.Millisecond)
			h.turn(o, unsure)
		}
		n, dims, alien, open := 0, 0, 0, map[types.Shard]bool{}
		rooms := map[types.Shard]types.Resources{}
		for _, o := range plain {
			n++
			rooms[o.Shard] = rooms[o.Shard].Add(o.Room)
			if o.Phase == dim {
				dims++
			}
			if o.Stage < 0 {
				alien++
			}
			if o.Phase == unsure {
				open[o.Shard] = true
			}
			is.True(o.Phase != sent || now.Sub(o.At) <= 20*time.Millisecond) // none is missed
			is.Equal(h.by[o.Attempt], o)
		}
		is.Equal(len(h.all()), n)
		is.Equal(h.dim, dims)
		is.Equal(len(h.alien), alien)
		is.Equal(h.open, open)
		is.Equal(len(h.dims(nil)), dims)
		for k := range 4 {
			s := types.Shard(fmt.Sprint("s", k))
			is.Equal(h.used(s), rooms[s])
			is.True(slices.IsSortedFunc(h.of(s), least))
		}
	}
}
