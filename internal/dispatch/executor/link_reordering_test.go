// Beats and words of leaving that come late, out of order or without the ones
// that should have been before them.
package executor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// withDrainTime is a pace that knows how long workers run on that deregister.
var withDrainTime = func() protocol.Timeouts {
	p := protocol.DefaultTimeouts
	p.DrainTime = 2 * time.Second
	return p
}()

// A worker that deregisters without having said that it drains runs on: nothing
// new is started there, what runs is neither lost nor run again, and what ends
// well counts.
func TestAWorkerThatDeregistersFirstRunsOn(t *testing.T) {
	is, r := is.New(t), newReadyRigWith(t, 21, withDrainTime)
	r.runTask(attempt("a", 1), short)
	r.runTask(attempt("b", 1), long)
	r.advance(200 * ms)
	late := r.nextHeartbeat() // sent before, it comes after
	r.heartbeatsStopped = true
	r.executor.HandleDeregistration(r.now, r.worker.ID)
	r.deliver()
	r.advance(100 * ms)
	is.Equal(r.committed[attempt("b", 1)], state.Outcome(""))
	is.True(r.scheduler.Worker("s").Draining)
	goes := r.scheduler.Worker("s").DepartsInMS
	is.True(goes > 1700 && goes <= 2000) // what runs there may be saved before
	r.executor.HandleWorkerHeartbeat(r.now, late)
	r.deliver()
	r.advance(time.Second)
	is.True(r.scheduler.Worker("s").Draining) // the late beat does not undo it
	is.True(r.scheduler.Worker("s").DepartsInMS < goes)
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeOK)
	r.runTask(attempt("c", 1), short)
	r.advance(time.Second)
	is.Equal(r.starts[attempt("c", 1)], 0)
	is.True(r.running[attempt("b", 1)])                 // still under its lease
	r.executor.HandleDeregistration(r.now, r.worker.ID) // again, as nobody acknowledged it
	r.advance(time.Second)
	is.True(r.running[attempt("b", 1)])
	r.crashWorker() // with its work, without a word
	r.advance(200 * ms)
	r.startWorker()
	r.heartbeatsStopped = false
	r.advance(3 * time.Second)
	is.Equal(r.committed[attempt("b", 1)], state.OutcomeWorkerExited) // now that another process answers there
	is.Equal(r.executor.View().Worker, types.ID("k2"))
	is.True(!r.scheduler.Worker("s").Draining)
}

// A beat that comes seconds late, after newer ones, says nothing any more.
func TestBeatsOutOfOrder(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 22)
	r.heartbeatsStopped = true
	first, second, third := r.nextHeartbeat(), r.nextHeartbeat(), r.nextHeartbeat()
	second.Draining = true
	third.Draining, third.Addr = true, "elsewhere"
	first.Addr = "old"
	var to []types.Addr
	r.onCall = func(c wire.WorkerCall) { to = append(to, c.Addr) }
	r.executor.HandleWorkerHeartbeat(r.now, third)
	r.deliver()
	r.advance(2 * time.Second)
	for _, b := range []wire.WorkerHeartbeat{first, second, first} {
		r.executor.HandleWorkerHeartbeat(r.now, b)
		r.deliver()
		r.advance(500 * ms)
		is.True(r.scheduler.Worker("s").Draining)
	}
	is.True(len(to) > 0)
	for _, a := range to[1:] {
		is.Equal(a, types.Addr("elsewhere"))
	}
}
