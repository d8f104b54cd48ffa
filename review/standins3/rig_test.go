//go:build review

package standins3

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names that the platform gives to the parts of the deployment.
const (
	serviceName = "huvo11a"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	kindLabel   = "a"
)

// Figures of the deployment, those of the small site kpfsa-orders.
const (
	beatInterval = 1500 * time.Millisecond
	maxHold      = 6 * time.Second
)

var zones = []string{"hwt-hall", "crossroads", "parade-hall"}

// Offsets of the ports of a machine from the first one.
const (
	portFront = iota
	portReady
	portControl
	portApp
	portInnerFirst
	portInnerLast = portInnerFirst + 15
	portCount     = portInnerLast + 1
)

// machine is one machine of the deployment, at a loopback address of its own.
type machine struct {
	name, zone, ip string
	hasDisk        bool
}

// process is one process of the project.
type process struct {
	machine *machine
	role    string
	command *exec.Cmd
}

// rig is a running deployment with its stand-ins.
type rig struct {
	trouble   bool
	tenantKey string // that clients send; empty for a deployment without tenants
	longJobs  bool   // the route has the queue of long jobs
	startedAt time.Time
	folder    string // temporary
	basePort  int
	fronts    []*machine
	sides     []*machine
	workers   []*worker

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closed    bool
	starts    []start        // accepted by any worker
	jobs      map[string]job // that were handed in with submit
}

// start is a start that a worker has accepted, and the end of the run.
type start struct {
	worker  string
	task    string
	runID   int
	at      time.Duration // since the rig's start
	endedAt time.Duration // 0 while it runs
	how     string
}

func newRig(recordPath string, trouble bool) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	return &rig{
		trouble: trouble, startedAt: time.Now(), folder: folder, record: record, jobs: map[string]job{},
	}, nil
}

// since returns the time since the rig's start.
func (r *rig) since() time.Duration { return time.Since(r.startedAt) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the rig started and removes its files.
func (r *rig) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.command.Process.Signal(syscall.SIGCONT)
		p.command.Process.Kill()
	}
	for _, p := range processes {
		p.command.Wait()
	}
	for _, w := range r.workers {
		w.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(r.folder)
	}
	r.record.Close()
}

// racks lists how many workers each rack has: three a rack.
func racks(workers int) []string {
	var names []string
	for i := range workers {
		names = append(names, fmt.Sprintf("r1-%d", i/3+1))
	}
	return names
}

// deploy starts the machines: one with a disk in each zone, one more front in the first zone, and
// the given number of workers with their agents, over all zones in turn.
func (r *rig) deploy(workers int) {
	network := 16 + rand.Intn(200)
	address := func(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", network, zone+1, n) }
	for i, zone := range zones {
		r.fronts = append(r.fronts, &machine{"front-" + zone + "-1", zone, address(i, 10), true})
	}
	r.fronts = append(r.fronts, &machine{"front-" + zones[0] + "-2", zones[0], address(0, 11), false})
	for i := range workers {
		zone := i % len(zones)
		name := fmt.Sprintf("side-%s-%d", zones[zone], i/len(zones)+1)
		r.sides = append(r.sides, &machine{name, zones[zone], address(zone, 20+i), false})
	}
	r.basePort = r.freePorts()
	rackNames := racks(workers)
	for i, side := range r.sides {
		r.workers = append(r.workers, newWorker(r, side, rackNames[i]))
	}
	for _, front := range r.fronts {
		if front.hasDisk {
			r.startProcess(front, "controller")
		}
		r.startProcess(front, "gateway")
	}
	for i, side := range r.sides {
		r.startProcess(side, "agent")
		r.workers[i].start()
	}
}

// freePorts returns the first of portCount ports that are free on all machines.
func (r *rig) freePorts() int {
	for range 50 {
		base := 20000 + rand.Intn(10000)
		if r.portsAreFree(base) {
			return base
		}
	}
	panic("no free ports")
}

func (r *rig) portsAreFree(base int) bool {
	for _, m := range append(append([]*machine{}, r.fronts...), r.sides...) {
		for offset := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, base+offset))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// addr returns the address of a port of a machine.
func (r *rig) addr(m *machine, offset int) string {
	return fmt.Sprintf("%s:%d", m.ip, r.basePort+offset)
}

// settings returns the settings file of a role on a machine.
func (r *rig) settings(m *machine, role string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves, share, memory, disk := "front", []string{"front"}, 0.4, 284, 0
	switch role {
	case "controller":
		serves = []string{"control"}
	case "agent":
		class, serves, share, memory = "side", []string{"side"}, 0.24, 152
	}
	if m.hasDisk {
		share, disk = 0.8, 128
	}
	line("nodeName: %q", m.name)
	line("role: %q", role)
	line("machineClass: %q", class)
	line("serves:")
	for _, s := range serves {
		line("  - %q", s)
	}
	line("ip: %q", m.ip)
	line("zone: %q", m.zone)
	line("region: \"corporate\"")
	line("zones:")
	for _, zone := range zones {
		line("  %s: \"corporate\"", zone)
	}
	line("listenAddrs:")
	switch role {
	case "gateway":
		line("  front: %q", r.addr(m, portFront))
		line("  readiness: %q", r.addr(m, portReady))
	default:
		line("  control: %q", r.addr(m, portControl))
	}
	line("innerPortRange:\n  - %d\n  - %d", r.basePort+portInnerFirst, r.basePort+portInnerLast)
	line("seedList:")
	for _, front := range r.fronts[:len(zones)] {
		line("  - %q", r.addr(front, portControl))
	}
	line("firstStart: true")
	line("lossCounted: %v", m.hasDisk)
	line("limits:\n  cpuShare: %v\n  cores: 1\n  memoryMb: %d\n  fdLimit: 4100\n  linkMbps: 1000.0\n  diskMb: %d",
		share, memory, disk)
	if role == "controller" {
		line("dataDir: %q", filepath.Join(r.folder, m.name))
	} else {
		line("dataDir: null")
	}
	line("discovery: \"local\"\nentry: \"virtual_ip\"\nbeatMs: %d", beatInterval.Milliseconds())
	line("contractsInForce: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\"]")
	line("lossTolerance:\n  machines: 1\n  zones: 0\n  regions: 0")
	line("bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6,")
	line("  lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250, stretchMaxMs: 5000, recoveryS: 12,")
	line("  holdLimitMs: 6000, stopGraceMs: 400, gangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250,")
	if r.tenantKey != "" {
		line("  revocationClosed: false, revokeMs: 5000, quotaWindowS: 5, quotaExcess: 0.1, quotaSlack: 20,")
	}
	line("  finish_s: 14, status_s: 120, spreadFactor: 1.5, checkpointS: 2, restoreMs: 600}")
	line("commands: \"invocation\"")
	if role == "agent" {
		line("app: %q\nservice: %q", r.addr(m, portApp), serviceName)
	}
	return b.String()
}

// startProcess starts the process of a role with the command of the deploy file.
func (r *rig) startProcess(m *machine, role string) {
	path := filepath.Join(r.folder, m.name+"-"+role+".yaml")
	if err := os.WriteFile(path, []byte(r.settings(m, role)), 0o600); err != nil {
		panic(err)
	}
	log, err := os.Create(filepath.Join(r.folder, m.name+"-"+role+".log"))
	if err != nil {
		panic(err)
	}
	defer log.Close()
	command := exec.Command("target/coppercourse", "platform", role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COPPERCOURSE_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.processes = append(r.processes, &process{machine: m, role: role, command: command})
	r.mu.Unlock()
}

// jobOf returns the job of a task, as it was handed in.
func (r *rig) jobOf(task string) job {
	id, _, _ := strings.Cut(task, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// startsOf returns the starts of a job's tasks, in order.
func (r *rig) startsOf(job string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}
