package fleet

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxMetricsBytes bounds the size of a metrics response.
const maxMetricsBytes = 64 << 10

// roleUsage is the total resource usage of the daemons of one role since they started.
type roleUsage struct {
	daemons  int
	memory   int // bytes
	cpu      time.Duration
	messages float64
}

// MeasureIdle measures the fleet without traffic for the given duration and returns the mean usage
// of a daemon of each role: CPU time and memory by the kernel's accounting, and messages by the
// daemon's metrics. This covers the cost of the process around the state machine, which the
// simulator does not measure.
func (f *Fleet) MeasureIdle(duration time.Duration) (string, error) {
	leader := f.leader()
	before, err := f.usageByRole(leader)
	if err != nil {
		return "", err
	}
	time.Sleep(duration)
	after, err := f.usageByRole(leader)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for _, role := range []string{"leader", controllerRole, gatewayRole, agentRole} {
		atStart, atEnd := before[role], after[role]
		daemonSeconds := float64(atEnd.daemons) * duration.Seconds()
		fmt.Fprintf(&text, "idle %s of %d: %.2f%% of a core, %.1f MB resident, %.1f messages sent a second\n",
			role, atEnd.daemons, 100*(atEnd.cpu-atStart.cpu).Seconds()/daemonSeconds,
			float64(atEnd.memory)/float64(atEnd.daemons)/1e6, (atEnd.messages-atStart.messages)/daemonSeconds)
	}
	return text.String(), nil
}

// usageByRole sums the usage of the daemons by role, with the leader as a role of its own.
func (f *Fleet) usageByRole(leader *process) (map[string]roleUsage, error) {
	byRole := map[string]roleUsage{}
	for _, p := range f.daemons() {
		role := p.role
		if p == leader {
			role = "leader"
		}
		cpu, memory, err := p.usage()
		if err != nil {
			return nil, err
		}
		sum := byRole[role]
		sum.daemons++
		sum.memory += memory
		sum.cpu += cpu
		sum.messages += f.messagesSent(p)
		byRole[role] = sum
	}
	return byRole, nil
}

// messagesSent returns the number of messages sent according to a daemon's metrics, or 0 if they are
// not available.
func (f *Fleet) messagesSent(p *process) float64 {
	res, err := f.client.Get("http://" + f.listenAddress(p) + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxMetricsBytes))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		value, ok := strings.CutPrefix(line, "coppercourse_post_sent ")
		if !ok {
			continue
		}
		sent, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return 0
		}
		return sent
	}
	return 0
}
