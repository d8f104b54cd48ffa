// Chaos on one worker that is called: agents and leaders come and go, worker
// processes crash, calls are lost, unanswered or carried out late, beats are
// repeated late. The rig tells when an attempt runs, starts or is noted as done after
// the log has it as ended otherwise; here also, that all comes to an end.
package dispatch_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

var (
	chaos   = flag.Int("chaos", 150, "how many seeds of chaos")
	chaosAt = flag.Int64("chaosfrom", 1000, "the first of them")
)

// storm brings trouble about for a while.
func (r *rig) storm(long time.Duration) {
	rnd := r.rnd
	bad := rnd.Float64() * 0.2
	r.lag = func() time.Duration { return time.Duration(rnd.Intn(1+rnd.Intn(9000))) * ms }
	r.how = func(wire.WorkerCall) way {
		if rnd.Float64() < bad {
			return way(1 + rnd.Intn(3))
		}
		return fine
	}
	var beats []wire.WorkerBeat
	for end := r.now.Add(long); r.now < end; {
		r.pass(time.Duration(rnd.Intn(700)) * ms)
		if r.worker == nil {
			r.life()
			r.idle = rnd.Intn(4) == 0 // it answers before it beats
			continue
		}
		switch rnd.Intn(14) {
		case 0:
			r.agent()
		case 1:
			r.lead()
		case 2:
			r.cut = true
		case 3, 4, 5:
			r.cut, r.idle = false, false
		case 6:
			if rnd.Intn(3) == 0 {
				r.die()
			}
		case 7:
			beats = append(beats, r.beat())
		case 8:
			if beats != nil {
				r.hand.Beat(r.now, beats[rnd.Intn(len(beats))])
				r.flow()
			}
		case 9:
			r.slow = time.Duration(rnd.Intn(600)) * ms
		case 10:
			r.slow = 0
		case 11:
			r.worker.Sick = !r.worker.Sick
		case 12:
			for l := range r.out {
				if rnd.Intn(4) == 0 {
					r.head.Halt([]types.AttemptID{l}, nil)
				}
			}
			r.flow()
		case 13:
			r.worker.Lax = !r.worker.Lax
		}
	}
	r.cut, r.idle, r.slow, r.how = false, false, 0, func(wire.WorkerCall) way { return fine }
	if r.worker == nil {
		r.life()
	}
	r.worker.Sick = false
}

func TestChaosOnOneWorker(t *testing.T) {
	sum := map[state.Outcome]int{}
	for seed := *chaosAt; seed < *chaosAt+int64(*chaos); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := paced(t, seed, []dispatch.Timeouts{dispatch.Defaults, ample}[seed%2])
			n := map[string]int{}
			r.every(120*ms, func() {
				job := fmt.Sprint("j", r.rnd.Intn(7))
				if l := attempt(job, n[job]); n[job] > 0 && (r.out[l] || r.log[l] == state.OutcomeOK) {
					return
				}
				if n[job] >= 400 {
					return
				}
				n[job]++
				r.give(attempt(job, n[job]), fmt.Sprintf(`{"ms":%d,"fails":0.1}`, r.rnd.Intn(2500)))
			})
			r.storm(30 * time.Second)
			r.pass(25 * time.Second)
			for l := range r.out {
				if !r.runs[l] {
					t.Error(l, "is out for ever")
				}
			}
			for _, f := range r.log {
				sum[f]++
			}
			if n := len(r.hand.View().Attempts); n > 7 {
				t.Error("the agent keeps", n, "legs")
			}
			if t.Failed() && *chaos == 1 {
				t.Logf("%+v", r.hand.View())
				t.Log(r.log)
			}
		})
	}
	t.Log(sum)
}
