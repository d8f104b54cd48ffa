// Chances: what in a history could have gone wrong and did not. A rule whose
// chance never arose was not proved by the run.
package sim

import (
	"fmt"
	"sort"
	"strings"

	"coppercourse/internal/state"
	"coppercourse/sim/history"
)

func (c *checker) stepOf(s *execution) state.Step {
	p := c.jobs[s.attempt.Job].spec
	return p.Steps[p.StepOf(s.attempt.TaskNumber)]
}

func (c *checker) countOpportunities() {
	list := c.faultWindows()
	on := func(at, within int64, names ...string) bool {
		for _, t := range list {
			for _, n := range names {
				if at < t.to && at >= t.from-within && strings.HasPrefix(t.name, n) {
					return true
				}
			}
		}
		return false
	}
	for _, j := range c.jobs {
		if j.spec == nil {
			continue
		}
		hit := false
		for _, attempts := range j.executions {
			for _, s := range attempts {
				hit = hit || j.cancelledAt > 0 && s.runs(j.cancelledAt-second, j.cancelledAt)
			}
		}
		if hit {
			c.coverage["cancel: hit a running attempt"]++
			if on(j.cancelledAt, 0, "cut", "freeze") {
				c.coverage["cancel: hit a running attempt during a cut or freeze"]++
			}
		}
		if j.acceptedAt > 0 && on(j.acceptedAt, second, "kill", "power", "lose", "swap", "stall") {
			c.coverage["forgotten: accepted within 1 s of a kill or lost disk"]++
		}
	}
	for _, s := range c.executions {
		j := c.jobs[s.attempt.Job]
		if j.spec == nil {
			continue
		}
		p := c.stepOf(s)
		if len(p.DependsOn) > 0 {
			c.coverage["order: started a step with dependencies"]++
		}
		if p.NotBefore != "" || p.DelayMillis > 0 {
			c.coverage["early: started a step with a time"]++
			if on(s.startedAt, 3*second, "jump", "power", "kill-leader", "handover", "freeze-leader", "cut-core", "cut-leader") {
				c.coverage["early: started a step with a time near a clock or leader fault"]++
			}
		}
		if len(s.frozen) > 0 && s.outcome == state.OutcomeStopped {
			c.coverage["twice: a frozen attempt found its grant lapsed"]++
		}
		if s.outcome == state.OutcomeOK && (s.acknowledgedAt == 0 || s.acknowledgedAt-s.endedAt > second) {
			c.coverage["again: a good end told late or never"]++
		}
		if s.outcome == state.OutcomeOK && on(s.endedAt, 0, "cut", "kill", "freeze", "power") {
			c.coverage["again: a good end during a cut, kill or freeze"]++
		}
	}
	for _, h := range c.history.Events {
		switch h.Kind {
		case history.TableAcknowledged:
			if on(h.At, second, "kill", "power", "lose", "swap", "cut") {
				c.coverage["table: acknowledged within 1 s of a kill, cut or lost disk"]++
			}
		case history.TableRefused:
			c.coverage["table: refused or losing"]++
		case history.AttemptRejected:
			c.coverage["leaving or room: a worker refused an attempt"]++
		}
	}
}

// String prints a tally, a line each.
func (c Coverage) String() string {
	var names []string
	for k := range c {
		names = append(names, k)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, k := range names {
		fmt.Fprintf(&b, "  %7d  %s\n", c[k], k)
	}
	return b.String()
}
