//go:build review

package standins3

import "time"

func init() { cases["lasting-sick"] = lastingSickCase }

// lastingSickCase is a variant of gangCase: the job that needs the rack has tasks that last, and was at
// work before its two workers failed all that they started. All of its tasks have to be at work again.
func lastingSickCase(r *rig) bool {
	r.deploy(gangWorkers)
	r.configure()
	pair := r.workers[gangWorkers-2:]
	r.warmUp(pair[0].rack)
	front := r.fronts[0]
	defer r.usualTraffic(front)()
	lasting := job{id: newJobID(), workMS: 320, tasks: lastingTasks, lasts: true, constraints: pair[0].rack}
	if !r.submit(front, lasting).accepted() {
		panic("the lasting job was not accepted")
	}
	r.await("the lasting tasks are at work", func() bool { return len(r.startsOf(lasting.id)) == lastingTasks })
	time.Sleep(3 * time.Second)
	if r.trouble {
		for _, w := range pair {
			w.fallSick()
			r.note("trouble: worker %s fails all that runs on it", w.machine.name)
		}
	}
	time.Sleep(sickTime)
	for _, w := range pair {
		w.sick.Store(false)
	}
	r.note("trouble: over; both workers are sound")
	time.Sleep(4*time.Second + lastingPause)
	missing := true
	for range 60 { // 12 s
		inUse := pair[0].usedCPU() + pair[1].usedCPU()
		r.note("the lasting job's tasks at work: %d of %d; of %d thousandths of a core %d are in use",
			inUse/defaultCPU, lastingTasks, len(pair)*workerCPU, inUse)
		missing = missing && inUse < lastingTasks*defaultCPU
		time.Sleep(200 * time.Millisecond)
	}
	return missing
}
