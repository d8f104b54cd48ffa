package fleet

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxMetricsBytes is how much of a daemon's metrics page is read.
const maxMetricsBytes = 64 << 10

// roleUsage is what the daemons of one role have spent since they started.
type roleUsage struct {
	daemons  int
	memory   int // bytes
	cpu      time.Duration
	messages float64
}

// MeasureIdle measures the fleet for a while without traffic, and returns what a daemon of
// each role spent in it: processor time and memory by the kernel's accounts, and messages by its own. It
// is what the process around the state machine adds to what the simulator measures.
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
		from, to := before[role], after[role]
		daemonSeconds := float64(to.daemons) * duration.Seconds()
		fmt.Fprintf(&text, "idle %s of %d: %.2f%% of a core, %.1f MB resident, %.1f messages sent a second\n",
			role, to.daemons, 100*(to.cpu-from.cpu).Seconds()/daemonSeconds,
			float64(to.memory)/float64(to.daemons)/1e6, (to.messages-from.messages)/daemonSeconds)
	}
	return text.String(), nil
}

// usageByRole sums what the daemons have spent, the leader's apart.
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

// messagesSent returns how many messages a daemon has sent by its metrics, or 0.
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
