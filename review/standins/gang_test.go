//go:build review

package standins

import (
	"time"
)

// Queues of the small deployment kpfsa-orders.
var kpfsaRoutes = []route{
	{prefix: "/lohu930/", priority: 0, maxAttempts: 4, stretch: 1.5, targetMS: 250},
	{prefix: "/pufi791/", priority: 2, maxAttempts: 3, stretch: 3.2, targetMS: 3000},
	{prefix: "/pule252/", priority: 1, maxAttempts: 3, stretch: 2.2, targetMS: 1000},
	{prefix: "/fewa640/", priority: 2, maxAttempts: 3, stretch: 2.2, targetMS: 2500},
}

const (
	quotePrefix  = "/lohu930/"
	settlePrefix = "/pule252/"
	menusPrefix  = "/pufi791/"
	watchPrefix  = "/fewa640/" // jobs that last
)

// prepare starts a deployment and brings its first configuration.
func prepare(r *rig, gateways, workers int) bool {
	if err := r.start(gateways, workers, 3); err != nil {
		r.record.add("could not run: %v", err)
		return false
	}
	if err := r.replaceConfig(kpfsaRoutes, 20*time.Second); err != nil {
		r.record.add("could not run: %v", err)
		return false
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		r.record.add("could not run: %v", err)
		return false
	}
	time.Sleep(4 * time.Second) // workers become known
	return true
}

// awaitState asks for a job's state until it is one of those given.
func awaitState(r *rig, prefix, id string, within time.Duration, states ...string) (string, bool) {
	last := ""
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		state := r.state(prefix, id)
		if state != last {
			r.record.add("client: GET %s%s -> %s", prefix, id, state)
		}
		last = state
		for _, s := range states {
			if state == s {
				return state, true
			}
		}
	}
	return last, false
}

// starvedGang: one job that can never be done runs on the workers of one rack and is shown as
// failed. Later a gang of four small tasks for the same rack is accepted. The rack is idle and
// sound.
func starvedGang(r *rig, trouble bool) int {
	if !prepare(r, 4, 11) {
		return couldNot
	}
	small := taskKind{CPU: 1500, MemMB: 1500, Tasks: 2, WorkMS: 240}
	stop := make(chan struct{})
	traffic := make(chan int)
	go func() { // the usual small jobs, about seven a second
		count := 0
		for {
			select {
			case <-stop:
				traffic <- count
				return
			case <-time.After(140 * time.Millisecond):
				if _, ok := r.submit(quotePrefix, small, nil, true); ok {
					count++
				}
			}
		}
	}()
	rack := map[string]any{"constraints": "r2"}
	time.Sleep(4 * time.Second)
	if trouble {
		poison := taskKind{CPU: 1500, MemMB: 1500, Tasks: 14, WorkMS: 240, Fails: true}
		id, ok := r.submit(quotePrefix, poison, rack, false)
		if !ok {
			return couldNot
		}
		if _, ok := awaitState(r, quotePrefix, id, 15*time.Second, "failed"); !ok {
			r.record.add("the job that can never be done is not shown as failed")
			return couldNot
		}
	}
	time.Sleep(5 * time.Second)
	gang := taskKind{CPU: 1500, MemMB: 1500, Tasks: 4, WorkMS: 240, Gang: true}
	id, ok := r.submit(quotePrefix, gang, rack, false)
	if !ok {
		return couldNot
	}
	state, done := awaitState(r, quotePrefix, id, 20*time.Second, "completed")
	close(stop)
	count := <-traffic
	r.record.add("end of the traffic: %d usual jobs were accepted; the gang is %s", count, state)
	r.recordUse("r2")
	if !done { // finish_s after the end of the traffic, and 3 s more
		state, done = awaitState(r, quotePrefix, id, 17*time.Second, "completed")
	}
	r.recordUse("r2")
	r.record.add("the gang is %s; starts of its tasks: %d", state, r.startsOf(id))
	if done {
		return held
	}
	if r.startsOf(id) > 0 {
		r.record.add("the gang has started; this run shows nothing")
		return couldNot
	}
	return broken
}
