package fleet

import (
	"fmt"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

// ScheduledFault is one fault of a scenario.
type ScheduledFault struct {
	Name     string
	At       time.Duration // from the start of the traffic
	Duration time.Duration
}

// ParseFaults parses a comma-separated list of faults in the form name@at+duration.
func ParseFaults(text string) ([]ScheduledFault, error) {
	var list []ScheduledFault
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		fault, ok := parseFault(word)
		if !ok {
			return nil, fmt.Errorf("fault %q: want name@at+duration, where name is one of: %s; "+
				"or kill:P, freeze:P, wipe:P, cut:P, cut:P:Q, "+
				"where P and Q are controller1 to 3, gateway1 to 4, agent1 to 11, worker1 to 11",
				word, strings.Join(FaultNames(), ", "))
		}
		list = append(list, fault)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].At < list[k].At })
	return list, nil
}

func parseFault(word string) (ScheduledFault, bool) {
	name, times, ok := strings.Cut(word, "@")
	at, duration, hasDuration := strings.Cut(times, "+")
	if !ok || !hasDuration || lookupFault(name) == nil {
		return ScheduledFault{}, false
	}
	fault := ScheduledFault{Name: name}
	var err, err2 error
	fault.At, err = time.ParseDuration(at)
	fault.Duration, err2 = time.ParseDuration(duration)
	return fault, err == nil && err2 == nil
}

// FaultNames returns the sorted names of the faults that select their own targets.
func FaultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// fault starts a fault and returns the function that ends it.
type fault func(f *Fleet, w *Workload) (end func())

// targetPicker selects the processes that a fault affects.
type targetPicker func(f *Fleet, w *Workload) []*process

// faults maps names to the faults that select their own targets.
var faults = map[string]fault{
	"kill-leader":     killFault(currentLeader, false),
	"kill-controller": killFault(randomWithRole(controllerRole), false),
	"kill-core":       killFault(allWithRole(controllerRole), false),
	"wipe-controller": killFault(randomWithRole(controllerRole), true),
	"kill-gateway":    killFault(randomWithRole(gatewayRole), false),
	"kill-agent":      killFault(randomWithRole(agentRole), false),
	"kill-worker":     killFault(randomWithRole(workerRole), false),
	"kill-machine":    killFault(randomMachine, false),
	"freeze-leader":   pauseFault(currentLeader),
	"freeze-agent":    pauseFault(randomWithRole(agentRole)),
	"freeze-worker":   pauseFault(randomWithRole(workerRole)),
	"freeze-machine":  pauseFault(randomMachine),
	"cut-zone":        partitionFault(randomZone, anyProcess),
	"cut-leader":      partitionFault(currentLeader, anyProcess),
	"cut-core":        partitionFault(currentLeader, isController),
	"cut-agent":       partitionFault(randomWithRole(agentRole), anyProcess),
	"cut-worker":      partitionFault(randomWithRole(workerRole), anyProcess),
	"stop-leader":     restartLeader,

	"restart-leader":     restartFault(currentLeader),
	"restart-controller": restartFault(randomWithRole(controllerRole)),
	"restart-gateway":    restartFault(randomWithRole(gatewayRole)),
	"restart-agent":      restartFault(randomWithRole(agentRole)),

	"roll-all": restartAll,
}

// lookupFault returns the fault with the given name, or nil if there is none. The name is a key of
// faults, or KIND:PROCESS or cut:PROCESS:OTHER for a fault that affects the named process.
func lookupFault(name string) fault {
	kind, rest, ok := strings.Cut(name, ":")
	if !ok {
		return faults[name]
	}
	names := strings.Split(rest, ":")
	if !slices.ContainsFunc(names, func(n string) bool { return !isProcessName(n) }) {
		return namedTargetFault(kind, names)
	}
	return nil
}

// namedTargetFault returns a fault of the given kind that affects the first of the named processes.
// A partition separates it from the second, if there is one, or else from all others.
func namedTargetFault(kind string, names []string) fault {
	first := func(f *Fleet, _ *Workload) []*process { return []*process{f.processByName[names[0]]} }
	if kind == "cut" && len(names) == 2 {
		return partitionFault(first, func(p *process) bool { return p.name == names[1] })
	}
	if len(names) != 1 {
		return nil
	}
	switch kind {
	case "kill":
		return killFault(first, false)
	case "wipe":
		return killFault(first, true)
	case "freeze":
		return pauseFault(first)
	case "cut":
		return partitionFault(first, anyProcess)
	}
	return nil
}

// isProcessName reports whether a fleet has a process with this name.
func isProcessName(name string) bool {
	size := deployment.Small
	counts := map[string]int{
		controllerRole: size.Controllers,
		gatewayRole:    size.Gateways,
		agentRole:      size.Workers,
		workerRole:     size.Workers,
	}
	role := strings.TrimRight(name, "0123456789")
	i, err := strconv.Atoi(name[len(role):])
	return err == nil && i >= 1 && i <= counts[role]
}

// claim returns those of the processes that no other fault signals at the moment, and reserves them
// until release.
func claim(list []*process) (claimed []*process) {
	for _, p := range list {
		if p.affected.CompareAndSwap(false, true) {
			claimed = append(claimed, p)
		}
	}
	return claimed
}

func release(claimed []*process) {
	for _, p := range claimed {
		p.affected.Store(false)
	}
}

// restartFault restarts processes with SIGTERM while other faults go on. The end of the fault waits
// for the restarts.
func restartFault(pick targetPicker) fault {
	return func(f *Fleet, w *Workload) func() {
		affected := claim(pick(f, w))
		var restarts sync.WaitGroup
		for _, p := range affected {
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				f.restart(p)
			}()
		}
		return func() {
			restarts.Wait()
			release(affected)
		}
	}
}

// killFault kills processes and restarts them when the fault ends. If wipe is set, it deletes their
// data before the restart.
func killFault(pick targetPicker, wipe bool) fault {
	return func(f *Fleet, w *Workload) func() {
		affected := claim(pick(f, w))
		for _, p := range affected {
			f.kill(p)
		}
		return func() {
			for _, p := range affected {
				if wipe {
					os.RemoveAll(p.dataPath(f.Dir))
				}
				f.launch(p)
			}
			release(affected)
		}
	}
}

// pauseFault pauses processes with SIGSTOP and resumes them when the fault ends.
func pauseFault(pick targetPicker) fault {
	return func(f *Fleet, w *Workload) func() {
		affected := claim(pick(f, w))
		for _, p := range affected {
			f.pause(p)
		}
		return func() {
			for _, p := range affected {
				f.resume(p)
			}
			release(affected)
		}
	}
}

// partitionFault partitions processes in both directions from the other processes that from selects.
func partitionFault(pick targetPicker, from func(*process) bool) fault {
	return func(f *Fleet, w *Workload) func() {
		affected := pick(f, w)
		setBlocked := func(blocked bool) {
			for _, inside := range affected {
				for _, outside := range f.processes {
					if !slices.Contains(affected, outside) && from(outside) {
						f.partitions.Set(inside.ip, outside.ip, blocked)
						f.partitions.Set(outside.ip, inside.ip, blocked)
					}
				}
			}
		}
		setBlocked(true)
		return func() { setBlocked(false) }
	}
}

func anyProcess(*process) bool { return true }

func isController(p *process) bool { return p.role == controllerRole }

func currentLeader(f *Fleet, _ *Workload) []*process {
	if p := f.leader(); p != nil {
		return []*process{p}
	}
	return nil
}

func randomWithRole(role string) targetPicker {
	return func(f *Fleet, w *Workload) []*process {
		list := f.withRole(role)
		return []*process{list[w.randomInt(len(list))]}
	}
}

func allWithRole(role string) targetPicker {
	return func(f *Fleet, _ *Workload) []*process { return f.withRole(role) }
}

func randomZone(f *Fleet, w *Workload) []*process {
	zone := f.Deployment.Size.Zone(w.randomInt(f.Deployment.Size.Zones))
	var list []*process
	for _, p := range f.processes {
		if p.zone == zone {
			list = append(list, p)
		}
	}
	return list
}

// randomMachine picks an agent and the worker on the same machine.
func randomMachine(f *Fleet, w *Workload) []*process {
	i := w.randomInt(f.Deployment.Size.Workers)
	return []*process{f.processByName[processName(agentRole, i)], f.processByName[processName(workerRole, i)]}
}

func restartLeader(f *Fleet, w *Workload) func() {
	for _, p := range currentLeader(f, w) {
		f.restart(p)
	}
	return func() {}
}

// restartAll restarts all daemons one by one and waits after each until the fleet is ready.
func restartAll(f *Fleet, _ *Workload) func() {
	for _, role := range []string{controllerRole, gatewayRole, agentRole} {
		for _, p := range f.withRole(role) {
			f.restart(p)
			f.AwaitReady(10 * time.Second)
		}
	}
	return func() {}
}

// gracefulStopTimeout is the time from SIGTERM to SIGKILL when a daemon is restarted.
const gracefulStopTimeout = 6 * time.Second

// restart stops a daemon with SIGTERM, as the platform does, and starts it again.
func (f *Fleet) restart(p *process) {
	p.restarting.Store(true)
	defer p.restarting.Store(false)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(gracefulStopTimeout):
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	f.Record(history.Event{Kind: history.DaemonStopped, Process: p.address})
	f.launch(p)
}

// launch starts a process again. A failure to start is only printed, since it shows in the traffic.
func (f *Fleet) launch(p *process) {
	if err := p.launch(f.Dir); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
	}
}

func (f *Fleet) kill(p *process) {
	p.down.Store(true) // before the signal: a request that this drops must not count
	p.signal(syscall.SIGKILL)
	f.Record(history.Event{Kind: history.DaemonStopped, Process: p.address})
	if p.role == workerRole {
		f.recordWorker(history.WorkerDied, p)
	}
}

// pause suspends a process with SIGSTOP. The event of a worker is recorded after the signal, so that the
// history never shows it paused too early.
func (f *Fleet) pause(p *process) {
	p.signal(syscall.SIGSTOP)
	if p.role == workerRole {
		f.recordWorker(history.WorkerPaused, p)
	}
	p.paused.Store(true)
}

// resume continues a process with SIGCONT. The event of a worker is recorded before the signal, so that the
// history never shows it paused too long.
func (f *Fleet) resume(p *process) {
	if p.role == workerRole {
		f.recordWorker(history.WorkerResumed, p)
	}
	p.signal(syscall.SIGCONT)
	p.paused.Store(false)
}
