// Package capacity tells what the fleet spends at the size that the project
// designs for: figures for each role out of measured simulated fleets, how each
// grows with the number of workers, and where that leads beside its limit. This
// file is the list of figures and the way they are carried on to the full size.
package capacity

import (
	"math"
	"slices"
	"time"

	"coppercourse/sim"
)

// Limits of the plan. What a daemon may spend on control is said of those beside
// the workers; the controllers have machines of their own, and a core for the one
// goroutine that owns the machine is all that a controller can use of them.
const (
	limitCPU    = 2.3  // percent of a core
	limitMemory = 128  // MB
	limitBytes  = 2000 // a second, both ways together
	limitTable  = 6000 // ms
	limitUrgent = 1600 // ms
	limitOwner  = 100  // percent of a core
)

// Figure is one number of a role. The limit is 0 where the plan sets none; Core
// is the controllers' own.
type Figure struct {
	Name, Unit  string
	Limit, Core float64
	Roles       []string
	of          func(m *sim.Measurement, u sim.RoleUsage) float64
}

func (f Figure) limit(role string) float64 {
	if slices.Contains(controllers, role) {
		return f.Core
	}
	return f.Limit
}

var (
	all         = []string{"leader", "follower", "gateway", "agent"}
	controllers = []string{"leader", "follower"}
	onlyOne     = []string{"leader"}
)

// a gives the mean of something a second over the daemons of a role.
func a(f func(sim.Usage) float64) func(*sim.Measurement, sim.RoleUsage) float64 {
	return func(m *sim.Measurement, u sim.RoleUsage) (sum float64) {
		for _, x := range u.Each {
			sum += f(x) / float64(len(u.Each)) / m.Window.Seconds()
		}
		return
	}
}

func class(c sim.Class, of func(sim.Count) int) func(sim.Usage) float64 {
	return func(u sim.Usage) float64 { return float64(of(u.Sent[c]) + of(u.Received[c])) }
}

func bytesOf(c sim.Count) int    { return c.Bytes }
func messagesOf(c sim.Count) int { return c.Messages }

func millis(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return float64(slices.Max(list).Microseconds()) / 1000
}

// Figures are all that is told, in order.
var Figures = []Figure{
	{"control messages", "1/s", 0, 0, all, a(func(u sim.Usage) float64 { return float64(u.Control().Messages) })},
	{"control bytes", "B/s", limitBytes, 0, all, a(func(u sim.Usage) float64 { return float64(u.Control().Bytes) })},
	{"roster bytes", "B/s", limitBytes, 0, all, a(class(sim.RosterMessages, bytesOf))},
	{"heartbeat bytes", "B/s", limitBytes, 0, all, a(class(sim.HeartbeatMessages, bytesOf))},
	{"log bytes", "B/s", 0, 0, all, a(class(sim.LogMessages, bytesOf))},
	{"table bytes", "B/s", limitBytes, 0, all, a(class(sim.TableMessages, bytesOf))},
	{"work messages", "1/s", 0, 0, all, a(class(sim.WorkMessages, messagesOf))},
	{"work bytes", "B/s", 0, 0, all, a(class(sim.WorkMessages, bytesOf))},
	{"processor", "% of a core", limitCPU, limitOwner, all, a(func(u sim.Usage) float64 { return 100 * u.CPU.Seconds() })},
	{"state", "MB", limitMemory, 0, all, func(_ *sim.Measurement, u sim.RoleUsage) float64 {
		return float64(slices.Max(u.State)) / 1e6
	}},
	{"disk bytes", "B/s", 0, 0, controllers, a(func(u sim.Usage) float64 { return float64(u.Written) })},
	{"disk syncs", "1/s", 0, 0, controllers, a(func(u sim.Usage) float64 { return float64(u.Syncs) })},
	{"step p50", "ms", 0, 0, onlyOne, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.Steps.ValueAtQuantile(50)) / 1e6
	}},
	{"step p99", "ms", 0, 0, onlyOne, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.Steps.ValueAtQuantile(99)) / 1e6
	}},
	{"table in force everywhere", "ms", limitTable, limitTable, onlyOne, func(m *sim.Measurement, _ sim.RoleUsage) float64 { return millis(m.Table) }},
	{"urgent job to its start", "ms", limitUrgent, limitUrgent, onlyOne, func(m *sim.Measurement, _ sim.RoleUsage) float64 { return millis(m.Urgent) }},
	{"leader death to the next", "ms", 0, 0, onlyOne, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.Elected.Milliseconds())
	}},
	{"next leader known to all", "ms", 0, 0, onlyOne, func(m *sim.Measurement, _ sim.RoleUsage) float64 {
		return float64(m.Told.Milliseconds())
	}},
}

// Point is one figure of one role in one fleet.
type Point struct {
	Mode, Role, Name, Unit string
	Daemons, Workers       int
	Value                  float64
}

// Points are all figures of a measurement.
func Points(m *sim.Measurement) (list []Point) {
	mode := "idle"
	if m.Busy {
		mode = "traffic"
	}
	for _, f := range Figures {
		for _, u := range m.Roles {
			if slices.Contains(f.Roles, u.Role) {
				list = append(list, Point{mode, u.Role, f.Name, f.Unit, m.Scale.Daemons(), m.Agents, f.of(m, u)})
			}
		}
	}
	return
}

// Growth is how a figure grows with the workers: the line by least squares, and
// the power between the last two sizes, which is 1 for a line and 2 for a square.
type Growth struct{ Const, Slope, Power float64 }

// Grow fits points in order of their workers.
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
			g.Power = math.Log(q.Value/p.Value) / math.Log(float64(q.Workers)/float64(p.Workers))
		}
	}
	return
}

// bent is the power from which a line would tell too little, even the one below
// which nothing grows but by the measure's own spread.
const (
	bent = 1.15
	even = 0.1
)

// At carries a figure on to a number of workers: by the line, from the last size
// by its power where it bends upward, and unchanged where it does not grow.
func (g Growth) At(workers int, list []Point) float64 {
	last := list[len(list)-1]
	switch {
	case last.Workers == workers: // measured
		return last.Value
	case g.Power > bent:
		return last.Value * math.Pow(float64(workers)/float64(last.Workers), g.Power)
	case g.Slope <= 0 || math.Abs(g.Power) < even:
		return last.Value
	}
	return g.Const + g.Slope*float64(workers)
}
