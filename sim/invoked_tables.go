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
	"coppercourse/sim/history"
)

func (c *checker) checkVersions() {
	acked := map[string]history.Event{}
	for _, h := range c.history.Events {
		if h.Kind != history.TableAcknowledged || h.Text == "" {
			continue
		}
		if o, ok := acked[h.Text]; ok && (o.Table.Version != h.Table.Version || !o.Table.SameContent(*h.Table)) {
			c.violate("table", h.At, "versions %d and %d were both acknowledged, put on version %s", o.Table.Version, h.Table.Version, h.Text)
		}
		acked[h.Text] = h
	}
	type past struct {
		at   int64
		over uint64
	}
	back := map[string][]past{}
	for _, h := range c.history.Events {
		if h.Kind != history.QueueCounted {
			continue
		}
		began, _ := strconv.ParseInt(h.Text, 10, 64)
		over := uint64(0)
		touch := !c.faultDuring(began, h.At, func(t faultWindow) bool { return t.affected == nil || len(t.affected) > 0 })
		least, most, some := uint64(0), uint64(0), false
		for _, r := range c.activeTables {
			if r.acknowledgedAt > 0 && r.acknowledgedAt+int64(c.bounds.TableLag) < began && touch {
				over = max(over, uint64(r.Version))
			}
		}
		for _, r := range c.activeTables {
			if _, ok := r.FindQueue(types.QueueName(h.Job)); ok != (h.Stage == "there") || r.submittedAt > h.At {
				continue
			}
			e := uint64(r.Version)
			if !some {
				least = e
			}
			least, most, some = min(least, e), max(most, e), true
		}
		c.coverage["table: a door was asked for a queue that came or went"]++
		if !some || most < over {
			c.violate("table", h.At, "%s says of %s that it is %q, as no table from version %d on has it", h.Process, h.Job, h.Stage, over)
			continue
		}
		for _, p := range back[h.Process] {
			if p.at+int64(c.bounds.TableRegression) < began && most < p.over {
				c.violate("back", h.At, "%s goes back: %s as only versions up to %d have it, after version %d at %.3f s", h.Process, h.Job, most, p.over, float64(p.at)/1e9)
				break
			}
		}
		back[h.Process] = append(back[h.Process], past{h.At, least})
	}
}

// countInvokedOpportunities counts what could have gone wrong.
func (c *checker) countInvokedOpportunities() {
	for _, s := range c.executions {
		j := c.jobs[s.attempt.Job]
		if j.spec == nil {
			continue
		}
		p := c.stepOf(s)
		for name, ok := range map[string]bool{
			"order: started a step with dependencies":        len(p.DependsOn) > 0,
			"early: started a step with a time":              j.spec.Schedule != nil,
			"alone: a member of a joint gang started":        p.Joint,
			"label: started under one":                       len(p.Labels) > 0,
			"late: a start was carried out late":             s.deliveredLate,
			"ended: " + string(s.how):                        s.how != "",
			"again: a good end that had lapsed when settled": s.outcome == state.OutcomeOK && s.settledAt == 0,
		} {
			if ok {
				c.coverage[name]++
			}
		}
	}
	for _, s := range c.executions {
		for shard, list := range c.leaving {
			if shard != s.shard && slices.ContainsFunc(list, func(l [2]int64) bool {
				return s.startedAt > l[0]+int64(c.bounds.StartAfterLeaving) && s.startedAt < l[1]
			}) {
				c.coverage["leaving: started elsewhere while a worker was leaving"]++
			}
		}
	}
	for _, j := range c.jobs {
		lost := func(t faultWindow) bool {
			return strings.Contains("kill-leader kill-controller power-all lose-disk swap-controller", t.name)
		}
		if j.acceptedAt > 0 && c.faultDuring(j.acceptedAt, j.acceptedAt+second, lost) {
			c.coverage["forgotten: accepted near a kill or lost disk"]++
		}
		if j.cancelledAt > 0 && !c.faultFree(j.cancelledAt, j.cancelledAt) {
			c.coverage["cancel: near a trouble"]++
		}
	}
	for _, h := range c.history.Events {
		switch h.Kind {
		case history.TableAcknowledged:
			if !c.faultFree(h.At, h.At+second) {
				c.coverage["table: acknowledged near a trouble"]++
			}
		case history.TableRefused:
			c.coverage["table: refused or losing"]++
		case history.AttemptRejected:
			if h.DeliveredLate {
				c.coverage["late: a start was turned away by a later fence"]++
				continue
			}
			c.coverage["room: a worker turned an attempt away"]++
		case history.GangAssembled:
			c.coverage["alone: a member's gang was whole"]++
		}
	}
}
