package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

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
