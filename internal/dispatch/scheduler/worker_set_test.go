// The history of differences and the indexes of attempts, against the slow ways:
// sets kept whole and worked out afresh, and lists walked and sorted.
package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/protocol"
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
		if s.State != protocol.WorkerMustDie {
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
		if u == x || u.State == protocol.WorkerMustDie {
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
				x := &RemoteWorker{Shard: k, Instance: types.ID(fmt.Sprint(k, "-", step)), State: protocol.WorkerUnhealthy}
				old := seats[k]
				seats[k] = x
				fast.add(x, old)
				slow.recordSet(seats)
			case s == nil:
			case rnd.Intn(12) == 0 && s.State != protocol.WorkerMustDie:
				s.State = protocol.WorkerMustDie
				fast.removeLost(s)
				slow.recordSet(seats)
			case s.State != protocol.WorkerMustDie:
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
				if s.State != protocol.WorkerMustDie {
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
