// The users' rules on tables, beyond those for all deployments: queues that came or went
// are known or not known at every door in time, no daemon goes back to an older
// table, and of two tables put on one only one is acknowledged.
package sim

import (
	"slices"
	"strconv"
	"strings"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

func (c *checker) versions() {
	acked := map[string]HistoryEvent{}
	for _, h := range c.hist.List {
		if h.What != TableAck || h.Text == "" {
			continue
		}
		if o, ok := acked[h.Text]; ok && (o.Table.Version != h.Table.Version || !o.Table.SameContent(*h.Table)) {
			c.bad("table", h.At, "versions %d and %d were both acknowledged, put on version %s", o.Table.Version, h.Table.Version, h.Text)
		}
		acked[h.Text] = h
	}
	type past struct {
		at   int64
		over uint64
	}
	back := map[string][]past{}
	for _, h := range c.hist.List {
		if h.What != Counted {
			continue
		}
		began, _ := strconv.ParseInt(h.Text, 10, 64)
		over := uint64(0)
		touch := !c.on(began, h.At, func(t faultWindow) bool { return t.affected == nil || len(t.affected) > 0 })
		least, most, some := uint64(0), uint64(0), false
		for _, r := range c.activeTables {
			if r.acked > 0 && r.acked+int64(c.b.Table) < began && touch {
				over = max(over, uint64(r.Version))
			}
		}
		for _, r := range c.activeTables {
			if _, ok := r.FindQueue(types.QueueName(h.Job)); ok != (h.Stage == "there") || r.from > h.At {
				continue
			}
			e := uint64(r.Version)
			if !some {
				least = e
			}
			least, most, some = min(least, e), max(most, e), true
		}
		c.seen["table: a door was asked for a queue that came or went"]++
		if !some || most < over {
			c.bad("table", h.At, "%s says of %s that it is %q, as no table from version %d on has it", h.Who, h.Job, h.Stage, over)
			continue
		}
		for _, p := range back[h.Who] {
			if p.at+int64(c.b.Back) < began && most < p.over {
				c.bad("back", h.At, "%s goes back: %s as only versions up to %d have it, after version %d at %.3f s", h.Who, h.Job, most, p.over, float64(p.at)/1e9)
				break
			}
		}
		back[h.Who] = append(back[h.Who], past{h.At, least})
	}
}

// invokedChances counts what could have gone wrong.
func (c *checker) invokedChances() {
	for _, s := range c.spans {
		j := c.jobs[s.attempt.Job]
		if j.spec == nil {
			continue
		}
		p := c.step(s)
		for name, ok := range map[string]bool{
			"order: started a step with dependencies":        len(p.DependsOn) > 0,
			"early: started a step with a time":              j.spec.Schedule != nil,
			"alone: a member of a joint gang started":        p.Joint,
			"label: started under one":                       len(p.Labels) > 0,
			"late: a start was carried out late":             s.late,
			"ended: " + string(s.how):                        s.how != "",
			"again: a good end that had lapsed when settled": s.outcome == state.OutcomeOK && s.noted == 0,
		} {
			if ok {
				c.seen[name]++
			}
		}
	}
	for _, s := range c.spans {
		for shard, list := range c.leave {
			if shard != s.shard && slices.ContainsFunc(list, func(l [2]int64) bool { return s.from > l[0]+int64(c.b.Leave) && s.from < l[1] }) {
				c.seen["leaving: started elsewhere while a worker was leaving"]++
			}
		}
	}
	for _, j := range c.jobs {
		lost := func(t faultWindow) bool {
			return strings.Contains("kill-leader kill-controller power-all lose-disk swap-controller", t.name)
		}
		if j.taken > 0 && c.on(j.taken, j.taken+sec, lost) {
			c.seen["forgotten: accepted near a kill or lost disk"]++
		}
		if j.halt > 0 && !c.quiet(j.halt, j.halt) {
			c.seen["cancel: near a trouble"]++
		}
	}
	for _, h := range c.hist.List {
		switch h.What {
		case TableAck:
			if !c.quiet(h.At, h.At+sec) {
				c.seen["table: acknowledged near a trouble"]++
			}
		case TableNo:
			c.seen["table: refused or losing"]++
		case Spared:
			if h.Late {
				c.seen["late: a start was turned away by a later fence"]++
				continue
			}
			c.seen["room: a worker turned an attempt away"]++
		case Working:
			c.seen["alone: a member's gang was whole"]++
		}
	}
}
