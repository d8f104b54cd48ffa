//go:build review

package standins2

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Capacity of a worker, about that of the site file.
const (
	workerCPU   = 16000
	workerMemMB = 32768
)

// Tick of a worker, and the reading of its clock when it starts, in milliseconds.
const (
	workerTick     = 5 * time.Millisecond
	workerClock    = 400_000
	maxEndedAtOnce = 500
)

// taskRun is one run of a task on a worker.
type taskRun struct {
	task      string
	run       int
	cpu, mem  int
	startedAt time.Time
	length    time.Duration // 0 for a task that lasts
	stopping  bool
}

// taskEnd is the end of a run that a worker lists.
type taskEnd struct {
	number int
	task   string
	run    int
	how    string
}

// startEvent is a start that a worker has carried out.
type startEvent struct {
	at     time.Time
	worker string
	task   string
	run    int
}

// worker is a sound worker of the users' platform.
type worker struct {
	rec                    *record
	name, zone, kind, rack string
	addr, agent            string
	id                     string
	startedAt              time.Time
	server                 *http.Server
	cancel                 context.CancelFunc
	seq                    int
	mu                     sync.Mutex
	changed                chan struct{} // closed and replaced when an end is added
	fence                  uint64
	expiry                 int64 // reading of the clock at which all that runs is killed
	running                map[string]*taskRun
	last                   map[string]int // highest run of a task that ended or was stopped here
	ended                  []taskEnd
	endCount               int
	starts                 []startEvent
	cpuInUse, memInUse     int
}

func newWorker(rec *record, name, zone, kind, rack, addr, agent string) *worker {
	return &worker{
		rec: rec, name: name, zone: zone, kind: kind, rack: rack, addr: addr, agent: agent,
		id: fmt.Sprintf("i-%08x", rand.Uint32()), startedAt: time.Now(),
		changed: make(chan struct{}), running: map[string]*taskRun{}, last: map[string]int{},
	}
}

// start serves calls and sends heartbeats.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /coppercourse/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /coppercourse/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /coppercourse/hold", w.handle(w.hold))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.beat(ctx)
	go w.tick(ctx)
	return nil
}

func (w *worker) close() {
	if w.cancel != nil {
		w.cancel()
		w.server.Close()
	}
}

// clock returns the reading of the worker's clock.
func (w *worker) clock() int64 { return workerClock + time.Since(w.startedAt).Milliseconds() }

// beat sends heartbeats to the agent.
func (w *worker) beat(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.addr, "zone": w.zone, "configVersion": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "clockMs": w.clock(), "callSeq": w.seq,
			"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0},
			"labels":   []string{w.kind, w.rack},
		})
		call(http.MethodPost, "http://"+w.agent+"/coppercourse/Instances.Heartbeat/"+w.id, "", nil, body, time.Second)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick ends runs that are done, and all runs when the hold is over.
func (w *worker) tick(ctx context.Context) {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.running {
			switch {
			case w.clock() > w.expiry:
				w.end(r, "lapsed")
			case r.stopping:
				w.end(r, "stopped")
			case r.length > 0 && now.Sub(r.startedAt) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The lock is held.
func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	w.cpuInUse, w.memInUse = w.cpuInUse-r.cpu, w.memInUse-r.mem
	w.last[r.task] = max(w.last[r.task], r.run)
	w.endCount++
	w.ended = append(w.ended, taskEnd{number: w.endCount, task: r.task, run: r.run, how: how})
	w.rec.line("worker %s: run %d of %s ended %s", w.name, r.run, r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	RunID    int    `json:"runId"`
	JobSpec  string `json:"jobSpec"`
	ExpiryMS int64  `json:"expiryMs"`
	Fence    uint64 `json:"fenceNo"`
	Observed int    `json:"observed"`
	WaitMS   int64  `json:"waitMs"`
}

// handle decodes a call, refuses one for another life or with a lower fence, and passes it on.
func (w *worker) handle(serve func(order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(req.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		status, answer := w.serveFenced(o, serve)
		body, _ := json.Marshal(answer)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		rw.Write(body)
	}
}

func (w *worker) serveFenced(o order, serve func(order) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return w.refuse("fence")
	}
	w.fence = o.Fence
	return serve(o)
}

func (w *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}
}

func (w *worker) accept() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

// extend moves the end of the hold, which is never shortened.
func (w *worker) extend(expiry int64) {
	w.expiry = max(w.expiry, min(expiry, w.clock()+holdLimit.Milliseconds()))
}

// percent returns how much of a run is done. A task that lasts has no end to count towards.
func (r *taskRun) percent() int {
	if r.length == 0 {
		return 0
	}
	return int(min(99, 100*time.Since(r.startedAt)/r.length))
}

// fail ends the runs of a job's tasks on this worker as failed.
func (w *worker) fail(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		if strings.HasPrefix(r.task, id+".") {
			w.end(r, "failed")
		}
	}
}

// runStart starts a task. The job's text is "MS CPU MEM": how long it runs, 0 if it lasts, and what
// it asks for.
func (w *worker) runStart(o order) (int, map[string]any) {
	var ms, cpu, mem int
	if n, _ := fmt.Sscanf(o.JobSpec, "%d %d %d", &ms, &cpu, &mem); n != 3 {
		return http.StatusBadRequest, map[string]any{"clockMs": w.clock()}
	}
	if r := w.running[o.Task]; r != nil && r.run == o.RunID {
		w.extend(o.ExpiryMS)
		return w.accept()
	}
	switch {
	case o.RunID <= w.last[o.Task] || w.running[o.Task] != nil:
		w.extend(o.ExpiryMS)
		return w.refuse("old")
	case o.ExpiryMS <= w.clock():
		return w.refuse("late")
	case w.cpuInUse+cpu > workerCPU || w.memInUse+mem > workerMemMB:
		w.extend(o.ExpiryMS)
		return w.refuse("room")
	}
	w.extend(o.ExpiryMS)
	w.cpuInUse, w.memInUse = w.cpuInUse+cpu, w.memInUse+mem
	now := time.Now()
	w.running[o.Task] = &taskRun{
		task: o.Task, run: o.RunID, cpu: cpu, mem: mem, startedAt: now, length: time.Duration(ms) * time.Millisecond,
	}
	w.starts = append(w.starts, startEvent{now, w.name, o.Task, o.RunID})
	w.rec.line("worker %s: run %d of %s started", w.name, o.RunID, o.Task)
	return w.accept()
}

func (w *worker) runStop(o order) (int, map[string]any) {
	if r := w.running[o.Task]; r != nil && r.run == o.RunID {
		r.stopping = true
	} else if r == nil {
		w.last[o.Task] = max(w.last[o.Task], o.RunID)
	}
	return w.accept()
}

// hold renews the hold, forgets the observed ends, waits for an end if there is none, and lists
// what runs and what has ended.
func (w *worker) hold(o order) (int, map[string]any) {
	w.extend(o.ExpiryMS)
	w.ended = slices.DeleteFunc(w.ended, func(e taskEnd) bool { return e.number <= o.Observed })
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", r.percent()})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEndedAtOnce)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock(), "running": running, "ended": ended}
}

// startsOf returns the starts of a job's tasks on all workers, in order, or those of all jobs if id
// is empty.
func (s *system) startsOf(id string) (list []startEvent) {
	for _, w := range s.workers {
		w.mu.Lock()
		for _, e := range w.starts {
			if id == "" || strings.HasPrefix(e.task, id+".") {
				list = append(list, e)
			}
		}
		w.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b startEvent) int { return a.at.Compare(b.at) })
	return list
}

// spec returns the text of a job whose tasks run for some milliseconds and ask for some room.
func spec(ms, cpu, mem int) string {
	return strconv.Itoa(ms) + " " + strconv.Itoa(cpu) + " " + strconv.Itoa(mem)
}

// allStarts returns the starts of all jobs.
func (s *system) allStarts() []startEvent { return s.startsOf("") }

// cpuInUse returns the thousandths of a core that are in use on all workers.
func (s *system) cpuInUse() (sum int) {
	for _, w := range s.workers {
		w.mu.Lock()
		sum += w.cpuInUse
		w.mu.Unlock()
	}
	return sum
}
