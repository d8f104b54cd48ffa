//go:build review

package standins

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// taskKind says how the tasks of one stage behave on a sound worker.
type taskKind struct {
	CPU    int
	MemMB  int
	Tasks  int
	Gang   bool
	WorkMS int
	Fails  bool // the task fails by its own fault each time
	Lasts  bool // the task keeps running until it is stopped or told to fail
}

// world is what all workers of a deployment share: the jobs that clients handed in, and the gangs.
type world struct {
	mu      sync.Mutex
	record  *record
	jobs    map[string][]taskKind
	gangs   map[string]*gang
	starts  map[string]int  // accepted starts, by job
	failing map[string]bool // jobs whose running task that lasts fails now
}

// gang is one run of a gang-scheduled stage.
type gang struct {
	size    int
	members []*run
	begun   time.Time
	ended   bool
}

// run is one run of a task at a worker.
type run struct {
	worker  *worker
	task    string
	runID   int
	kind    taskKind
	arrived time.Time
	gang    *gang
	ended   bool
}

type endedRun struct {
	number uint64
	task   string
	runID  int
	how    string
}

// worker is a stand-in for one server that runs tasks; it follows PROTOCOL.md, "Running tasks".
type worker struct {
	world       *world
	id          string
	name        string
	service     string
	zone        string
	rack        string
	addr        string
	beatURL     string
	capacityCPU int
	capacityMem int
	holdLimitMS int64
	gangWait    time.Duration
	beatEvery   time.Duration

	startedAt time.Time
	clockBase int64
	fence     int64
	leaseEnd  int64
	running   map[string]*run // by task
	closed    map[string]int  // highest run that stopped or ended, by task
	ends      []endedRun
	lastEnd   uint64
	sick      bool // answers each start with 503 and does nothing
	callSeq   int
	server    *http.Server
	stop      chan struct{}
}

func newWorld(record *record) *world {
	return &world{record: record, jobs: map[string][]taskKind{}, gangs: map[string]*gang{}, starts: map[string]int{}, failing: map[string]bool{}}
}

func (w *worker) clock() int64 { return w.clockBase + time.Since(w.startedAt).Milliseconds() }

// start serves calls and sends beats until close.
func (w *worker) start() error {
	w.startedAt, w.clockBase = time.Now(), 1000+rand.Int63n(1<<30)
	w.running, w.closed, w.stop = map[string]*run{}, map[string]int{}, make(chan struct{})
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/coppercourse/run-start", w.handle(w.runStart))
	mux.HandleFunc("/coppercourse/run-stop", w.handle(w.runStop))
	mux.HandleFunc("/coppercourse/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	go w.sendBeats()
	go func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(5 * time.Millisecond):
				w.world.mu.Lock()
				w.advance()
				w.world.mu.Unlock()
			}
		}
	}()
	return nil
}

func (w *worker) close() {
	close(w.stop)
	w.server.Close()
}

func (w *worker) sendBeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.world.mu.Lock()
		w.callSeq++
		beat := map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "configVersion": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "callSeq": w.callSeq, "clockMs": w.clock(),
			"capacity": map[string]int{"cpu": w.capacityCPU, "memMb": w.capacityMem, "gpu": 0},
			"labels":   []string{"a", w.rack},
		}
		w.world.mu.Unlock()
		body, _ := json.Marshal(beat)
		pause := w.beatEvery
		res, err := client.Post(w.beatURL+w.id, "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

type call struct {
	Task     string `json:"task"`
	RunID    int    `json:"runId"`
	JobSpec  string `json:"jobSpec"`
	ExpiryMS int64  `json:"expiryMs"`
	FenceNo  int64  `json:"fenceNo"`
	Observed uint64 `json:"observed"`
	WaitMS   int64  `json:"waitMs"`
}

func (w *worker) readCall(res http.ResponseWriter, req *http.Request) (call, bool) {
	var c call
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.world.mu.Lock()
		w.answer(res, 421, nil)
		w.world.mu.Unlock()
		return c, false
	}
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		res.WriteHeader(400)
		return c, false
	}
	return c, true
}

// answer writes an answer; every one with a body carries clockMs.
func (w *worker) answer(res http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clockMs"] = w.clock()
	body, _ := json.Marshal(fields)
	res.Header().Set("Content-Type", "application/json")
	res.WriteHeader(status)
	res.Write(body)
}

func (w *worker) handle(do func(http.ResponseWriter, call)) http.HandlerFunc {
	return func(res http.ResponseWriter, req *http.Request) {
		c, ok := w.readCall(res, req)
		if !ok {
			return
		}
		w.world.mu.Lock()
		defer w.world.mu.Unlock()
		w.advance()
		do(res, c)
	}
}

// fenced answers a call with a fence that is too low.
func (w *worker) fenced(res http.ResponseWriter, c call) bool {
	if c.FenceNo < w.fence {
		w.answer(res, 409, map[string]any{"reason": "fence"})
		return true
	}
	w.fence = c.FenceNo
	return false
}

// extend takes the end of a hold: never shortened, cut to the limit.
func (w *worker) extend(expiry int64) {
	w.leaseEnd = max(w.leaseEnd, min(expiry, w.clock()+w.holdLimitMS))
}

func (w *worker) runStart(res http.ResponseWriter, c call) {
	if w.sick {
		w.world.record.add("%s turns away the start of %s run %d: 503, nothing done", w.name, c.Task, c.RunID)
		res.WriteHeader(503)
		return
	}
	if w.fenced(res, c) {
		return
	}
	kind, known := w.world.kindOf(c.Task)
	current := w.running[c.Task]
	switch {
	case !known:
		w.world.record.add("%s is told to start %s run %d, which nobody sent", w.name, c.Task, c.RunID)
		w.answer(res, 409, map[string]any{"reason": "late"})
		return
	case current != nil && current.runID == c.RunID:
		w.extend(c.ExpiryMS)
		w.answer(res, 200, nil)
		return
	case c.RunID <= w.closed[c.Task]:
		w.extend(c.ExpiryMS)
		w.answer(res, 409, map[string]any{"reason": "old"})
		return
	case c.ExpiryMS <= w.clock():
		w.answer(res, 409, map[string]any{"reason": "late"})
		return
	}
	w.extend(c.ExpiryMS)
	cpu, mem := kind.CPU, kind.MemMB
	for _, r := range w.running {
		cpu, mem = cpu+r.kind.CPU, mem+r.kind.MemMB
	}
	if cpu > w.capacityCPU || mem > w.capacityMem {
		w.answer(res, 409, map[string]any{"reason": "room"})
		return
	}
	r := &run{worker: w, task: c.Task, runID: c.RunID, kind: kind, arrived: time.Now()}
	w.running[c.Task] = r
	w.world.starts[strings.SplitN(c.Task, ".", 2)[0]]++
	if kind.Gang {
		w.world.join(r)
	}
	w.world.record.add("%s starts %s run %d", w.name, c.Task, c.RunID)
	w.answer(res, 200, nil)
}

func (w *worker) runStop(res http.ResponseWriter, c call) {
	if w.fenced(res, c) {
		return
	}
	if r := w.running[c.Task]; r != nil && r.runID == c.RunID {
		w.end(r, "stopped")
	}
	w.closed[c.Task] = max(w.closed[c.Task], c.RunID)
	w.answer(res, 200, nil)
}

func (w *worker) hold(res http.ResponseWriter, req *http.Request) {
	c, ok := w.readCall(res, req)
	if !ok {
		return
	}
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.advance()
	if w.fenced(res, c) {
		return
	}
	if c.ExpiryMS > 0 {
		w.extend(c.ExpiryMS)
	}
	for len(w.ends) > 0 && w.ends[0].number <= c.Observed {
		w.ends = w.ends[1:]
	}
	until := time.Now().Add(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		w.world.mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		w.world.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.runID, "", 0})
	}
	for i, e := range w.ends {
		if i < 500 {
			ended = append(ended, []any{e.number, e.task, e.runID, e.how, ""})
		}
	}
	w.answer(res, 200, map[string]any{"running": running, "ended": ended})
}

// advance ends what is due at this worker. The world is locked.
func (w *worker) advance() {
	if len(w.running) > 0 && w.clock() > w.leaseEnd {
		for _, r := range w.runs() {
			w.end(r, "lapsed")
		}
	}
	for _, r := range w.runs() {
		work := time.Duration(r.kind.WorkMS) * time.Millisecond
		switch {
		case r.ended:
		case r.gang != nil:
			r.gang.advance(r, work, w.gangWait)
		case r.kind.Lasts:
			if job := r.task[:16]; w.world.failing[job] {
				delete(w.world.failing, job)
				w.end(r, "failed")
			}
		case time.Since(r.arrived) >= work && r.kind.Fails:
			w.end(r, "failed")
		case time.Since(r.arrived) >= work:
			w.end(r, "done")
		}
	}
}

func (w *worker) runs() (list []*run) {
	for _, r := range w.running {
		list = append(list, r)
	}
	return list
}

// end ends a run; the other members of its gang end too.
func (w *worker) end(r *run, how string) {
	if r.ended {
		return
	}
	r.ended = true
	delete(w.running, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.runID)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, r.task, r.runID, how})
	w.world.record.add("%s ends %s run %d: %s", w.name, r.task, r.runID, how)
	if r.gang != nil && !r.gang.ended && how != "alone" {
		r.gang.endAll(how)
	}
}

func (g *gang) endAll(how string) {
	g.ended = true
	if how != "done" {
		how = "broken"
	}
	for _, member := range g.members {
		member.worker.end(member, how)
	}
}

func (g *gang) advance(r *run, work, wait time.Duration) {
	switch {
	case len(g.members) == g.size && g.begun.IsZero():
		g.begun = time.Now()
	case !g.begun.IsZero() && time.Since(g.begun) >= work && r.kind.Fails:
		r.worker.end(r, "failed")
	case !g.begun.IsZero() && time.Since(g.begun) >= work:
		r.worker.end(r, "done")
	case g.begun.IsZero() && time.Since(r.arrived) >= wait:
		r.worker.end(r, "alone")
	}
}

// join adds a run to its gang.
func (w *world) join(r *run) {
	stage := r.task[:strings.LastIndexByte(r.task, '.')]
	key := fmt.Sprintf("%s/%d", stage, r.runID)
	if w.gangs[key] == nil {
		w.gangs[key] = &gang{size: r.kind.Tasks}
	}
	r.gang = w.gangs[key]
	r.gang.members = append(r.gang.members, r)
}

// kindOf returns how a task behaves, or false if no client sent its job.
func (w *world) kindOf(task string) (taskKind, bool) {
	parts := strings.Split(task, ".")
	stages := w.jobs[parts[0]]
	step := 0
	if len(parts) != 4 || stages == nil {
		return taskKind{}, false
	}
	fmt.Sscan(parts[2], &step)
	if step >= len(stages) {
		return taskKind{}, false
	}
	return stages[step], true
}
