// Chances: what in a history could have gone wrong and did not. A rule whose
// chance never arose was not proved by the run.
package sim

import (
	"fmt"
	"sort"
	"strings"

	"coppercourse/internal/state"
)

func (c *checker) step(s *span) state.Step {
	p := c.jobs[s.attempt.Job].spec
	return p.Steps[p.StepOf(s.attempt.Number)]
}

func (c *checker) chances() {
	list := c.troubles()
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
		for _, attempts := range j.spans {
			for _, s := range attempts {
				hit = hit || j.halt > 0 && s.runs(j.halt-sec, j.halt)
			}
		}
		if hit {
			c.seen["cancel: hit a running attempt"]++
			if on(j.halt, 0, "cut", "freeze") {
				c.seen["cancel: hit a running attempt during a cut or freeze"]++
			}
		}
		if j.taken > 0 && on(j.taken, sec, "kill", "power", "lose", "swap", "stall") {
			c.seen["forgotten: accepted within 1 s of a kill or lost disk"]++
		}
	}
	for _, s := range c.spans {
		j := c.jobs[s.attempt.Job]
		if j.spec == nil {
			continue
		}
		p := c.step(s)
		if len(p.DependsOn) > 0 {
			c.seen["order: started a step with dependencies"]++
		}
		if p.NotBefore != "" || p.DelayMillis > 0 {
			c.seen["early: started a step with a time"]++
			if on(s.from, 3*sec, "jump", "power", "kill-leader", "handover", "freeze-leader", "cut-core", "cut-leader") {
				c.seen["early: started a step with a time near a clock or leader fault"]++
			}
		}
		if len(s.ice) > 0 && s.outcome == state.OutcomeStopped {
			c.seen["twice: a frozen attempt found its grant lapsed"]++
		}
		if s.outcome == state.OutcomeOK && (s.told == 0 || s.told-s.to > sec) {
			c.seen["again: a good end told late or never"]++
		}
		if s.outcome == state.OutcomeOK && on(s.to, 0, "cut", "kill", "freeze", "power") {
			c.seen["again: a good end during a cut, kill or freeze"]++
		}
	}
	for _, h := range c.hist.List {
		switch h.What {
		case TableAck:
			if on(h.At, sec, "kill", "power", "lose", "swap", "cut") {
				c.seen["table: acknowledged within 1 s of a kill, cut or lost disk"]++
			}
		case TableNo:
			c.seen["table: refused or losing"]++
		case Spared:
			c.seen["leaving or room: a worker refused an attempt"]++
		}
	}
}

// String prints a tally, a line each.
func (t Tally) String() string {
	var names []string
	for k := range t {
		names = append(names, k)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, k := range names {
		fmt.Fprintf(&b, "  %7d  %s\n", t[k], k)
	}
	return b.String()
}
