// How faults are named, injected and recorded.

package sim

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// Fault begins a fault that lasts for a duration. It returns what ends the fault, or nil
// if the fault could not begin now.
type Fault func(r *Run, duration time.Duration) (end func())

// noOpEnd is the end of a fault that nothing needs to end.
func noOpEnd() {}

// injectFault begins a fault, and ends it after a duration.
func (r *Run) injectFault(name string, duration time.Duration) {
	r.affected = nil
	end := r.lookupFault(name)(r, duration)
	if end == nil {
		return
	}
	r.Record(history.Event{
		Kind:     history.FaultStarted,
		Text:     fmt.Sprintf("%s for %s", name, duration),
		Affected: r.affected,
	})
	r.After(duration, end)
}

// lookupFault returns the fault of a name in this run's deployment.
func (r *Run) lookupFault(name string) Fault {
	if f := InvokedFaults[name]; f != nil && r.Environment != nil {
		return f
	}
	if f := ControlFaults[name]; f != nil {
		return f
	}
	if f := Faults[name]; f != nil {
		return f
	}
	panic("no such fault: " + name)
}

// markAffected records which addresses a fault affects. A fault of a controller affects
// everybody.
func (r *Run) markAffected(addrs ...types.Addr) {
	for _, a := range addrs {
		if n := r.Nodes[a]; n != nil && n.Role == world.ControllerRole {
			return
		}
	}
	r.affected = append(r.affected, addrs...)
}

// FaultNames returns the names of Faults, sorted.
func FaultNames() []string {
	var names []string
	for name := range Faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// FaultsOf returns the names of all faults that a deployment can have, sorted.
func FaultsOf(name string) []string {
	invoked := deployment.Named(name).Invoked()
	var names []string
	for name := range Faults {
		if !invoked || !pollingOnly[name] {
			names = append(names, name)
		}
	}
	for name := range ControlFaults {
		names = append(names, name)
	}
	for name := range InvokedFaults {
		if invoked && Faults[name] == nil && ControlFaults[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
