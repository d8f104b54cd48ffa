// Package capacity extrapolates what the daemons spend to the size that the project
// is designed for. It derives figures for each role from measured fleets, fits how
// each grows with the number of workers, and compares the value at the full size
// with its limit.
//
// figure.go holds the figures and their extrapolation, report.go the tables,
// plot.go the plots.
package capacity

import (
	"math"
	"slices"
	"time"

	"coppercourse/sim"
	"coppercourse/sim/world"
)

// Limits of the plan (DEVELOPERS.md). Those on control work hold for the daemons
// beside the workers. Controllers have machines of their own; the goroutine that
// owns the state machine can use one core of them.
const (
	limitCPU    = 2.3  // percent of a core
	limitMemory = 128  // MaxMegabytes
	limitBytes  = 2000 // a second, both ways together
	limitTable  = 6000 // ms
	limitUrgent = 1600 // ms
	limitOwner  = 100  // percent of a core
)

// Modes of a measured fleet.
const (
	Idle    = "idle"
	Traffic = "traffic"
)

// Figure is one measured quantity of some roles.
type Figure struct {
	Name, Unit      string
	Limit           float64  // of gateways and agents, in the unit, or 0 for none
	ControllerLimit float64  // of controllers, or 0 for none
	Roles           []string // the roles that have it
	value           func(m *sim.Measurement, u sim.RoleUsage) float64
}

// limit returns the limit of a role, or 0.
func (f Figure) limit(role string) float64 {
	if slices.Contains(controllers, role) {
		return f.ControllerLimit
	}
	return f.Limit
}

var (
	allRoles    = []string{"leader", "follower", "gateway", "agent"}
	controllers = []string{"leader", "follower"}
	leaderOnly  = []string{"leader"}
)

// perSecond returns the mean of a quantity over the daemons of a role, per second.
func perSecond(f func(world.Usage) float64) func(*sim.Measurement, sim.RoleUsage) float64 {
	return func(m *sim.Measurement, u sim.RoleUsage) (sum float64) {
		for _, x := range u.Each {
			sum += f(x) / float64(len(u.Each)) / m.Window.Seconds()
		}
		return sum
	}
}

// messageClass returns one count of the messages of a class, sent and received.
func messageClass(c world.Class, of func(world.Count) int) func(world.Usage) float64 {
	return func(u world.Usage) float64 { return float64(of(u.Sent[c]) + of(u.Received[c])) }
}

func bytesOf(c world.Count) int    { return c.Bytes }
func messagesOf(c world.Count) int { return c.Messages }

// maxMillis returns the longest of a list in milliseconds, or 0.
func maxMillis(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return float64(slices.Max(list).Microseconds()) / 1000
}

// Figures are all figures, in the order of the report.
var Figures = []Figure{
	{"control messages", "1/s", 0, 0, allRoles, perSecond(func(u world.Usage) float64 {
		return float64(u.Control().Messages)
	})},
	{"control bytes", "B/s", limitBytes, 0, allRoles, perSecond(func(u world.Usage) float64 {
		return float64(u.Control().Bytes)
	})},
	{"roster bytes", "B/s", limitBytes, 0, allRoles, perSecond(messageClass(world.MembershipMessages, bytesOf))},
	{"heartbeat bytes", "B/s", limitBytes, 0, allRoles, perSecond(messageClass(world.HeartbeatMessages, bytesOf))},
	{"log bytes", "B/s", 0, 0, allRoles, perSecond(messageClass(world.LogMessages, bytesOf))},
	{"table bytes", "B/s", limitBytes, 0, allRoles, perSecond(messageClass(world.TableMessages, bytesOf))},
	{"work messages", "1/s", 0, 0, allRoles, perSecond(messageClass(world.WorkMessages, messagesOf))},
	{"work bytes", "B/s", 0, 0, allRoles, perSecond(messageClass(world.WorkMessages, bytesOf))},
	{"processor", "% of a core", limitCPU, limitOwner, allRoles, perSecond(func(u world.Usage) float64 {
		return 100 * u.CPU.Seconds()
	})},
	{"state", "MB", limitMemory, 0, allRoles, func(_ *sim.Measurement, u sim.RoleUsage) float64 {
		return float64(slices.Max(u.State)) / 1e6
	}},
	{"disk bytes", "B/s", 0, 0, controllers, perSecond(func(u world.Usage) float64 { return float64(u.Written) })},
	{"disk syncs", "1/s", 0, 0, controllers, perSecond(func(u world.Usage) float64 { return float64(u.Syncs) })},
	{"step p50", "ms", 0, 0, leaderOnly, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.Steps.ValueAtQuantile(50)) / 1e6
	}},
	{"step p99", "ms", 0, 0, leaderOnly, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.Steps.ValueAtQuantile(99)) / 1e6
	}},
	{"table in force everywhere", "ms", limitTable, limitTable, leaderOnly, func(
		m *sim.Measurement, _ sim.RoleUsage,
	) float64 {
		return maxMillis(m.TableLatencies)
	}},
	{"urgent job to its start", "ms", limitUrgent, limitUrgent, leaderOnly, func(
		m *sim.Measurement, _ sim.RoleUsage,
	) float64 {
		return maxMillis(m.UrgentLatencies)
	}},
	{"leader death to the next", "ms", 0, 0, leaderOnly, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.ElectionTime.Milliseconds())
	}},
	{"next leader known to all", "ms", 0, 0, leaderOnly, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.LeaderKnownTime.Milliseconds())
	}},
}

// Point is the value of one figure for one role in one fleet.
type Point struct {
	Mode, Role, Name, Unit string
	Daemons, Workers       int
	Value                  float64
}

// Points returns all figures of a measurement.
func Points(m *sim.Measurement) (list []Point) {
	mode := Idle
	if m.Busy {
		mode = Traffic
	}
	for _, f := range Figures {
		for _, u := range m.Roles {
			if slices.Contains(f.Roles, u.Role) {
				list = append(list, Point{mode, u.Role, f.Name, f.Unit, m.Scale.Daemons(), m.Agents, f.value(m, u)})
			}
		}
	}
	return list
}

// Growth is how a figure grows with the number of workers: the line by least
// squares, and the exponent between the last two sizes, which is 1 for linear and 2
// for quadratic growth.
type Growth struct{ Const, Slope, Exponent float64 }

// Grow fits points that are in order of their workers.
func Grow(list []Point) (g Growth) {
	n := float64(len(list))
	var sx, sy, sxx, sxy float64
	for _, p := range list {
		x := float64(p.Workers)
		sx, sy, sxx, sxy = sx+x, sy+p.Value, sxx+x*x, sxy+x*p.Value
	}
	if d := n*sxx - sx*sx; d > 0 {
		g.Slope = (n*sxy - sx*sy) / d
	}
	g.Const = (sy - g.Slope*sx) / n
	if len(list) > 1 {
		p, q := list[len(list)-2], list[len(list)-1]
		if p.Value > 0 && q.Value > 0 {
			g.Exponent = math.Log(q.Value/p.Value) / math.Log(float64(q.Workers)/float64(p.Workers))
		}
	}
	return g
}

// Exponents between which a figure is extrapolated along its line.
const (
	superlinear = 1.15 // above it a line would predict too little
	constant    = 0.1  // below it growth is within the spread of the measurement
)

// At extrapolates a figure to a number of workers: along the line; by its exponent
// from the last size where growth is superlinear; unchanged where it does not grow.
func (g Growth) At(workers int, list []Point) float64 {
	last := list[len(list)-1]
	switch {
	case last.Workers == workers: // measured
		return last.Value
	case g.Exponent > superlinear:
		return last.Value * math.Pow(float64(workers)/float64(last.Workers), g.Exponent)
	case g.Slope <= 0 || math.Abs(g.Exponent) < constant:
		return last.Value
	}
	return g.Const + g.Slope*float64(workers)
}
