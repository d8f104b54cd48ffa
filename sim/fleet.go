// A fleet of real processes on one machine: the daemons of a deployment, a worker
// process beside each agent, relays before all of them, and callers.
package sim

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

// process is one process of the fleet.
type process struct {
	name        string
	role        string
	zone        types.Zone
	ip          string // where it listens, and from where it calls
	addr        string // by which others reach it
	args        []string
	program     string
	incarnation int
	cmd         *exec.Cmd
	exited      chan struct{} // closed when the process has ended
	down        atomic.Bool
	frozen      atomic.Bool
}

// Fleet is the whole of them.
type Fleet struct {
	Deployment    deployment.Deployment
	Dir           string
	Bin           string // the coppercourse program
	Self          string // the trial program, for workers
	Port          int
	partitions    *Partitions
	processes     []*process
	processByName map[string]*process
	mu            sync.Mutex
	History       history.History
	ctx           context.Context
	start         time.Time
	client        *http.Client
}

// Start lays the fleet out and starts it.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx, f.partitions, f.processByName, f.start = ctx, NewPartitions(), map[string]*process{}, time.Now()
	f.client = &http.Client{Timeout: 2 * time.Second}
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return err
	}
	for i := range 3 {
		f.addDaemon("controller", i, "--data", filepath.Join(f.Dir, fmt.Sprintf("controller%d.data", i+1)))
	}
	for i := range 4 {
		f.addDaemon("gateway", i)
	}
	for i, m := range f.Deployment.Workers() {
		w := f.addDaemon("agent", i, "--shard", string(m.Shard))
		b, err := json.Marshal(m)
		if err != nil {
			return err
		}
		f.addProcess(&process{name: fmt.Sprintf("worker%d", i+1), role: "worker", zone: deployment.Small.Zone(i), ip: fmt.Sprintf("127.0.17.%d", i+1), program: f.Self,
			args: []string{"worker", "--agent", w.addr, "--source", fmt.Sprintf("127.0.17.%d", i+1), "--make", string(b)}})
	}
	for _, p := range f.processes {
		if p.role == "worker" {
			continue
		}
		if err := f.partitions.Relay(ctx, p.addr, fmt.Sprintf("%s:%d", p.ip, f.Port)); err != nil {
			return err
		}
	}
	for _, p := range f.processes {
		if err := f.launch(p); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addProcess(p *process) {
	f.processes = append(f.processes, p)
	f.processByName[p.name] = p
}

func (f *Fleet) addDaemon(role string, i int, more ...string) *process {
	part := map[string]int{"controller": 11, "gateway": 13, "agent": 15}[role]
	p := &process{name: fmt.Sprintf("%s%d", role, i+1), role: role, zone: deployment.Small.Zone(i), ip: fmt.Sprintf("127.0.%d.%d", part, i+1),
		addr: fmt.Sprintf("127.0.%d.%d:%d", part+1, i+1, f.Port), program: f.Bin}
	seed := func(part int) string { return fmt.Sprintf("127.0.%d.1:%d", part, f.Port) }
	p.args = append([]string{role, "--listen", fmt.Sprintf("%s:%d", p.ip, f.Port), "--address", p.addr, "--source", p.ip,
		"--locality", string(p.zone), "--seed", seed(12), "--seed", seed(14), "--seed", seed(16)}, more...)
	f.addProcess(p)
	return p
}

// launch starts a process; its log and, for a worker, its history go to files.
func (f *Fleet) launch(p *process) error {
	p.incarnation++
	args := p.args
	log, err := os.OpenFile(filepath.Join(f.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	if p.role == "worker" {
		args = append(args[:len(args):len(args)], "--id", f.processID(p), "--history", filepath.Join(f.Dir, p.name+".history"))
	}
	p.cmd = exec.Command(p.program, args...)
	p.cmd.Stderr, p.cmd.Stdout = log, log
	p.down.Store(false)
	p.frozen.Store(false)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd, gone := p.cmd, make(chan struct{})
	p.exited = gone
	go func() {
		cmd.Wait()
		close(gone)
	}()
	return nil
}

func (f *Fleet) processID(p *process) string { return fmt.Sprintf("%s.%d", p.name, p.incarnation) }

// Record adds to the history what the fleet itself sees.
func (f *Fleet) Record(h history.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.At = time.Since(f.start).Nanoseconds()
	f.History.Add(h)
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

func (f *Fleet) kill(p *process) {
	p.signal(syscall.SIGKILL)
	p.down.Store(true)
	f.Record(history.Event{Kind: history.DaemonStopped, Process: p.addr})
	if p.role == "worker" {
		f.Record(history.Event{Kind: history.WorkerDied, Process: f.processID(p), Shard: f.shard(p)})
	}
}

func (f *Fleet) shard(p *process) types.Shard {
	var i int
	fmt.Sscanf(p.name, "worker%d", &i)
	return types.Shard(fmt.Sprintf("k%d", i))
}

func (f *Fleet) freeze(p *process, on bool) {
	what, sig := history.WorkerFroze, syscall.SIGSTOP
	if !on {
		what, sig = history.WorkerThawed, syscall.SIGCONT
	}
	if p.role == "worker" && !on {
		f.Record(history.Event{Kind: what, Process: f.processID(p), Shard: f.shard(p)})
	}
	p.signal(sig)
	if p.role == "worker" && on {
		f.Record(history.Event{Kind: what, Process: f.processID(p), Shard: f.shard(p)})
	}
	p.frozen.Store(on)
}

// Stop stops all processes of the fleet, and only those.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
	}
}

// gatherHistories reads the workers' histories into the fleet's, in order of time.
func (f *Fleet) gatherHistories() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.role != "worker" {
			continue
		}
		file, err := os.Open(filepath.Join(f.Dir, p.name+".history"))
		if err != nil {
			return err
		}
		in := bufio.NewScanner(file)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			var h history.Event
			if json.Unmarshal(in.Bytes(), &h) != nil {
				continue
			}
			h.At -= f.start.UnixNano()
			f.History.Add(h)
		}
		file.Close()
	}
	sort.SliceStable(f.History.Events, func(i, k int) bool { return f.History.Events[i].At < f.History.Events[k].At })
	return nil
}

// ask gets a daemon's page straight from it, round the relays.
func (f *Fleet) getPage(p *process, path string, v any) error {
	res, err := f.client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, f.Port, path))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != 200 {
		return fmt.Errorf("%s", res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// leader finds who leads by the controllers' own pages, to aim faults.
func (f *Fleet) leader() *process {
	var best *process
	var term uint64
	for _, p := range f.withRole("controller") {
		var v struct {
			Part string `json:"part"`
			Term uint64 `json:"term"`
		}
		if !p.down.Load() && !p.frozen.Load() && f.getPage(p, "/v1/status", &v) == nil && v.Part == "leader" && v.Term > term {
			best, term = p, v.Term
		}
	}
	return best
}

func (f *Fleet) withRole(role string) (list []*process) {
	for _, p := range f.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return
}

// AwaitReady waits until all daemons say that they are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		n := 0
		for _, p := range f.processes {
			var v any
			if p.role != "worker" && f.getPage(p, "/ready", &v) == nil {
				n++
			}
		}
		if n == 18 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the fleet is not ready after %s; see the logs in %s", limit, f.Dir)
}
