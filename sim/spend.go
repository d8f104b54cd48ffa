// What real processes spend while nothing is asked of them: processor time and
// memory from the kernel's accounts, beside the messages that they have sent. It
// is what the shell round the machines adds to what a simulated fleet shows.
package sim

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// resourceUsage reads a process's processor time and resident memory in bytes.
func (p *process) resourceUsage() (cpu time.Duration, memory int, err error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 22 {
		return 0, 0, fmt.Errorf("%sstat has %d fields", dir, len(f))
	}
	for _, i := range []int{11, 12} { // in user and kernel mode, in hundredths of a second
		n, err := strconv.Atoi(f[i])
		if err != nil {
			return 0, 0, err
		}
		cpu += time.Duration(n) * 10 * time.Millisecond
	}
	pages, err := strconv.Atoi(f[21])
	return cpu, pages * os.Getpagesize(), err
}

func (f *Fleet) messagesSent(p *process) (n float64) {
	res, err := f.client.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, f.Port))
	if err != nil {
		return
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(res.Body, 64<<10))
	for line := range strings.Lines(string(b)) {
		if x, ok := strings.CutPrefix(line, "coppercourse_post_sent "); ok {
			n, _ = strconv.ParseFloat(strings.TrimSpace(x), 64)
		}
	}
	return
}

// MeasureIdle lets the fleet be for a while and tells what a daemon of each role spent.
func (f *Fleet) MeasureIdle(duration time.Duration) (string, error) {
	lead := f.leader()
	type sum struct {
		n, memory int
		cpu       time.Duration
		sent      float64
	}
	sample := func() (map[string]sum, error) {
		by := map[string]sum{}
		for _, p := range f.processes {
			if p.role == "worker" {
				continue
			}
			role := p.role
			if p == lead {
				role = "leader"
			}
			cpu, memory, err := p.resourceUsage()
			if err != nil {
				return nil, err
			}
			x := by[role]
			by[role] = sum{x.n + 1, x.memory + memory, x.cpu + cpu, x.sent + f.messagesSent(p)}
		}
		return by, nil
	}
	a, err := sample()
	if err != nil {
		return "", err
	}
	time.Sleep(duration)
	b, err := sample()
	if err != nil {
		return "", err
	}
	text := ""
	for _, role := range []string{"leader", "controller", "gateway", "agent"} {
		x, y := a[role], b[role]
		n := float64(y.n)
		text += fmt.Sprintf("idle %s of %d: %.2f%% of a core, %.1f MB resident, %.1f messages sent a second\n", role, y.n,
			100*(y.cpu-x.cpu).Seconds()/n/duration.Seconds(), float64(y.memory)/n/1e6, (y.sent-x.sent)/n/duration.Seconds())
	}
	return text, nil
}
