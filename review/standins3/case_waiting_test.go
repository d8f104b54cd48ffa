//go:build review

package standins3

import (
	"encoding/json"
	"time"
)

func init() { cases["waiting"] = waitingCase }

// Ten workers, three a rack: the last rack has one worker.
const waitingWorkers = 10

// waitingJobs is how many jobs need the worker that is lost.
const waitingJobs = 3

// waitingCase: a worker is lost for good, without a word. Jobs that only it can run are handed in and
// accepted. None of their tasks ever begins, so the queue's count of waiting jobs has to show them.
func waitingCase(r *rig) bool {
	r.deploy(waitingWorkers)
	r.configure()
	lost := r.workers[waitingWorkers-1]
	r.warmUp(lost.rack)
	time.Sleep(5 * time.Second) // calm: all machines are in touch
	if r.trouble {
		lost.dark.Store(true)
		r.note("trouble: worker %s, the only one of rack %s, is lost for good and silent", lost.machine.name, lost.rack)
		time.Sleep(100 * time.Millisecond)
	}
	var jobs []job
	for range waitingJobs {
		j := job{id: newJobID(), workMS: 300, constraints: lost.rack}
		jobs = append(jobs, j)
		if !r.submit(r.fronts[0], j).accepted() {
			panic("a job was not accepted")
		}
	}
	time.Sleep(visibleBound + 2*time.Second + 200*time.Millisecond)
	broken := false
	for range 5 {
		notBegun := 0
		for _, j := range jobs {
			if len(r.startsOf(j.id)) == 0 {
				notBegun++
			}
		}
		for _, front := range r.fronts {
			a := r.waiting(front)
			r.note("client: GET %s at %s -> %d %s; %d accepted jobs have not begun", routePrefix, front.name, a.status, a.body, notBegun)
			var count struct{ Waiting int }
			if a.status == 200 && json.Unmarshal([]byte(a.body), &count) == nil && 2*count.Waiting < notBegun {
				broken = true
			}
		}
		time.Sleep(time.Second)
	}
	for _, j := range jobs {
		r.state(r.fronts[0], j.id)
	}
	return broken
}
