//go:build review

package standins3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Capacity of a worker.
const (
	workerCPU = 16000
	workerMem = 32768
)

// run is a run on a worker.
type run struct {
	runID     int
	startedAt time.Duration // on the worker's clock
	endsAt    time.Duration // when its work is done, on the worker's clock
	record    int           // index in rig.starts
}

// percentAt returns how much of the run's work is done.
func (r *run) percentAt(now time.Duration) int {
	return int(min(99, 100*(now-r.startedAt)/max(1, r.endsAt-r.startedAt)))
}

// endedRun is an entry of a worker's list of ends.
type endedRun struct {
	number uint64
	task   string
	runID  int
	how    string
}

// worker is a stand-in for a worker. Its calls come through a link, and so do the answers to its own
// calls.
type worker struct {
	rig     *rig
	machine *machine
	id      string
	rack    string
	born    time.Time
	toApp   *link // from the agent to the worker
	toAgent *link // from the worker to its agent
	server  *http.Server

	dark atomic.Bool // it neither answers nor calls any more

	mu      sync.Mutex
	fence   uint64
	expiry  time.Duration // of everything that runs, on its clock
	runs    map[string]*run
	highest map[string]int // highest run of a task that ended or was stopped here
	ended   []endedRun
	lastEnd uint64
	changed chan struct{} // closed at an end
	callSeq int
	gone    bool
}

func newWorker(r *rig, m *machine, rack string) *worker {
	return &worker{
		rig: r, machine: m, id: "i-" + newJobID()[:8], rack: rack, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

// clock reads the worker's own steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

// start begins to serve calls and to send beats.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.machine.ip+":0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /coppercourse/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /coppercourse/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /coppercourse/hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	w.toApp = newLink(w.rig.addr(w.machine, portApp), listener.Addr().String())
	w.toAgent = newLink(w.machine.ip+":0", w.rig.addr(w.machine, portControl))
	go w.sendBeats()
	go w.watchRuns()
}

func (w *worker) stop() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	if w.server != nil {
		w.server.Close()
		w.toApp.close()
		w.toAgent.close()
	}
}

// workerCall is the body of a call to a worker.
type workerCall struct {
	Task     string `json:"task"`
	RunID    int    `json:"runId"`
	JobSpec  string `json:"jobSpec"`
	ExpiryMS int64  `json:"expiryMs"`
	FenceNo  uint64 `json:"fenceNo"`
	Observed uint64 `json:"observed"`
	WaitMS   int64  `json:"waitMs"`
}

// handle wraps the handler of a call: it checks the intended life and the fence. The handler is called
// with the lock held.
func (w *worker) handle(next func(workerCall) (status int, reply map[string]any)) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		var c workerCall
		if json.NewDecoder(request.Body).Decode(&c) != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		if w.dark.Load() {
			<-request.Context().Done()
			return
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, reply := w.fenced(c, next)
		if c.WaitMS > 0 && status == http.StatusOK {
			reply = w.awaitEnd(request, c)
		}
		if w.dark.Load() {
			<-request.Context().Done()
			return
		}
		reply["clockMs"] = w.clock().Milliseconds()
		encoded, _ := json.Marshal(reply)
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(status)
		response.Write(encoded)
	}
}

func (w *worker) fenced(c workerCall, next func(workerCall) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if c.FenceNo < w.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.fence = c.FenceNo
	return next(c)
}

// extend raises the end of the hold.
func (w *worker) extend(expiryMS int64) {
	expiry := min(time.Duration(expiryMS)*time.Millisecond, w.clock()+maxHold)
	w.expiry = max(w.expiry, expiry)
}

func (w *worker) runStart(c workerCall) (int, map[string]any) {
	if r := w.runs[c.Task]; r != nil && r.runID == c.RunID {
		w.extend(c.ExpiryMS)
		return http.StatusOK, map[string]any{}
	}
	late := c.ExpiryMS <= w.clock().Milliseconds()
	switch {
	case late:
		return http.StatusConflict, map[string]any{"reason": "late"}
	case c.RunID <= w.highest[c.Task] || w.runs[c.Task] != nil:
		w.extend(c.ExpiryMS)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case w.usedCPULocked()+w.rig.jobOf(c.Task).demand() > workerCPU:
		w.extend(c.ExpiryMS)
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	w.extend(c.ExpiryMS)
	workMS := 0
	fmt.Sscanf(c.JobSpec, "work %d", &workMS)
	if w.rig.jobOf(c.Task).lasts {
		workMS = int(time.Hour.Milliseconds())
	}
	w.rig.mu.Lock()
	index := len(w.rig.starts)
	w.rig.starts = append(w.rig.starts, start{worker: w.machine.name, task: c.Task, runID: c.RunID, at: w.rig.since()})
	w.rig.mu.Unlock()
	w.runs[c.Task] = &run{runID: c.RunID, startedAt: w.clock(), endsAt: w.clock() + time.Duration(workMS)*time.Millisecond, record: index}
	w.rig.note("worker %s: starts run %d of %s", w.machine.name, c.RunID, c.Task)
	return http.StatusOK, map[string]any{}
}

// usedCPU returns the demand of everything that runs.
func (w *worker) usedCPU() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedCPULocked()
}

// usedCPULocked is usedCPU with the lock held.
func (w *worker) usedCPULocked() int {
	used := 0
	for task := range w.runs {
		used += w.rig.jobOf(task).demand()
	}
	return used
}

func (w *worker) runStop(c workerCall) (int, map[string]any) {
	w.highest[c.Task] = max(w.highest[c.Task], c.RunID)
	if r := w.runs[c.Task]; r != nil && r.runID == c.RunID {
		w.endRun(c.Task, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c workerCall) (int, map[string]any) {
	if c.ExpiryMS > 0 {
		w.extend(c.ExpiryMS)
	}
	for len(w.ended) > 0 && w.ended[0].number <= c.Observed {
		w.ended = w.ended[1:]
	}
	return http.StatusOK, w.lists()
}

// lists returns what runs and what has ended. The lock is held.
func (w *worker) lists() map[string]any {
	running, ended := []any{}, []any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.runID, "", r.percentAt(w.clock())})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.runID, e.how, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}

// awaitEnd waits for an end, for at most the call's waitMs, and returns both lists.
func (w *worker) awaitEnd(request *http.Request, c workerCall) map[string]any {
	w.mu.Lock()
	changed := w.changed
	listed := len(w.ended) > 0
	w.mu.Unlock()
	if !listed {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-request.Context().Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	return w.lists()
}

// endRun ends a run. The lock is held.
func (w *worker) endRun(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.runID)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, r.runID, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rig.mu.Lock()
	w.rig.starts[r.record].endedAt, w.rig.starts[r.record].how = w.rig.since(), how
	w.rig.mu.Unlock()
	w.rig.note("worker %s: run %d of %s ends %s", w.machine.name, r.runID, task, how)
}

// endDueRuns ends the runs whose work is done, and all runs once the hold is over. The lock is held.
func (w *worker) endDueRuns() {
	now := w.clock()
	for task, r := range w.runs {
		switch {
		case now >= w.expiry:
			w.endRun(task, "lapsed")
		case now >= r.endsAt:
			w.endRun(task, "done")
		}
	}
}

// watchRuns ends runs in time.
func (w *worker) watchRuns() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		gone := w.gone
		if !gone {
			w.endDueRuns()
		}
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

// beat sends one beat and reports whether it was acknowledged.
func (w *worker) beat() bool {
	w.mu.Lock()
	w.callSeq++
	account := map[string]any{
		"service": serviceName, "address": w.rig.addr(w.machine, portApp), "zone": w.machine.zone,
		"configVersion": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMem, "gpu": 0},
		"labels":   []string{kindLabel, w.rack}, "clockMs": w.clock().Milliseconds(), "callSeq": w.callSeq,
	}
	w.mu.Unlock()
	body, _ := json.Marshal(account)
	url := "http://" + w.toAgent.addr() + "/coppercourse/Instances.Heartbeat/" + w.id
	return call("POST", url, w.rig.addr(w.machine, portControl), string(body), nil, time.Second).accepted()
}

func (w *worker) sendBeats() {
	for {
		w.mu.Lock()
		gone := w.gone
		w.mu.Unlock()
		if gone || w.dark.Load() {
			return
		}
		if w.beat() {
			time.Sleep(beatInterval)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// workerOn returns the worker of a machine's name.
func (r *rig) workerOn(name string) *worker {
	for _, w := range r.workers {
		if strings.EqualFold(w.machine.name, name) {
			return w
		}
	}
	panic("no worker on " + name)
}
