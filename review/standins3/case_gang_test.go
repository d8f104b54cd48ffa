//go:build review

package standins3

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["gang"] = gangCase }

const (
	// Fourteen workers, three a rack: the last rack has two.
	gangWorkers = 14
	gangTasks   = 4
	// sickTime is how long the two workers fail all that they start.
	sickTime = 6 * time.Second
	// jobsOnSick is how many jobs need the two workers in that time.
	jobsOnSick = 6
	// finishTime is finish_s: when jobs are asked for, after the end of the traffic.
	finishTime = 14 * time.Second
)

// gangCase: the two workers of a rack fail all that they start for 6 s, and are sound again. Later a
// gang that needs the rack is handed in and accepted. It has to run: both workers are empty.
func gangCase(r *rig) bool {
	r.deploy(gangWorkers)
	r.configure()
	pair := r.workers[gangWorkers-2:]
	rack := pair[0].rack
	r.warmUp(rack)
	front := r.fronts[0]
	stopTraffic := r.usualTraffic(front)
	defer stopTraffic()
	time.Sleep(4 * time.Second)
	if r.trouble {
		for _, w := range pair {
			w.fallSick()
			r.note("trouble: worker %s fails all that it starts", w.machine.name)
		}
	}
	sickUntil := time.Now().Add(sickTime)
	for range jobsOnSick {
		r.submit(front, job{id: newJobID(), workMS: 300, constraints: rack})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(sickUntil))
	for _, w := range pair {
		w.sick.Store(false)
	}
	r.note("trouble: over; both workers are sound")
	time.Sleep(6 * time.Second) // calm
	gang := job{id: newJobID(), workMS: 500, constraints: rack, tasks: gangTasks, gang: true}
	if !r.submit(front, gang).accepted() {
		panic("the gang was not accepted")
	}
	time.Sleep(3 * time.Second)
	stopTraffic()
	r.note("the traffic ends")
	time.Sleep(finishTime)
	idle := true
	for range 6 { // 3 s
		a := r.state(front, gang.id)
		running := 0
		for _, w := range pair {
			running += w.usedCPU()
		}
		r.note("starts of the gang: %d; in use of %d thousandths of a core on the rack's two workers: %d",
			len(r.startsOf(gang.id)), len(pair)*workerCPU, running)
		idle = idle && len(r.startsOf(gang.id)) == 0 && running == 0 && !strings.Contains(a.body, "completed")
		time.Sleep(600 * time.Millisecond)
	}
	return idle
}

// usualTraffic hands in small jobs that any worker can run, five a second, until the returned function is
// called.
func (r *rig) usualTraffic(front *machine) (stop func()) {
	done := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			j := job{id: newJobID(), workMS: 240, tasks: 4}
			r.clientCall(front, "POST", j.id, j.body(), clientDeadline)
		}
	})
	return sync.OnceFunc(func() { close(done); traffic.Wait() })
}
