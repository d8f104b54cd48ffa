// A worker that turns starts away for want of room is believed, whatever room it
// tells: the leader hears at once that nothing is free beyond what runs there.
package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

func cores(n int) types.Resources { return types.Resources{Cores: types.Core}.Scale(n) }

// boasts is a rig whose worker tells 8 cores and has 2; a task takes one, a large one 4.
func boasts(t *testing.T) *rig {
	r := ready(t, 17)
	r.worker.Room = cores(2)
	r.floor.Sent("large", &state.Spec{Steps: []state.Step{{Name: "s", Tasks: 1, Resources: cores(4)}}})
	for i := range 10 {
		r.floor.Sent(types.JobID(fmt.Sprint("j", i)), &state.Spec{Steps: []state.Step{{Name: "s", Tasks: 1, Resources: cores(1)}}})
	}
	return r
}

// believed is for how long the leader counts a worker's room as less from now on.
func (r *rig) believed() time.Duration {
	from := r.now
	for r.head.Seat("s").Lacks != (types.Resources{}) && r.now.Sub(from) < time.Minute {
		r.pass(20 * ms)
	}
	return r.now.Sub(from)
}

func about(d, want time.Duration) bool { return d > want-100*ms && d < want+600*ms }

func TestAWorkerWithoutRoomIsBelieved(t *testing.T) {
	is, r := is.New(t), boasts(t)
	for i := range 3 {
		r.give(attempt(fmt.Sprint("j", i), 1), long)
	}
	r.pass(100 * ms) // less than to the next beat
	s := r.head.Seat("s")
	is.Equal(r.log[attempt("j2", 1)], state.OutcomeNeverRan)
	is.Equal(s.Lacks, cores(6))
	is.Equal(s.Room, cores(8)) // it is not another worker
	is.Equal(r.head.Free(s), types.Resources{})

	starts := r.hand.Lease().Sums.Starts
	r.give(attempt("j3", 1), long)
	r.pass(100 * ms)
	is.Equal(r.log[attempt("j3", 1)], state.OutcomeNeverRan)
	is.Equal(r.hand.Lease().Sums.Starts, starts) // the worker need not be asked

	is.True(about(r.believed()+200*ms, time.Second))
	is.Equal(r.head.Free(s), cores(6))
}

// Each time it is turned away again soon after, it is believed for twice as long, up
// to a bound; after as long a time without, it begins anew.
func TestAWorkerWithoutRoomAgainIsBelievedForLonger(t *testing.T) {
	is, r := is.New(t), boasts(t)
	r.give(attempt("j0", 1), `{"ms":600000}`)
	r.give(attempt("j1", 1), `{"ms":600000}`)
	r.pass(100 * ms)
	for i, want := range []int{1, 2, 4, 8, 16, 16} {
		r.give(attempt("j2", 1+i), long)
		r.pass(60 * ms)
		is.True(about(r.believed(), time.Duration(want)*time.Second))
	}
	r.pass(17 * time.Second)
	r.give(attempt("j2", 9), long)
	r.pass(60 * ms)
	is.True(about(r.believed(), time.Second))
}

// What ends there makes room, and what is started into that tells nothing new.
func TestAWorkerWithoutRoomIsGivenWorkAsOthersEnd(t *testing.T) {
	is, r := is.New(t), boasts(t)
	r.give(attempt("j0", 1), `{"ms":400}`)
	r.give(attempt("j1", 1), long)
	r.give(attempt("j2", 1), long)
	r.pass(600 * ms)
	s := r.head.Seat("s")
	is.Equal(r.log[attempt("j0", 1)], state.OutcomeOK)
	is.Equal(r.head.Free(s), cores(1))
	r.give(attempt("j3", 1), `{"ms":100}`)
	r.pass(250 * ms)
	is.Equal(r.log[attempt("j3", 1)], state.OutcomeOK)
	is.Equal(s.Lacks, cores(6))
}

// A start that was under way meanwhile and is taken shows that there was some room.
func TestAWorkerWithoutRoomForALargeTaskMayHaveSome(t *testing.T) {
	is, r := is.New(t), boasts(t)
	r.give(attempt("j0", 1), long)
	r.pass(100 * ms)
	r.give(attempt("large", 1), long)
	r.give(attempt("j1", 1), long)
	r.pass(400 * ms)
	is.Equal(r.log[attempt("large", 1)], state.OutcomeNeverRan)
	is.Equal(r.head.Seat("s").Lacks, cores(6))
	is.Equal(r.head.Free(r.head.Seat("s")), types.Resources{})
}

// Of another process nothing is known.
func TestAnotherLifeIsGivenItsRoom(t *testing.T) {
	is, r := is.New(t), boasts(t)
	for i := range 3 {
		r.give(attempt(fmt.Sprint("j", i), 1), long)
	}
	r.pass(100 * ms)
	is.Equal(r.head.Seat("s").Lacks, cores(6))
	r.die()
	r.life()
	r.hand.Beat(r.now, r.beat())
	r.pass(500 * ms)
	is.Equal(r.hand.View().Worker, types.ID("k2"))
	is.Equal(r.head.Seat("s").Lacks, types.Resources{})
}
