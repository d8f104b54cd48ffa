// Chaos on one worker that is called: agents and leaders come and go, worker
// processes crash, calls are lost, unanswered or carried out late, beats are
// repeated late. The rig tells when an attempt runs, starts or is noted as done after
// the log has it as ended otherwise; here also, that all comes to an end.
package executor_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

var (
	chaosSeeds     = flag.Int("chaos", 150, "how many seeds of chaos")
	chaosFirstSeed = flag.Int64("chaosfrom", 1000, "the first of them")
)

// injectFaults brings trouble about for a while.
func (lr *linkRig) injectFaults(long time.Duration) {
	rnd := lr.random
	bad := rnd.Float64() * 0.2
	lr.lateDelay = func() time.Duration { return time.Duration(rnd.Intn(1+rnd.Intn(9000))) * ms }
	lr.fateOf = func(wire.WorkerCall) callFate {
		if rnd.Float64() < bad {
			return callFate(1 + rnd.Intn(3))
		}
		return callDelivered
	}
	var beats []wire.WorkerHeartbeat
	for end := lr.now.Add(long); lr.now < end; {
		lr.advance(time.Duration(rnd.Intn(700)) * ms)
		if lr.worker == nil {
			lr.startWorker()
			lr.heartbeatsStopped = rnd.Intn(4) == 0 // it answers before it beats
			continue
		}
		switch rnd.Intn(14) {
		case 0:
			lr.newAgent()
		case 1:
			lr.newLeader()
		case 2:
			lr.partitioned = true
		case 3, 4, 5:
			lr.partitioned, lr.heartbeatsStopped = false, false
		case 6:
			if rnd.Intn(3) == 0 {
				lr.crashWorker()
			}
		case 7:
			beats = append(beats, lr.nextHeartbeat())
		case 8:
			if beats != nil {
				lr.executor.HandleWorkerHeartbeat(lr.now, beats[rnd.Intn(len(beats))])
				lr.deliver()
			}
		case 9:
			lr.holdReplyDelay = time.Duration(rnd.Intn(600)) * ms
		case 10:
			lr.holdReplyDelay = 0
		case 11:
			lr.worker.Unhealthy = !lr.worker.Unhealthy
		case 12:
			for l := range lr.outstanding {
				if rnd.Intn(4) == 0 {
					lr.scheduler.KillTasks([]types.AttemptID{l}, nil)
				}
			}
			lr.deliver()
		case 13:
			lr.worker.StartsUnderLease = !lr.worker.StartsUnderLease
		}
	}
	lr.partitioned, lr.heartbeatsStopped, lr.holdReplyDelay, lr.fateOf = false, false, 0, func(wire.WorkerCall) callFate { return callDelivered }
	if lr.worker == nil {
		lr.startWorker()
	}
	lr.worker.Unhealthy = false
}

func TestChaosOnOneWorker(t *testing.T) {
	sum := map[state.Outcome]int{}
	for seed := *chaosFirstSeed; seed < *chaosFirstSeed+int64(*chaosSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := newReadyRigWith(t, seed, []protocol.Timeouts{protocol.DefaultTimeouts, longLeases}[seed%2])
			n := map[string]int{}
			r.every(120*ms, func() {
				job := fmt.Sprint("j", r.random.Intn(7))
				if l := attempt(job, n[job]); n[job] > 0 && (r.outstanding[l] || r.committed[l] == state.OutcomeOK) {
					return
				}
				if n[job] >= 400 {
					return
				}
				n[job]++
				r.runTask(attempt(job, n[job]), fmt.Sprintf(`{"ms":%d,"fails":0.1}`, r.random.Intn(2500)))
			})
			r.injectFaults(30 * time.Second)
			r.advance(25 * time.Second)
			for l := range r.outstanding {
				if !r.running[l] {
					t.Error(l, "is out for ever")
				}
			}
			for _, f := range r.committed {
				sum[f]++
			}
			if n := len(r.executor.View().Attempts); n > 7 {
				t.Error("the agent keeps", n, "legs")
			}
			if t.Failed() && *chaosSeeds == 1 {
				t.Logf("%+v", r.executor.View())
				t.Log(r.committed)
			}
		})
	}
	t.Log(sum)
}
