//go:build review

package standins

import (
	"encoding/json"
	"time"
)

// waitingCount: a worker is sick for six seconds and turns starts away; eight jobs wait for it.
func waitingCount(r *rig, trouble bool) int {
	if !prepare(r, 4, 10) {
		return couldNot
	}
	const jobs = 8
	only := r.workers[9] // the only worker of its rack
	if trouble {
		r.world.mu.Lock()
		only.sick = true
		r.world.mu.Unlock()
		r.record.add("%s is sick from now on: it turns starts away with 503", only.name)
	}
	sickSince := time.Now()
	var ids []string
	small := taskKind{CPU: 1000, MemMB: 1000, Tasks: 1, WorkMS: 900}
	for range jobs {
		id, ok := r.submit(settlePrefix, small, map[string]any{"constraints": only.rack}, false)
		if !ok {
			return couldNot
		}
		ids = append(ids, id)
	}
	acceptedAt := time.Now()
	broke := false
	for time.Since(acceptedAt) < 5100*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
	}
	for time.Since(sickSince) < 5900*time.Millisecond {
		notBegun := 0
		for _, id := range ids {
			if r.startsOf(id) == 0 {
				notBegun++
			}
		}
		status, body := r.request(r.gateways[0], "GET", settlePrefix, nil)
		var answer struct {
			Waiting int `json:"waiting"`
		}
		json.Unmarshal([]byte(body), &answer)
		r.record.add("client: GET %s -> %d %s; %d jobs accepted over 5 s before have not begun", settlePrefix, status, body, notBegun)
		if status == 200 && 2*answer.Waiting < notBegun {
			broke = true
		}
		time.Sleep(150 * time.Millisecond)
	}
	r.world.mu.Lock()
	only.sick = false
	r.world.mu.Unlock()
	r.record.add("%s is sound again", only.name)
	until := time.Now().Add(20 * time.Second)
	for _, id := range ids {
		if state, ok := awaitState(r, settlePrefix, id, time.Until(until), "completed"); !ok {
			r.record.add("job %s is %s", id, state)
		}
	}
	if broke {
		return broken
	}
	return held
}
