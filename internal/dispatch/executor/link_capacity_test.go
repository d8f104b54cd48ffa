// A worker that turns starts away for want of room is believed, whatever room it
// tells: the leader hears at once that nothing is free beyond what runs there.
package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

func cores(n int) types.Resources { return types.Resources{Cores: types.Core}.Scale(n) }

// newOverstatingRig is a rig whose worker tells 8 cores and has 2; a task takes one, a large one 4.
func newOverstatingRig(t *testing.T) *linkRig {
	r := newReadyRig(t, 17)
	r.worker.Capacity = cores(2)
	r.environment.JobSubmitted("large", &state.Spec{Steps: []state.Step{{Name: "s", Tasks: 1, Resources: cores(4)}}})
	for i := range 10 {
		r.environment.JobSubmitted(types.JobID(fmt.Sprint("j", i)), &state.Spec{Steps: []state.Step{{Name: "s", Tasks: 1, Resources: cores(1)}}})
	}
	return r
}

// shortfallDuration is for how long the leader counts a worker's room as less from now on.
func (lr *linkRig) shortfallDuration() time.Duration {
	from := lr.now
	for lr.scheduler.Worker("s").Shortfall != (types.Resources{}) && lr.now.Sub(from) < time.Minute {
		lr.advance(20 * ms)
	}
	return lr.now.Sub(from)
}

func roughly(d, want time.Duration) bool { return d > want-100*ms && d < want+600*ms }

func TestAWorkerWithoutRoomIsBelieved(t *testing.T) {
	is, r := is.New(t), newOverstatingRig(t)
	for i := range 3 {
		r.runTask(attempt(fmt.Sprint("j", i), 1), long)
	}
	r.advance(100 * ms) // less than to the next beat
	s := r.scheduler.Worker("s")
	is.Equal(r.committed[attempt("j2", 1)], state.OutcomeNeverRan)
	is.Equal(s.Shortfall, cores(6))
	is.Equal(s.Capacity, cores(8)) // it is not another worker
	is.Equal(r.scheduler.FreeCapacity(s), types.Resources{})

	starts := r.executor.WorkerLease().Counters.Starts
	r.runTask(attempt("j3", 1), long)
	r.advance(100 * ms)
	is.Equal(r.committed[attempt("j3", 1)], state.OutcomeNeverRan)
	is.Equal(r.executor.WorkerLease().Counters.Starts, starts) // the worker need not be asked

	is.True(roughly(r.shortfallDuration()+200*ms, time.Second))
	is.Equal(r.scheduler.FreeCapacity(s), cores(6))
}

// Each time it is turned away again soon after, it is believed for twice as long, up
// to a bound; after as long a time without, it begins anew.
func TestAWorkerWithoutRoomAgainIsBelievedForLonger(t *testing.T) {
	is, r := is.New(t), newOverstatingRig(t)
	r.runTask(attempt("j0", 1), `{"ms":600000}`)
	r.runTask(attempt("j1", 1), `{"ms":600000}`)
	r.advance(100 * ms)
	for i, want := range []int{1, 2, 4, 8, 16, 16} {
		r.runTask(attempt("j2", 1+i), long)
		r.advance(60 * ms)
		is.True(roughly(r.shortfallDuration(), time.Duration(want)*time.Second))
	}
	r.advance(17 * time.Second)
	r.runTask(attempt("j2", 9), long)
	r.advance(60 * ms)
	is.True(roughly(r.shortfallDuration(), time.Second))
}

// What ends there makes room, and what is started into that tells nothing new.
func TestAWorkerWithoutRoomIsGivenWorkAsOthersEnd(t *testing.T) {
	is, r := is.New(t), newOverstatingRig(t)
	r.runTask(attempt("j0", 1), `{"ms":400}`)
	r.runTask(attempt("j1", 1), long)
	r.runTask(attempt("j2", 1), long)
	r.advance(600 * ms)
	s := r.scheduler.Worker("s")
	is.Equal(r.committed[attempt("j0", 1)], state.OutcomeOK)
	is.Equal(r.scheduler.FreeCapacity(s), cores(1))
	r.runTask(attempt("j3", 1), `{"ms":100}`)
	r.advance(250 * ms)
	is.Equal(r.committed[attempt("j3", 1)], state.OutcomeOK)
	is.Equal(s.Shortfall, cores(6))
}

// A start that was under way meanwhile and is taken shows that there was some room.
func TestAWorkerWithoutRoomForALargeTaskMayHaveSome(t *testing.T) {
	is, r := is.New(t), newOverstatingRig(t)
	r.runTask(attempt("j0", 1), long)
	r.advance(100 * ms)
	r.runTask(attempt("large", 1), long)
	r.runTask(attempt("j1", 1), long)
	r.advance(400 * ms)
	is.Equal(r.committed[attempt("large", 1)], state.OutcomeNeverRan)
	is.Equal(r.scheduler.Worker("s").Shortfall, cores(6))
	is.Equal(r.scheduler.FreeCapacity(r.scheduler.Worker("s")), types.Resources{})
}

// Of another process nothing is known.
func TestAnotherLifeIsGivenItsRoom(t *testing.T) {
	is, r := is.New(t), newOverstatingRig(t)
	for i := range 3 {
		r.runTask(attempt(fmt.Sprint("j", i), 1), long)
	}
	r.advance(100 * ms)
	is.Equal(r.scheduler.Worker("s").Shortfall, cores(6))
	r.crashWorker()
	r.startWorker()
	r.executor.HandleWorkerHeartbeat(r.now, r.nextHeartbeat())
	r.advance(500 * ms)
	is.Equal(r.executor.View().Worker, types.ID("k2"))
	is.Equal(r.scheduler.Worker("s").Shortfall, types.Resources{})
}
