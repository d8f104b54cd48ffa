// Beats and words of leaving that come late, out of order or without the ones
// that should have been before them.
package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// drained is a pace that knows how long workers run on that deregister.
var drained = func() dispatch.Timeouts {
	p := dispatch.Defaults
	p.Drain = 2 * time.Second
	return p
}()

// A worker that deregisters without having said that it drains runs on: nothing
// new is started there, what runs is neither lost nor run again, and what ends
// well counts.
func TestAWorkerThatDeregistersFirstRunsOn(t *testing.T) {
	is, r := is.New(t), paced(t, 21, drained)
	r.give(attempt("a", 1), short)
	r.give(attempt("b", 1), long)
	r.pass(200 * ms)
	late := r.beat() // sent before, it comes after
	r.idle = true
	r.hand.Leave(r.now, r.worker.ID)
	r.flow()
	r.pass(100 * ms)
	is.Equal(r.log[attempt("b", 1)], state.Outcome(""))
	is.True(r.head.Seat("s").Leaving)
	goes := r.head.Seat("s").LeaveMS
	is.True(goes > 1700 && goes <= 2000) // what runs there may be saved before
	r.hand.Beat(r.now, late)
	r.flow()
	r.pass(time.Second)
	is.True(r.head.Seat("s").Leaving) // the late beat does not undo it
	is.True(r.head.Seat("s").LeaveMS < goes)
	is.Equal(r.log[attempt("a", 1)], state.OutcomeOK)
	r.give(attempt("c", 1), short)
	r.pass(time.Second)
	is.Equal(r.began[attempt("c", 1)], 0)
	is.True(r.runs[attempt("b", 1)]) // still under its lease
	r.hand.Leave(r.now, r.worker.ID) // again, as nobody acknowledged it
	r.pass(time.Second)
	is.True(r.runs[attempt("b", 1)])
	r.die() // with its work, without a word
	r.pass(200 * ms)
	r.life()
	r.idle = false
	r.pass(3 * time.Second)
	is.Equal(r.log[attempt("b", 1)], state.OutcomeWorkerExited) // now that another process answers there
	is.Equal(r.hand.View().Worker, types.ID("k2"))
	is.True(!r.head.Seat("s").Leaving)
}

// A beat that comes seconds late, after newer ones, says nothing any more.
func TestBeatsOutOfOrder(t *testing.T) {
	is, r := is.New(t), ready(t, 22)
	r.idle = true
	first, second, third := r.beat(), r.beat(), r.beat()
	second.Leaving = true
	third.Leaving, third.To = true, "elsewhere"
	first.To = "old"
	var to []types.Addr
	r.spy = func(c wire.WorkerCall) { to = append(to, c.To) }
	r.hand.Beat(r.now, third)
	r.flow()
	r.pass(2 * time.Second)
	for _, b := range []wire.WorkerBeat{first, second, first} {
		r.hand.Beat(r.now, b)
		r.flow()
		r.pass(500 * ms)
		is.True(r.head.Seat("s").Leaving)
	}
	is.True(len(to) > 0)
	for _, a := range to[1:] {
		is.Equal(a, types.Addr("elsewhere"))
	}
}
