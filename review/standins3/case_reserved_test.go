//go:build review

package standins3

import "time"

func init() { cases["reserved"] = reservedCase }

// A lasting task has to be at work again after lastingPause, and may then be missing for less than
// idleBound.
const lastingPause, idleBound = 6 * time.Second, 3 * time.Second

const (
	reservedWorkers = 12
	lastingTasks    = 2
	lastingCPU      = 7000 // also of a task of the large job: 9 of 16 cores are free beside it
	otherWorkers    = reservedWorkers - lastingTasks
	reservedLargeMS = 14000
	gangCPU         = 10000
	gangWorkMS      = 6000
	earlierJobs     = 8
	earlierCPU      = 500
	lossAfterGang   = 2 * time.Second
	laterJobs       = 8
	laterJobsGap    = 300 * time.Millisecond
	lookInterval    = 100 * time.Millisecond
)

// reservedCase: a job of two lasting tasks, each on a worker of its own, and a large job of ten tasks, one
// on each other worker, are at work; 9 of 16 cores are free everywhere. A gang comes that has to wait for
// the large job. Then the worker of one lasting task is lost for good. The task has room on ten workers
// and has to be started again.
func reservedCase(r *rig) bool {
	r.longJobs = true
	r.deploy(reservedWorkers)
	r.configure()
	time.Sleep(4 * time.Second) // calm: all machines are in touch
	front := r.fronts[0]
	// Earlier jobs of the queue, whose estimates are right.
	for range earlierJobs {
		r.handIn(front, job{id: newJobID(), workMS: reservedLargeMS, cpu: earlierCPU})
	}
	time.Sleep((reservedLargeMS + 1000) * time.Millisecond)
	lasting := job{id: newJobID(), workMS: 320, tasks: lastingTasks, cpu: lastingCPU, lasts: true, onePerHost: true}
	large := job{id: newJobID(), workMS: reservedLargeMS, tasks: otherWorkers, cpu: lastingCPU, onePerHost: true}
	gang := job{id: newJobID(), workMS: gangWorkMS, tasks: otherWorkers, cpu: gangCPU, gang: true}
	r.handIn(front, lasting)
	r.await("the lasting tasks are at work", func() bool { return len(r.startsOf(lasting.id)) == lastingTasks })
	time.Sleep(2 * time.Second)
	r.handIn(front, large)
	r.await("the large job is at work", func() bool { return len(r.startsOf(large.id)) == otherWorkers })
	r.handIn(front, gang)
	time.Sleep(lossAfterGang)
	task := r.startsOf(lasting.id)[0]
	lost, at := r.workerOn(task.worker), r.since()
	if r.trouble {
		r.note("trouble: worker %s, where %s runs, is lost for good and silent", task.worker, task.task)
		lost.dark.Store(true)
	}
	go func() {
		for range laterJobs {
			time.Sleep(laterJobsGap)
			r.submit(front, job{id: newJobID(), workMS: gangWorkMS, cpu: earlierCPU})
		}
	}()
	sibling := r.workerOn(r.startsOf(lasting.id)[1].worker)
	enough := time.Duration(0) // for how long there has been room twice over, with less than half in use
	for enough < idleBound {
		time.Sleep(lookInterval)
		for _, s := range r.startsOf(lasting.id) {
			if s.at > at && s.task == task.task {
				r.note("lasting task %s was started again %.3f s after its last run", s.task, (s.at - at).Seconds())
				return false
			}
		}
		places, inUse := 0, 0
		for _, w := range r.workers {
			if w == lost {
				continue
			}
			used := w.usedCPU()
			inUse += used
			if w != sibling && used+lastingCPU <= workerCPU {
				places++
			}
		}
		elapsed := r.since() - at
		roomEnough := places >= 2 && 2*inUse < (reservedWorkers-1)*workerCPU
		switch {
		case elapsed > 2*(lastingPause+idleBound):
			r.note("lasting task %s runs on, or there was no room", task.task)
			return false
		case !r.trouble || elapsed < lastingPause || !roomEnough:
			enough = 0
		default:
			enough += lookInterval
		}
		if elapsed.Truncate(lookInterval)%time.Second == 0 {
			r.note("%.1f s after the last run: %d workers have room for the lasting task; %d of %d thousandths of a core in use",
				elapsed.Seconds(), places, inUse, (reservedWorkers-1)*workerCPU)
		}
	}
	r.note("for 3 s the lasting task %s has not run, with room for it twice over and less than half in use", task.task)
	r.state(front, lasting.id)
	r.state(front, gang.id)
	return true
}

// handIn hands a job in that has to be accepted.
func (r *rig) handIn(front *machine, j job) {
	if !r.submit(front, j).accepted() {
		panic("a job was not accepted")
	}
}
