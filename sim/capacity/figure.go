// Package capacity extrapolates the resource usage of the daemons to the full size that the
// project is designed for. It derives figures for each role from measured fleets, fits their growth
// with the number of workers, and compares the value at the full size with its limit.
//
// figure.go defines the figures and their extrapolation, report.go writes the tables and plot.go
// the plots.
package capacity

import (
	"math"
	"slices"
	"time"

	"coppercourse/sim"
	"coppercourse/sim/world"
)

// Resource limits specified in DEVELOPERS.md. The limits on control work apply to the daemons that
// share machines with workers. Controllers have dedicated machines, of which the event loop can use
// one core.
const (
	limitCPU           = 2.3  // percent of a core
	limitMemory        = 128  // MB
	limitBytes         = 2000 // per second, sent and received together
	limitTableLatency  = 6000 // ms
	limitUrgentLatency = 1600 // ms
	limitEventLoop     = 100  // percent of a core
)

// Modes in which a fleet is measured.
const (
	Idle    = "idle"
	Traffic = "traffic"
)

// Figure is a quantity that is measured for some roles.
type Figure struct {
	Name, Unit      string
	Limit           float64  // limit of gateways and agents in Unit; 0 means none
	ControllerLimit float64  // limit of controllers in Unit; 0 means none
	Roles           []string // roles for which it is measured
	value           func(m *sim.Measurement, u sim.RoleUsage) float64
}

// limit returns the limit of a role, or 0 if it has none.
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

// perSecond returns a function that computes the mean rate of a quantity per second and daemon of a role.
func perSecond(f func(world.Usage) float64) func(*sim.Measurement, sim.RoleUsage) float64 {
	return func(m *sim.Measurement, u sim.RoleUsage) (sum float64) {
		for _, x := range u.PerDaemon {
			sum += f(x) / float64(len(u.PerDaemon)) / m.Window.Seconds()
		}
		return sum
	}
}

// messageClass returns a function that sums a count over the sent and received messages of a class.
func messageClass(c world.MessageClass, of func(world.Count) int) func(world.Usage) float64 {
	return func(u world.Usage) float64 { return float64(of(u.Sent[c]) + of(u.Received[c])) }
}

func byteCount(c world.Count) int    { return c.Bytes }
func messageCount(c world.Count) int { return c.Messages }

// maxMillis returns the longest duration of a list in milliseconds, or 0 if the list is empty.
func maxMillis(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return float64(slices.Max(list).Microseconds()) / 1000
}

// Figures lists all figures in the order of the report.
var Figures = []Figure{
	{Name: "control messages", Unit: "1/s", Roles: allRoles,
		value: perSecond(func(u world.Usage) float64 {
			return float64(u.Control().Messages)
		})},
	{Name: "control bytes", Unit: "B/s", Limit: limitBytes, Roles: allRoles,
		value: perSecond(func(u world.Usage) float64 {
			return float64(u.Control().Bytes)
		})},
	{Name: "roster bytes", Unit: "B/s", Limit: limitBytes, Roles: allRoles,
		value: perSecond(messageClass(world.MembershipMessages, byteCount))},
	{Name: "heartbeat bytes", Unit: "B/s", Limit: limitBytes, Roles: allRoles,
		value: perSecond(messageClass(world.HeartbeatMessages, byteCount))},
	{Name: "log bytes", Unit: "B/s", Roles: allRoles,
		value: perSecond(messageClass(world.LogMessages, byteCount))},
	{Name: "table bytes", Unit: "B/s", Limit: limitBytes, Roles: allRoles,
		value: perSecond(messageClass(world.TableMessages, byteCount))},
	{Name: "work messages", Unit: "1/s", Roles: allRoles,
		value: perSecond(messageClass(world.WorkMessages, messageCount))},
	{Name: "work bytes", Unit: "B/s", Roles: allRoles,
		value: perSecond(messageClass(world.WorkMessages, byteCount))},
	{Name: "processor", Unit: "% of a core", Limit: limitCPU, ControllerLimit: limitEventLoop, Roles: allRoles,
		value: perSecond(func(u world.Usage) float64 {
			return 100 * u.CPU.Seconds()
		})},
	{Name: "state", Unit: "MB", Limit: limitMemory, Roles: allRoles,
		value: func(_ *sim.Measurement, u sim.RoleUsage) float64 {
			return float64(slices.Max(u.StateBytes)) / 1e6
		}},
	{Name: "disk bytes", Unit: "B/s", Roles: controllers,
		value: perSecond(func(u world.Usage) float64 { return float64(u.Written) })},
	{Name: "disk syncs", Unit: "1/s", Roles: controllers,
		value: perSecond(func(u world.Usage) float64 { return float64(u.Syncs) })},
	{Name: "step p50", Unit: "ms", Roles: leaderOnly,
		value: func(m *sim.Measurement, _ sim.RoleUsage) float64 {
			return float64(m.LeaderStepTimes.ValueAtQuantile(50)) / 1e6
		}},
	{Name: "step p99", Unit: "ms", Roles: leaderOnly,
		value: func(m *sim.Measurement, _ sim.RoleUsage) float64 {
			return float64(m.LeaderStepTimes.ValueAtQuantile(99)) / 1e6
		}},
	{Name: "table in force everywhere", Unit: "ms", Limit: limitTableLatency, ControllerLimit: limitTableLatency,
		Roles: leaderOnly,
		value: func(m *sim.Measurement, _ sim.RoleUsage) float64 {
			return maxMillis(m.TableLatencies)
		}},
	{Name: "urgent job to its start", Unit: "ms", Limit: limitUrgentLatency, ControllerLimit: limitUrgentLatency,
		Roles: leaderOnly,
		value: func(m *sim.Measurement, _ sim.RoleUsage) float64 {
			return maxMillis(m.UrgentLatencies)
		}},
	{Name: "leader death to the next", Unit: "ms", Roles: leaderOnly,
		value: func(m *sim.Measurement, _ sim.RoleUsage) float64 {
			return float64(m.ElectionTime.Milliseconds())
		}},
	{Name: "next leader known to all", Unit: "ms", Roles: leaderOnly,
		value: func(m *sim.Measurement, _ sim.RoleUsage) float64 {
			return float64(m.LeaderDiscoveryTime.Milliseconds())
		}},
}

// Point is the value of one figure for one role in one measured fleet.
type Point struct {
	Mode, Role, Name, Unit string
	Daemons, Workers       int
	Value                  float64
}

// Points returns the values of all figures of a measurement.
func Points(m *sim.Measurement) (list []Point) {
	mode := Idle
	if m.WithTraffic {
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

// Growth describes the growth of a figure with the number of workers: a line fitted by least
// squares, and the exponent between the two largest sizes, which is 1 for linear and 2 for
// quadratic growth.
type Growth struct{ Intercept, Slope, Exponent float64 }

// FitGrowth fits points, which must be ordered by number of workers.
func FitGrowth(list []Point) (g Growth) {
	n := float64(len(list))
	var sx, sy, sxx, sxy float64
	for _, p := range list {
		x := float64(p.Workers)
		sx, sy, sxx, sxy = sx+x, sy+p.Value, sxx+x*x, sxy+x*p.Value
	}
	if d := n*sxx - sx*sx; d > 0 {
		g.Slope = (n*sxy - sx*sy) / d
	}
	g.Intercept = (sy - g.Slope*sx) / n
	if len(list) > 1 {
		p, q := list[len(list)-2], list[len(list)-1]
		if p.Value > 0 && q.Value > 0 {
			g.Exponent = math.Log(q.Value/p.Value) / math.Log(float64(q.Workers)/float64(p.Workers))
		}
	}
	return g
}

// Limits of the exponents for which a figure is extrapolated along its line.
const (
	superlinearExponent = 1.15 // above it a line underestimates the growth
	constantExponent    = 0.1  // below it growth is within the measurement noise
)

// Extrapolate estimates a figure at a number of workers: with the exponent from the largest size if
// growth is superlinear, unchanged if the figure does not grow, and along the line otherwise. It
// returns the measured value if that number of workers is the largest size.
func (g Growth) Extrapolate(workers int, list []Point) float64 {
	last := list[len(list)-1]
	switch {
	case last.Workers == workers: // measured at this size
		return last.Value
	case g.Exponent > superlinearExponent:
		return last.Value * math.Pow(float64(workers)/float64(last.Workers), g.Exponent)
	case g.Slope <= 0 || math.Abs(g.Exponent) < constantExponent:
		return last.Value
	}
	return g.Intercept + g.Slope*float64(workers)
}
