// What the leader of a large deployment spends under the load that its users send: go test
// ./sim -bench LeaderOfTheGrownDeployment -run ^$ -benchtime 10x -cpuprofile FILE, and then go
// tool pprof -tagfocus leader=yes FILE. One round of the benchmark is a simulated second.

package sim

import (
	"context"
	"runtime"
	"runtime/pprof"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// labelledMachine marks a machine's steps in a processor profile.
type labelledMachine struct {
	wire.Machine
	processorTime time.Duration
	steps         int
}

func (l *labelledMachine) Step(e wire.Event) (out wire.Effects) {
	from := threadTime()
	pprof.Do(context.Background(), pprof.Labels("leader", "yes"), func(context.Context) { out = l.Machine.Step(e) })
	l.processorTime += threadTime() - from
	l.steps++
	return out
}

// threadTime is the processor time of this thread.
func threadTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &use); err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkLeaderOfTheGrownDeployment runs 62 workers, 8 controllers and twice the jobs that
// the tests of the deployment send, about 850 starts a second.
func BenchmarkLeaderOfTheGrownDeployment(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const settle = 14 * time.Second
	p := Plan{Seed: 1, Deployment: "kingston-grown", Quick: true, Before: settle + time.Duration(b.N)*time.Second}
	r := New(p)
	for i := range r.Clients.Deployment.Streams {
		r.Clients.Deployment.Streams[i].MeanInterval /= 2
	}
	r.After(3*time.Second, func() {
		r.Clients.PutTable(r.Clients.Deployment.Table(), r.Clients.AnyGateway(), func(bool) {})
	})
	r.After(6*time.Second, r.startTraffic)
	r.advance(settle)
	lead := r.leader()
	m := &labelledMachine{Machine: lead.Machine}
	lead.Machine = m
	started := r.countEvents(history.AttemptStarted)
	b.ResetTimer()
	r.advance(time.Duration(b.N) * time.Second)
	b.StopTimer()
	seconds := float64(b.N)
	b.ReportMetric(float64(m.processorTime.Milliseconds())/seconds, "leader-ms/s")
	b.ReportMetric(float64(m.steps)/seconds, "steps/s")
	b.ReportMetric(float64(r.countEvents(history.AttemptStarted)-started)/seconds, "starts/s")
}

func (r *Run) countEvents(what history.Kind) (n int) {
	for _, h := range r.History.Events {
		if h.Kind == what {
			n++
		}
	}
	return n
}
