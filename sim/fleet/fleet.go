package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"coppercourse/internal/wire"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

// Third octets of the loopback addresses 127.0.x.y of the processes. The relay of a daemon listens
// on the next higher third octet.
const (
	controllerSubnet = 11
	gatewaySubnet    = 13
	agentSubnet      = 15
	workerSubnet     = 17
)

const (
	statusRequestTimeout  = 2 * time.Second
	readinessPollInterval = 100 * time.Millisecond // between two readiness checks of all daemons
	stopGracePeriod       = time.Second            // from SIGTERM to SIGKILL when the fleet stops
	maxEventBytes         = 1 << 20                // maximum length of a line in a worker's history file
)

// Fleet is the set of processes of a deployment with polling workers.
type Fleet struct {
	Deployment deployment.Deployment
	Dir        string // holds logs, data and histories
	Bin        string // path of the coppercourse program
	WorkerBin  string // path of the program that calls RunWorkerProcess
	Port       int    // on which all daemons and relays listen

	ctx           context.Context
	startedAt     time.Time
	client        *http.Client
	partitions    *Partitions
	processes     []*process
	processByName map[string]*process

	mu      sync.Mutex
	history history.History // guarded by mu until the scenario has ended
}

// Start starts the relays and the processes.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx, f.startedAt = ctx, time.Now()
	f.client = &http.Client{Timeout: statusRequestTimeout}
	f.partitions, f.processByName = NewPartitions(), map[string]*process{}
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return err
	}
	if err := f.defineProcesses(); err != nil {
		return err
	}
	for _, p := range f.daemons() {
		if err := f.partitions.Relay(ctx, p.address, f.listenAddress(p)); err != nil {
			return fmt.Errorf("relay for %s: %w", p.name, err)
		}
	}
	for _, p := range f.processes {
		if err := p.launch(f.Dir); err != nil {
			return err
		}
	}
	return nil
}

// defineProcesses adds all processes of the deployment without starting them.
func (f *Fleet) defineProcesses() error {
	for i := range f.Deployment.Size.Controllers {
		p := f.addDaemon(controllerRole, controllerSubnet, i)
		p.args = append(p.args, "--data", p.dataPath(f.Dir))
	}
	for i := range f.Deployment.Size.Gateways {
		f.addDaemon(gatewayRole, gatewaySubnet, i)
	}
	for i, spec := range f.Deployment.Workers() {
		agent := f.addDaemon(agentRole, agentSubnet, i)
		agent.args = append(agent.args, "--shard", string(spec.Shard))
		b, err := json.Marshal(spec)
		if err != nil {
			return err
		}
		ip := processIP(workerSubnet, i)
		f.addProcess(&process{
			name:    processName(workerRole, i),
			role:    workerRole,
			zone:    f.Deployment.Size.Zone(i),
			ip:      ip,
			program: f.WorkerBin,
			args:    []string{"worker", "--agent", agent.address, "--source", ip, "--make", string(b)},
		})
	}
	return nil
}

// ProcessCount returns how many processes the fleet has.
func (f *Fleet) ProcessCount() int { return len(f.processes) }

func processName(role string, i int) string { return role + strconv.Itoa(i+1) }

func processIP(net, i int) string { return fmt.Sprintf("127.0.%d.%d", net, i+1) }

func (f *Fleet) addProcess(p *process) {
	f.processes = append(f.processes, p)
	f.processByName[p.name] = p
}

// addDaemon adds a daemon whose address is that of its relay.
func (f *Fleet) addDaemon(role string, net, i int) *process {
	p := &process{
		name:    processName(role, i),
		role:    role,
		zone:    f.Deployment.Size.Zone(i),
		ip:      processIP(net, i),
		address: f.relayAddress(net, i),
		program: f.Bin,
	}
	p.args = []string{role, "--listen", f.listenAddress(p), "--address", p.address, "--source", p.ip,
		"--locality", string(p.zone)}
	for _, seedSubnet := range []int{controllerSubnet, gatewaySubnet, agentSubnet} {
		p.args = append(p.args, "--seed", f.relayAddress(seedSubnet, 0))
	}
	f.addProcess(p)
	return p
}

func (f *Fleet) listenAddress(p *process) string { return fmt.Sprintf("%s:%d", p.ip, f.Port) }

func (f *Fleet) relayAddress(net, i int) string {
	return fmt.Sprintf("%s:%d", processIP(net+1, i), f.Port)
}

// daemons returns all processes except the workers.
func (f *Fleet) daemons() []*process {
	var list []*process
	for _, p := range f.processes {
		if p.role != workerRole {
			list = append(list, p)
		}
	}
	return list
}

// withRole returns the processes with the given role.
func (f *Fleet) withRole(role string) []*process {
	var list []*process
	for _, p := range f.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// AwaitReady waits until all daemons report that they are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	daemons := f.daemons()
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(readinessPollInterval) {
		ready := 0
		for _, p := range daemons {
			if f.isReady(p) {
				ready++
			}
		}
		if ready == len(daemons) {
			return nil
		}
	}
	return fmt.Errorf("the fleet is not ready after %s; see the logs in %s", timeout, f.Dir)
}

// Stop sends SIGTERM to all processes, and SIGKILL after stopGracePeriod, and waits until they are
// gone, so that another fleet may use their addresses. It resumes paused processes first, so that
// they can handle SIGTERM.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	time.Sleep(stopGracePeriod)
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
		if p.exited != nil {
			<-p.exited
		}
	}
}

// getJSON requests a path of a daemon directly, bypassing its relay, and decodes the response.
func (f *Fleet) getJSON(p *process, path string, page any) error {
	res, err := f.client.Get("http://" + f.listenAddress(p) + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", p.name, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(page)
}

func (f *Fleet) isReady(p *process) bool {
	var page any
	return f.getJSON(p, "/ready", &page) == nil
}

// leader returns the controller that reports itself as leader with the highest term, or nil.
func (f *Fleet) leader() *process {
	var leader *process
	var term uint64
	for _, p := range f.withRole(controllerRole) {
		var status struct {
			Part string `json:"part"`
			Term uint64 `json:"term"`
		}
		if !p.isRunning() || f.getJSON(p, "/v1/status", &status) != nil {
			continue
		}
		if status.Part == "leader" && status.Term > term {
			leader, term = p, status.Term
		}
	}
	return leader
}

// Record adds an event to the history with the current time.
func (f *Fleet) Record(event history.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	event.At = time.Since(f.startedAt).Nanoseconds()
	f.history.Add(event)
}

// recordWorker records an event of a worker process.
func (f *Fleet) recordWorker(kind history.Kind, p *process) {
	f.Record(history.Event{Kind: kind, Process: p.incarnationID(), Shard: p.shard()})
}

// loadHistories merges the workers' history files into the history, ordered by time.
func (f *Fleet) loadHistories() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.withRole(workerRole) {
		if err := f.loadHistory(p.historyPath(f.Dir)); err != nil {
			return err
		}
	}
	events := f.history.Events
	sort.SliceStable(events, func(i, k int) bool { return events[i].At < events[k].At })
	return nil
}

// saveHistory writes the history as a JSON document for each event, one on a line.
func (f *Fleet) saveHistory(path string) error {
	var lines bytes.Buffer
	for _, event := range f.history.Events {
		lines.Write(wire.EncodeBody(event))
		lines.WriteByte('\n')
	}
	return os.WriteFile(path, lines.Bytes(), 0o644)
}

func (f *Fleet) loadHistory(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var event history.Event
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue // incomplete line of a killed process
		}
		event.At -= f.startedAt.UnixNano()
		f.history.Add(event)
	}
	return lines.Err()
}
