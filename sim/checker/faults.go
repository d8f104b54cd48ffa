package checker

import (
	"slices"
	"strings"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// faultWindow is a fault, and the time during which it lasted.
type faultWindow struct {
	name     string
	from, to int64
	affected []types.Addr // nil means all machines; empty means none
}

// faultWindows returns the faults of a history.
func faultWindows(h *history.History) []faultWindow {
	var list []faultWindow
	for _, event := range h.Events {
		switch event.Kind {
		case history.FaultStarted:
			name, text, _ := strings.Cut(event.Text, " for ")
			duration, err := time.ParseDuration(text)
			if err != nil {
				duration = 0
			}
			list = append(list, faultWindow{name, event.At, event.At + int64(duration), event.Affected})
		case history.FaultsHealed:
			for i := range list {
				list[i].to = min(list[i].to, event.At)
			}
		}
	}
	return list
}

// affects reports whether a fault affects a machine.
func (f faultWindow) affects(machine types.Addr) bool {
	return f.affected == nil || slices.Contains(f.affected, machine)
}

func (f faultWindow) affectsAll() bool { return f.affected == nil }

func (f faultWindow) affectsAny() bool { return f.affected == nil || len(f.affected) > 0 }

// hasPrefix reports whether a fault's name begins with one of the prefixes.
func (f faultWindow) hasPrefix(prefixes ...string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(f.name, p) })
}

// faultDuring reports whether a fault that matches lasted, or had its aftermath,
// between two times.
func (c *checker) faultDuring(from, to int64, matches func(faultWindow) bool) bool {
	return slices.ContainsFunc(c.faults, func(f faultWindow) bool {
		return f.from <= to && f.to+int64(c.bounds.FaultGracePeriod) >= from && matches(f)
	})
}

// faultFree reports whether no fault affected any machine between two times.
func (c *checker) faultFree(from, to int64) bool {
	return !c.faultDuring(from, to, faultWindow.affectsAny)
}

// workerFaultFree reports whether no fault affects the machine of a worker at a time.
func (c *checker) workerFaultFree(shard types.Shard, at int64) bool {
	agent := types.Addr("w" + string(shard[1:])) // the agent beside worker k7 is w7
	return !c.faultDuring(at, at, func(f faultWindow) bool { return f.affects(agent) })
}

// timeBoundsApply reports whether the bounds of time hold for the start of an execution: its call
// was not carried out late, and the worker's machine was in contact.
func (c *checker) timeBoundsApply(e *execution) bool {
	return !e.deliveredLate && c.workerFaultFree(e.shard, e.startedAt)
}
