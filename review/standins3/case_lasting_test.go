//go:build review

package standins3

import "time"

func init() { cases["lasting"] = lastingCase }

const (
	lastingWorkers = 11
	lastingTasks   = 4
	// A large job, within the largest of the small site's class vendor-menus.
	largeJobs, largeTasks, largeCPU, largeWorkMS = 2, 32, 5000, 14000
	// failureGap is the time between the failures of two lasting tasks.
	failureGap = 300 * time.Millisecond
	// A lasting task has to be at work again after lastingPause, and may then be missing for less than
	// idleBound.
	lastingPause, idleBound = 6 * time.Second, 3 * time.Second
)

// lastingCase: a job whose tasks last is at work. Large jobs come at once. Then the tasks that last fail
// through their own fault, one after the other. Each has to be started again.
func lastingCase(r *rig) bool {
	r.deploy(lastingWorkers)
	r.configure()
	r.warmUp(r.workers[0].rack)
	time.Sleep(4 * time.Second) // calm: all machines are in touch
	front := r.fronts[0]
	lasting := job{id: newJobID(), workMS: 320, tasks: lastingTasks, cpu: largeCPU, lasts: true}
	if !r.submit(front, lasting).accepted() {
		panic("the lasting job was not accepted")
	}
	r.await("the lasting tasks are at work", func() bool { return len(r.startsOf(lasting.id)) == lastingTasks })
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("trouble: %d large jobs come at once", largeJobs)
		for range largeJobs {
			r.submit(front, job{id: newJobID(), workMS: largeWorkMS, tasks: largeTasks, cpu: largeCPU})
		}
	}
	time.Sleep(time.Second)
	failedAt := map[string]time.Duration{}
	for _, first := range r.startsOf(lasting.id)[:lastingTasks] {
		if !r.workerOn(first.worker).fail(first.task) {
			panic("the lasting task does not run where it was started")
		}
		failedAt[first.task] = r.since()
		time.Sleep(failureGap)
	}
	time.Sleep(lastingPause + idleBound)
	broken := false
	for task, at := range failedAt {
		again := time.Duration(0)
		for _, s := range r.startsOf(lasting.id) {
			if s.task == task && s.at >= at && again == 0 {
				again = s.at - at
			}
		}
		if again == 0 || again > lastingPause+idleBound {
			broken = true
			r.note("lasting task %s was not started again within %.0f s of its last run", task,
				(lastingPause + idleBound).Seconds())
		} else {
			r.note("lasting task %s was started again %.3f s after its last run", task, again.Seconds())
		}
	}
	r.state(front, lasting.id)
	return broken
}
