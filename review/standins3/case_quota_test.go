//go:build review

package standins3

import (
	"strings"
	"time"
)

func init() { cases["quota"] = quotaCase }

const (
	quotaWorkers = 11
	// The tenant may have 4 cores running, with quotaExcess 4.4 and one task more. A gang of eight tasks of
	// a core can never start; one of four can.
	hopelessTasks, possibleTasks = 8, 4
	// finishTime is finish_s: when jobs are asked for, after the end of the traffic.
	finishTime = 14 * time.Second
)

// quotaCase: a job that can never be done is handed in: a gang that is larger than all that its tenant may
// have running. It has to be turned away, or to run.
func quotaCase(r *rig) bool {
	r.tenantKey = "key-" + newJobID()
	r.deploy(quotaWorkers)
	r.configure()
	r.warmUp(r.workers[0].rack)
	time.Sleep(4 * time.Second)
	tasks := possibleTasks
	if r.trouble {
		tasks = hopelessTasks
		r.note("trouble: a gang of %d cores comes; its tenant may have %d running", tasks, tenantCPU/1000)
	}
	front := r.fronts[0]
	gang := job{id: newJobID(), workMS: 500, tasks: tasks, gang: true}
	if !r.submit(front, gang).accepted() {
		return false
	}
	time.Sleep(finishTime)
	idle := true
	for range 6 { // 3 s
		a := r.state(front, gang.id)
		idle = idle && len(r.startsOf(gang.id)) == 0 && !strings.Contains(a.body, "completed") &&
			!strings.Contains(a.body, "failed")
		time.Sleep(600 * time.Millisecond)
	}
	return idle
}
