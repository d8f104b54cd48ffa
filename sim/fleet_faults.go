// A fleet's day: traffic, faults at set times, and the account at its end.
package sim

import (
	"coppercourse/sim/checker"
	"coppercourse/sim/history"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ScheduledFault is one fault of a day: its name, when it comes, and how long it lasts.
type ScheduledFault struct {
	Name     string
	At       time.Duration
	Duration time.Duration
}

// ParseFaults reads faults as name@at+long, by comma.
func ParseFaults(s string) (list []ScheduledFault, err error) {
	for _, one := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		name, rest, ok := strings.Cut(one, "@")
		at, long, ok2 := strings.Cut(rest, "+")
		e := ScheduledFault{Name: name}
		if ok && ok2 {
			if e.At, err = time.ParseDuration(at); err == nil {
				e.Duration, err = time.ParseDuration(long)
			}
		}
		if !ok || !ok2 || err != nil || findFault(name) == nil {
			return nil, fmt.Errorf("fault %q: want name@at+long, with a name of: %s; or kill:P, freeze:P, wipe:P, cut:P, cut:P:Q, "+
				"where P and Q are controller1 to 3, gateway1 to 4, agent1 to 11, worker1 to 11", one, strings.Join(FleetFaultNames(), ", "))
		}
		list = append(list, e)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].At < list[k].At })
	return
}

// FleetFaultNames lists the faults a fleet knows.
func FleetFaultNames() (list []string) {
	for n := range fleetFaults {
		list = append(list, n)
	}
	sort.Strings(list)
	return
}

type fleetFault func(f *Fleet, s *Workload) (end func())

var processCounts = map[string]int{"controller": 3, "gateway": 4, "agent": 11, "worker": 11}

// findFault gives a fault by its name, or one aimed at named processes.
func findFault(name string) fleetFault {
	kind, rest, ok := strings.Cut(name, ":")
	if !ok {
		return fleetFaults[name]
	}
	names := strings.Split(rest, ":")
	for _, n := range names {
		role := strings.TrimRight(n, "0123456789")
		if i, err := strconv.Atoi(n[len(role):]); err != nil || i < 1 || i > processCounts[role] {
			return nil
		}
	}
	first := func(f *Fleet, _ *Workload) []*process { return []*process{f.processByName[names[0]]} }
	switch {
	case kind == "cut" && len(names) == 2:
		return partitionProcesses(first, func(f *Fleet, p *process) bool { return p.name == names[1] })
	case len(names) != 1:
		return nil
	}
	return map[string]fleetFault{"kill": killProcesses(first, false), "wipe": killProcesses(first, true), "freeze": freezeProcesses(first), "cut": partitionProcesses(first, everyProcess)}[kind]
}

func killProcesses(pick func(*Fleet, *Workload) []*process, wipe bool) fleetFault {
	return func(f *Fleet, s *Workload) func() {
		list := pick(f, s)
		for _, p := range list {
			f.kill(p)
		}
		return func() {
			for _, p := range list {
				if wipe {
					os.RemoveAll(filepath.Join(f.Dir, p.name+".data"))
				}
				f.launch(p)
			}
		}
	}
}

func freezeProcesses(pick func(*Fleet, *Workload) []*process) fleetFault {
	return func(f *Fleet, s *Workload) func() {
		list := pick(f, s)
		for _, p := range list {
			f.freeze(p, true)
		}
		return func() {
			for _, p := range list {
				f.freeze(p, false)
			}
		}
	}
}

// partitionProcesses cuts the picked processes from all others, or from some.
func partitionProcesses(pick func(*Fleet, *Workload) []*process, from func(*Fleet, *process) bool) fleetFault {
	return func(f *Fleet, s *Workload) func() {
		in := map[*process]bool{}
		for _, p := range pick(f, s) {
			in[p] = true
		}
		set := func(on bool) {
			for _, a := range f.processes {
				for _, b := range f.processes {
					if in[a] && !in[b] && from(f, b) {
						f.partitions.Set(a.ip, b.ip, on)
						f.partitions.Set(b.ip, a.ip, on)
					}
				}
			}
		}
		set(true)
		return func() { set(false) }
	}
}

func currentLeader(f *Fleet, _ *Workload) []*process {
	if p := f.leader(); p != nil {
		return []*process{p}
	}
	return nil
}

func oneOf(role string) func(*Fleet, *Workload) []*process {
	return func(f *Fleet, s *Workload) []*process {
		list := f.withRole(role)
		return []*process{list[s.randomInt(len(list))]}
	}
}

func zoneMembers(f *Fleet, s *Workload) (list []*process) {
	z := ZoneOf(s.randomInt(3))
	for _, p := range f.processes {
		if p.zone == z {
			list = append(list, p)
		}
	}
	return
}

func anyMachine(f *Fleet, s *Workload) []*process {
	i := s.randomInt(11) + 1
	return []*process{f.processByName[fmt.Sprintf("agent%d", i)], f.processByName[fmt.Sprintf("worker%d", i)]}
}

func controllers(f *Fleet, _ *Workload) []*process { return f.withRole("controller") }

func everyProcess(*Fleet, *process) bool     { return true }
func isController(_ *Fleet, p *process) bool { return p.role == "controller" }

// restartProcess warns a process, as the platform does, and starts it again.
func restartProcess(f *Fleet, p *process) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
	}
	p.signal(syscall.SIGKILL)
	f.Record(history.Event{Kind: history.DaemonStopped, Process: p.addr})
	f.launch(p)
}

var fleetFaults = map[string]fleetFault{
	"kill-leader":     killProcesses(currentLeader, false),
	"kill-controller": killProcesses(oneOf("controller"), false),
	"kill-core":       killProcesses(controllers, false),
	"wipe-controller": killProcesses(oneOf("controller"), true),
	"kill-gateway":    killProcesses(oneOf("gateway"), false),
	"kill-agent":      killProcesses(oneOf("agent"), false),
	"kill-worker":     killProcesses(oneOf("worker"), false),
	"kill-machine":    killProcesses(anyMachine, false),
	"freeze-leader":   freezeProcesses(currentLeader),
	"freeze-agent":    freezeProcesses(oneOf("agent")),
	"freeze-worker":   freezeProcesses(oneOf("worker")),
	"freeze-machine":  freezeProcesses(anyMachine),
	"cut-zone":        partitionProcesses(zoneMembers, everyProcess),
	"cut-leader":      partitionProcesses(currentLeader, everyProcess),
	"cut-core":        partitionProcesses(currentLeader, isController),
	"cut-agent":       partitionProcesses(oneOf("agent"), everyProcess),
	"cut-worker":      partitionProcesses(oneOf("worker"), everyProcess),
	"stop-leader": func(f *Fleet, s *Workload) func() {
		for _, p := range currentLeader(f, s) {
			restartProcess(f, p)
		}
		return func() {}
	},
	"roll-all": func(f *Fleet, s *Workload) func() {
		for _, role := range []string{"controller", "gateway", "agent"} {
			for _, p := range f.withRole(role) {
				restartProcess(f, p)
				f.AwaitReady(10 * time.Second)
			}
		}
		return func() {}
	},
}

// RunDay runs the day: traffic for so long, with the events, then quiet.
func (f *Fleet) RunDay(s *Workload, duration time.Duration, list []ScheduledFault) error {
	from := time.Now()
	go s.WatchReadiness()
	for _, fl := range f.Deployment.Flows {
		go s.RunFlow(fl)
	}
	go s.RunRacingOperators()
	type ending struct {
		at time.Time
		do func()
	}
	var ends []ending
	wait := func(until time.Time) {
		for len(ends) > 0 && !ends[0].at.After(until) {
			time.Sleep(time.Until(ends[0].at))
			ends[0].do()
			f.Record(history.Event{Kind: history.FaultsHealed})
			ends = ends[1:]
		}
		time.Sleep(time.Until(until))
	}
	for _, e := range list {
		wait(from.Add(e.At))
		f.Record(history.Event{Kind: history.FaultStarted, Text: fmt.Sprintf("%s for %s", e.Name, e.Duration)})
		ends = append(ends, ending{time.Now().Add(e.Duration), findFault(e.Name)(f, s)})
		sort.Slice(ends, func(i, k int) bool { return ends[i].at.Before(ends[k].at) })
	}
	wait(from.Add(duration))
	if len(ends) > 0 {
		wait(ends[len(ends)-1].at)
	}
	if !s.Close(75 * time.Second) {
		return fmt.Errorf("jobs were still not seen ended 75 s after the traffic")
	}
	return nil
}

// Quantiles tells some of a list of times in ms.
func Quantiles(list []float64) string {
	if len(list) == 0 {
		return "none"
	}
	sort.Float64s(list)
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))] }
	return fmt.Sprintf("p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, most %.0f ms of %d", at(.5), at(.9), at(.99), list[len(list)-1], len(list))
}

// Report prints the day and gives its broken rules.
func (f *Fleet) Report(s *Workload) ([]checker.Violation, error) {
	end := time.Since(f.start).Nanoseconds()
	if err := f.gatherHistories(); err != nil {
		return nil, err
	}
	breaks, seen := checker.Check(&f.History, checker.DefaultBounds, end, 30*time.Second)
	for _, h := range f.History.Events {
		if h.Kind == history.RequestDropped {
			breaks = append(breaks, checker.Violation{Rule: "dropped", At: h.At,
				Detail: "a request that was read got no answer: " + h.Process + ": " + h.Text})
		}
	}
	fmt.Print(history.Timeline(&f.History))
	fmt.Printf("%s\n", history.Summary(&f.History))
	fmt.Printf("accepted after: %s\nseen done after: %s\n", Quantiles(s.AcceptTimes), Quantiles(s.DoneTimes))
	fmt.Printf("refusals on the way: %v\nchances the rules had:\n%v", s.Refusals, seen)
	return breaks, nil
}
