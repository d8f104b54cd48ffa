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

// referenceSets is the worker sets kept whole.
type referenceSets struct {
	history  []map[types.ID]bool
	indirect map[types.ID]int
}

func (r *referenceSets) recordSet(seats map[types.Shard]*RemoteWorker) {
	ids := map[types.ID]bool{}
	for _, s := range seats {
		if s.State != MustDie {
			ids[s.Instance] = true
		}
	}
	r.history = append(r.history, ids)
}

func (r *referenceSets) propagate(seats map[types.Shard]*RemoteWorker) {
	by := map[types.ID]*RemoteWorker{}
	for _, s := range seats {
		by[s.Instance] = s
		r.indirect[s.Instance] = max(r.indirect[s.Instance], s.setVersion)
	}
	for more := true; more; {
		more = false
		for _, s := range seats {
			if r.indirect[s.Instance] == 0 {
				continue
			}
			for id := range r.history[r.indirect[s.Instance]] {
				if by[id] != nil && r.indirect[id] > r.indirect[s.Instance] {
					r.indirect[s.Instance], more = r.indirect[id], true
				}
			}
		}
	}
}

func (r *referenceSets) permitsHealthy(x *RemoteWorker, seats map[types.Shard]*RemoteWorker) bool {
	if x.setVersion == 0 {
		return false
	}
	for _, u := range seats {
		if u == x || u.State == MustDie {
			continue
		}
		if !r.history[x.setVersion][u.Instance] || r.indirect[u.Instance] == 0 || !r.history[r.indirect[u.Instance]][x.Instance] {
			return false
		}
	}
	return true
}

func TestWorkerSetHistoryAgainstReference(t *testing.T) {
	is := is.New(t)
	for seed := range int64(60) {
		rnd := rand.New(rand.NewSource(seed))
		fast := workerSetHistory{byIndirectVersion: map[int][]*RemoteWorker{}}
		slow := referenceSets{history: []map[types.ID]bool{{}}, indirect: map[types.ID]int{}}
		seats := map[types.Shard]*RemoteWorker{}
		shards := 2 + rnd.Intn(9)
		pick := func() *RemoteWorker { return seats[types.Shard(fmt.Sprint("s", rnd.Intn(shards)))] }
		permitted := 0
		for step := range 400 {
			k := types.Shard(fmt.Sprint("s", rnd.Intn(shards)))
			switch s := pick(); {
			case rnd.Intn(8) == 0 && (seats[k] == nil || rnd.Intn(2) == 0): // one comes, maybe in another's place
				x := &RemoteWorker{Shard: k, Instance: types.ID(fmt.Sprint(k, "-", step)), State: Unhealthy}
				old := seats[k]
				seats[k] = x
				fast.add(x, old)
				slow.recordSet(seats)
			case s == nil:
			case rnd.Intn(12) == 0 && s.State != MustDie:
				s.State = MustDie
				fast.removeLost(s)
				slow.recordSet(seats)
			case s.State != MustDie:
				if v := fast.version - rnd.Intn(min(4, fast.version+1)); v > s.setVersion {
					s.setVersion = v
					fast.propagate(s)
				}
			}
			slow.propagate(seats)
			last := slow.history[len(slow.history)-1]
			is.Equal(fast.version, len(slow.history)-1)
			is.Equal(fast.size, len(last))
			sum := uint64(0)
			for id := range last {
				sum += instanceHash(id)
			}
			is.Equal(fast.hash, sum)
			for _, s := range seats {
				is.Equal(s.indirectSetVersion, slow.indirect[s.Instance])
				is.True(slices.Contains(fast.byIndirectVersion[s.indirectSetVersion], s))
				if s.State != MustDie {
					is.Equal(fast.permitsHealthy(s), slow.permitsHealthy(s, seats))
					if fast.permitsHealthy(s) {
						permitted++
					}
				}
			}
		}
		is.True(permitted > 0)
	}
}

func TestAttemptIndexAgainstReference(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewSource(5))
	h := newAttemptIndex()
	now := types.MonoTime(time.Hour)
	plain := map[types.AttemptID]*OutstandingAttempt{}
	for range 4000 {
		now = now.Add(time.Millisecond)
		l := types.AttemptID{TaskID: types.TaskID{Job: types.JobID(fmt.Sprint("j", rnd.Intn(6))), Number: rnd.Intn(4)}, Attempt: 1 + rnd.Intn(2)}
		switch o := plain[l]; {
		case o == nil || rnd.Intn(9) == 0:
			o = &OutstandingAttempt{Attempt: l, Shard: types.Shard(fmt.Sprint("s", rnd.Intn(4))), Stage: types.Stage(rnd.Intn(3) - 1), Resources: types.Resources{Cores: types.MilliCores(1 + rnd.Intn(3))},
				Phase: []attemptPhase{unconfirmed, orderSent, confirmedRunning}[rnd.Intn(3)], OrderedAt: now}
			h.add(o)
			plain[l] = o
		case rnd.Intn(3) == 0:
			h.remove(l)
			delete(plain, l)
		default:
			h.setPhase(o, []attemptPhase{unconfirmed, confirmedRunning}[rnd.Intn(2)])
		}
		for _, o := range h.takeOverdue(now.Add(-20 * time.Millisecond)) {
			is.Equal(o.Phase, orderSent)
			is.True(now.Sub(o.OrderedAt) > 20*time.Millisecond)
			h.setPhase(o, unsureIfRunning)
		}
		n, dims, alien, open := 0, 0, 0, map[types.Shard]bool{}
		rooms := map[types.Shard]types.Resources{}
		for _, o := range plain {
			n++
			rooms[o.Shard] = rooms[o.Shard].Add(o.Resources)
			if o.Phase == unconfirmed {
				dims++
			}
			if o.Stage < 0 {
				alien++
			}
			if o.Phase == unsureIfRunning {
				open[o.Shard] = true
			}
			is.True(o.Phase != orderSent || now.Sub(o.OrderedAt) <= 20*time.Millisecond) // none is missed
			is.Equal(h.byID[o.Attempt], o)
		}
		is.Equal(len(h.all()), n)
		is.Equal(h.unconfirmed, dims)
		is.Equal(len(h.unknownToLog), alien)
		is.Equal(h.unsureShards, open)
		is.Equal(len(h.unconfirmedWithoutWorker(nil)), dims)
		for k := range 4 {
			s := types.Shard(fmt.Sprint("s", k))
			is.Equal(h.reservedOn(s), rooms[s])
			is.True(slices.IsSortedFunc(h.onShard(s), compareOutstanding))
		}
	}
}
