// A fleet's day: traffic, faults at set times, and the account at its end.
package sim

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Event is one fault of a day: its name, when it comes, and how long it lasts.
type Event struct {
	Name string
	At   time.Duration
	Long time.Duration
}

// ParseEvents reads faults as name@at+long, by comma.
func ParseEvents(s string) (list []Event, err error) {
	for _, one := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		name, rest, ok := strings.Cut(one, "@")
		at, long, ok2 := strings.Cut(rest, "+")
		e := Event{Name: name}
		if ok && ok2 {
			if e.At, err = time.ParseDuration(at); err == nil {
				e.Long, err = time.ParseDuration(long)
			}
		}
		if !ok || !ok2 || err != nil || find(name) == nil {
			return nil, fmt.Errorf("fault %q: want name@at+long, with a name of: %s; or kill:P, freeze:P, wipe:P, cut:P, cut:P:Q, "+
				"where P and Q are controller1 to 3, gateway1 to 4, agent1 to 11, worker1 to 11", one, strings.Join(DayNames(), ", "))
		}
		list = append(list, e)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].At < list[k].At })
	return
}

// DayNames lists the faults a fleet knows.
func DayNames() (list []string) {
	for n := range days {
		list = append(list, n)
	}
	sort.Strings(list)
	return
}

type day func(f *Fleet, s *Workload) (end func())

var counts = map[string]int{"controller": 3, "gateway": 4, "agent": 11, "worker": 11}

// find gives a fault by its name, or one aimed at named processes.
func find(name string) day {
	kind, rest, ok := strings.Cut(name, ":")
	if !ok {
		return days[name]
	}
	names := strings.Split(rest, ":")
	for _, n := range names {
		role := strings.TrimRight(n, "0123456789")
		if i, err := strconv.Atoi(n[len(role):]); err != nil || i < 1 || i > counts[role] {
			return nil
		}
	}
	first := func(f *Fleet, _ *Workload) []*proc { return []*proc{f.by[names[0]]} }
	switch {
	case kind == "cut" && len(names) == 2:
		return dayCut(first, func(f *Fleet, p *proc) bool { return p.name == names[1] })
	case len(names) != 1:
		return nil
	}
	return map[string]day{"kill": dayKill(first, false), "wipe": dayKill(first, true), "freeze": dayFreeze(first), "cut": dayCut(first, all)}[kind]
}

func dayKill(pick func(*Fleet, *Workload) []*proc, wipe bool) day {
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

func dayFreeze(pick func(*Fleet, *Workload) []*proc) day {
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

// dayCut cuts the picked processes from all others, or from some.
func dayCut(pick func(*Fleet, *Workload) []*proc, from func(*Fleet, *proc) bool) day {
	return func(f *Fleet, s *Workload) func() {
		in := map[*proc]bool{}
		for _, p := range pick(f, s) {
			in[p] = true
		}
		set := func(on bool) {
			for _, a := range f.procs {
				for _, b := range f.procs {
					if in[a] && !in[b] && from(f, b) {
						f.net.Cut(a.ip, b.ip, on)
						f.net.Cut(b.ip, a.ip, on)
					}
				}
			}
		}
		set(true)
		return func() { set(false) }
	}
}

func lead(f *Fleet, _ *Workload) []*proc {
	if p := f.leader(); p != nil {
		return []*proc{p}
	}
	return nil
}

func some(role string) func(*Fleet, *Workload) []*proc {
	return func(f *Fleet, s *Workload) []*proc {
		list := f.of(role)
		return []*proc{list[s.chance(len(list))]}
	}
}

func zoneMembers(f *Fleet, s *Workload) (list []*proc) {
	z := ZoneOf(s.chance(3))
	for _, p := range f.procs {
		if p.zone == z {
			list = append(list, p)
		}
	}
	return
}

func machine(f *Fleet, s *Workload) []*proc {
	i := s.chance(11) + 1
	return []*proc{f.by[fmt.Sprintf("agent%d", i)], f.by[fmt.Sprintf("worker%d", i)]}
}

func controllers(f *Fleet, _ *Workload) []*proc { return f.of("controller") }

func all(*Fleet, *proc) bool              { return true }
func isController(_ *Fleet, p *proc) bool { return p.role == "controller" }

// restart warns a process, as the platform does, and starts it again.
func restart(f *Fleet, p *proc) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.gone:
	case <-time.After(6 * time.Second):
	}
	p.signal(syscall.SIGKILL)
	f.Tell(HistoryEvent{What: Down, Who: p.addr})
	f.launch(p)
}

var days = map[string]day{
	"kill-leader":     dayKill(lead, false),
	"kill-controller": dayKill(some("controller"), false),
	"kill-core":       dayKill(controllers, false),
	"wipe-controller": dayKill(some("controller"), true),
	"kill-gateway":    dayKill(some("gateway"), false),
	"kill-agent":      dayKill(some("agent"), false),
	"kill-worker":     dayKill(some("worker"), false),
	"kill-machine":    dayKill(machine, false),
	"freeze-leader":   dayFreeze(lead),
	"freeze-agent":    dayFreeze(some("agent")),
	"freeze-worker":   dayFreeze(some("worker")),
	"freeze-machine":  dayFreeze(machine),
	"cut-zone":        dayCut(zoneMembers, all),
	"cut-leader":      dayCut(lead, all),
	"cut-core":        dayCut(lead, isController),
	"cut-agent":       dayCut(some("agent"), all),
	"cut-worker":      dayCut(some("worker"), all),
	"stop-leader": func(f *Fleet, s *Workload) func() {
		for _, p := range lead(f, s) {
			restart(f, p)
		}
		return func() {}
	},
	"roll-all": func(f *Fleet, s *Workload) func() {
		for _, role := range []string{"controller", "gateway", "agent"} {
			for _, p := range f.of(role) {
				restart(f, p)
				f.Ready(10 * time.Second)
			}
		}
		return func() {}
	},
}

// Live runs the day: traffic for so long, with the events, then quiet.
func (f *Fleet) Live(s *Workload, long time.Duration, list []Event) error {
	from := time.Now()
	go s.Watch()
	for _, fl := range f.Deployment.Flows {
		go s.Flow(fl)
	}
	go s.Races()
	type ending struct {
		at time.Time
		do func()
	}
	var ends []ending
	wait := func(until time.Time) {
		for len(ends) > 0 && !ends[0].at.After(until) {
			time.Sleep(time.Until(ends[0].at))
			ends[0].do()
			f.Tell(HistoryEvent{What: Healed})
			ends = ends[1:]
		}
		time.Sleep(time.Until(until))
	}
	for _, e := range list {
		wait(from.Add(e.At))
		f.Tell(HistoryEvent{What: Trouble, Text: fmt.Sprintf("%s for %s", e.Name, e.Long)})
		ends = append(ends, ending{time.Now().Add(e.Long), find(e.Name)(f, s)})
		sort.Slice(ends, func(i, k int) bool { return ends[i].at.Before(ends[k].at) })
	}
	wait(from.Add(long))
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
func (f *Fleet) Report(s *Workload) ([]Break, error) {
	end := time.Since(f.start).Nanoseconds()
	if err := f.gather(); err != nil {
		return nil, err
	}
	breaks, seen := Check(&f.Hist, Rules, end, 30*time.Second)
	for _, h := range f.Hist.List {
		if h.What == Dropped {
			breaks = append(breaks, Break{"dropped", h.At, "a request that was read got no answer: " + h.Who + ": " + h.Text})
		}
	}
	fmt.Print(Timeline(&f.Hist))
	fmt.Printf("%s\n", Summary(&f.Hist))
	fmt.Printf("accepted after: %s\nseen done after: %s\n", Quantiles(s.Takes), Quantiles(s.Ends))
	fmt.Printf("refusals on the way: %v\nchances the rules had:\n%v", s.Denials, seen)
	return breaks, nil
}
