// More of the checker: places, rooms, gangs, what callers were shown, tables.
package sim

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// place: the right service, rack and spread, and nothing for one that leaves.
func (c *checker) checkPlacement(j *jobHistory) {
	for n, list := range j.executions {
		i := j.spec.StepOf(n)
		p := j.spec.Steps[i]
		for _, s := range list {
			m := c.workers[s.shard]
			if !slices.Contains(m.Kinds, p.Kind) {
				c.violate("service", s.startedAt, "%v of kind %s on %s", s.attempt, p.Kind, s.shard)
			}
			if p.Rack != "" {
				c.coverage["rack: started under a label"]++
			}
			if p.Rack != "" && p.Rack != m.Rack {
				c.violate("rack", s.startedAt, "%v for rack %s on %s in %s", s.attempt, p.Rack, s.shard, m.Rack)
			}
			for _, l := range p.Labels {
				if c.coverage["label: started under one"]++; !slices.Contains(m.Labels, l) {
					c.violate("label", s.startedAt, "%v needs %s, which %s has not", s.attempt, l, s.shard)
				}
			}
			for _, l := range slices.Concat(c.leaving[s.shard], c.draining[s.shard]) {
				if c.bounds.FaultAftermath > 0 && (s.deliveredLate || !c.inContact(s.shard, s.startedAt)) {
					continue
				}
				if s.startedAt > l[0] && s.startedAt <= l[0]+int64(c.bounds.StartAfterLeaving) {
					c.coverage["leaving: started within 2 s of the word"]++
				}
				if s.startedAt > l[0]+int64(c.bounds.StartAfterLeaving) && s.startedAt < l[1] {
					c.violate("leaving", s.startedAt, "%v starts on %s, leaving for %.3f s", s.attempt, s.process, float64(s.startedAt-l[0])/1e9)
				}
			}
			if p.MaxPerWorker == 0 {
				continue
			}
			at := 0
			for m := range p.Tasks {
				for _, o := range j.executions[types.StageOf(n).TaskNumber(m)] {
					if o.process == s.process && o.startedAt <= s.startedAt && o.endedAt > s.startedAt {
						at++
					}
				}
			}
			if at == p.MaxPerWorker {
				c.coverage["spread: started at the limit"]++
			}
			if at > p.MaxPerWorker {
				c.violate("spread", s.startedAt, "%d tasks of step %s of %s on %s, %d allowed", at, p.Name, j.id, s.process, p.MaxPerWorker)
			}
		}
	}
}

// room: what a worker runs at once fits into it.
func (c *checker) checkCapacity() {
	by := map[string][]*execution{}
	for _, s := range c.executions {
		by[s.process] = append(by[s.process], s)
	}
	for who, list := range by {
		var on []*execution // those that had not ended
		for _, s := range list {
			on = append(slices.DeleteFunc(on, func(o *execution) bool { return o.endedAt <= s.startedAt }), s)
			var sum types.Resources
			for _, o := range on {
				if o.endedAt > s.startedAt {
					if sp := c.jobs[o.attempt.Job].spec; sp != nil {
						sum = sum.Add(sp.Steps[sp.StepOf(o.attempt.TaskNumber)].Resources)
					}
				}
			}
			if m := c.workers[s.shard]; m.Capacity.Cores == sum.Cores {
				c.coverage["room: started into the last core"]++
			}
			if m := c.workers[s.shard]; c.jobs[s.attempt.Job].spec != nil && !m.Capacity.Contains(sum.Add(c.stepOf(s).Resources)) {
				c.coverage["room: started where no other like it would fit"]++
			}
			if m := c.workers[s.shard]; !m.Capacity.Contains(sum) {
				c.violate("room", s.startedAt, "%s runs %v at once, its room is %v", who, sum, m.Capacity)
			}
		}
	}
}

// gangs: no member runs on for long when a peer has ended badly, or never was.
func (c *checker) checkGangs(j *jobHistory) {
	for i, p := range j.spec.Steps {
		if !p.Gang {
			continue
		}
		b := types.TaskNumber(0, i, 0)
		for n := b; n < b+p.Tasks; n++ {
			for _, s := range j.executions[n] {
				for m := b; m < b+p.Tasks; m++ {
					if m != n {
						c.checkGangPair(j, s, m)
					}
				}
			}
		}
	}
}

func (c *checker) checkGangPair(j *jobHistory, s *execution, m int) {
	alone := int64(c.bounds.GangIncomplete)
	for _, o := range j.executions[m] {
		if o.outcome != state.OutcomeOK && o.endedAt < c.end && o.endedAt > s.startedAt && s.runs(o.endedAt, c.end) && !supersededBefore(j.executions[m], o) {
			c.coverage["gang: a member lost while a mate ran"]++
			if len(s.frozen) == 0 {
				c.coverage.setMax("gang: longest alone, ms", int(min(s.endedAt, c.end)-o.endedAt)/1e6)
			}
		}
	}
	if !s.runs(s.startedAt+alone, c.end) {
		return
	}
	met := j.endedWell(m, s.startedAt+alone)
	for _, o := range j.executions[m] {
		if o.endedAt > s.startedAt && o.startedAt < s.startedAt+alone {
			met = true
			if !supersededBefore(j.executions[m], o) && o.outcome != state.OutcomeOK && o.endedAt < c.end && s.runs(o.endedAt+alone, c.end) {
				c.violate("gang", o.endedAt+alone, "%v runs on although %v ended (%s)", s.attempt, o.attempt, o.outcome)
			}
		}
	}
	if !met {
		c.violate("gang", s.startedAt+alone, "%v runs without task %d", s.attempt, m)
	}
}

// supersededBefore tells whether an attempt that ended had been given again before: a frozen
// worker stops at its thaw what has long run elsewhere.
func supersededBefore(list []*execution, o *execution) bool {
	for _, q := range list {
		if q != o && q.startedAt >= o.startedAt && q.startedAt <= o.endedAt && q.endedAt > o.endedAt {
			return true
		}
	}
	return false
}

// shown: what callers were told of a job is true, and none is forgotten.
func (c *checker) checkObservations(j *jobHistory) {
	if j.acceptedAt == 0 {
		return
	}
	if j.notFoundAt > j.acceptedAt {
		c.violate("forgotten", j.notFoundAt, "%s was accepted, then there was no such job", j.id)
	}
	last := state.JobStatus("")
	for _, h := range j.observations {
		over := h.Stage == state.JobDone || h.Stage == state.JobFailed || h.Stage == state.JobCancelled
		if (last == state.JobDone || last == state.JobFailed || last == state.JobCancelled) && h.Stage != last && over {
			c.violate("shown", h.At, "%s was %s, then %s", j.id, last, h.Stage)
		}
		if over && last != h.Stage {
			c.checkEndShown(j, h)
		}
		if over {
			last = h.Stage
		}
	}
	if last == "" && c.bounds.AllJobsEnd {
		c.violate("forgotten", c.end, "%s was accepted and has not ended", j.id)
	}
}

func (c *checker) checkEndShown(j *jobHistory, h history.Event) {
	dead, late := false, 0
	for i := range j.spec.TotalTasks() {
		n := j.spec.TaskNumber(i)
		fails, last := 0, int64(0)
		for _, s := range j.executions[n] {
			if s.runs(h.At, c.end) {
				c.violate("shown", h.At, "%s is shown %s while %v runs", j.id, h.Stage, s.attempt)
			}
			if s.endedAt <= h.At && (s.outcome == state.OutcomeFailed || c.exceededTimeLimit(s)) {
				fails, last = fails+1, max(last, s.endedAt)
			}
		}
		least := 1 << 30
		for _, r := range c.rowsInForce(j.spec.Queue, last, h.At) {
			least = min(least, r.MaxFailures)
		}
		dead = dead || fails >= least
		if h.Stage == state.JobFailed && j.endedWell(n, h.At) {
			late++
		}
		if h.Stage == state.JobDone && !j.endedWell(n, h.At) {
			c.violate("shown", h.At, "%s is shown done, but task %d never ended well", j.id, n)
		}
	}
	c.coverage["shown: ended "+string(h.Stage)]++
	if h.Stage == state.JobFailed && !dead && !strings.Contains(h.Text, "lost") {
		c.violate("shown", h.At, "%s is shown failed (%s), but no task failed as often as its queue allows", j.id, h.Text)
	}
	if h.Stage == state.JobFailed && late == j.spec.TotalTasks() {
		c.violate("shown", h.At, "%s is shown failed (%s), but all its tasks had ended well", j.id, h.Text)
	}
	if h.Stage == state.JobCancelled && j.cancelledAt == 0 && !strings.Contains(h.Text, "cancel") {
		c.violate("shown", h.At, "%s is shown cancelled, but nobody did", j.id)
	}
}

// tables: an version says one thing; what is read is never older than what was
// acknowledged before the read began; a refused table is in no version.
func (c *checker) checkTables() {
	says := map[types.Version]config.Table{}
	var acked []history.Event
	tried := []config.Table{}
	fixed := func(t config.Table, at int64) {
		if o, ok := says[t.Version]; ok && !o.SameContent(t) {
			c.violate("table", at, "version %d says two different things", t.Version)
		}
		says[t.Version] = t
	}
	for _, h := range c.history.Events {
		switch h.Kind {
		case history.TableSubmitted:
			tried = append(tried, *h.Table)
		case history.TableAcknowledged:
			fixed(*h.Table, h.At)
			acked = append(acked, h)
		case history.TableRead:
			fixed(*h.Table, h.At)
			began, _ := strconv.ParseInt(h.Text, 10, 64)
			i := sort.Search(len(acked), func(i int) bool { return acked[i].At >= began })
			for _, a := range acked[:i] {
				if h.Table.Version < a.Table.Version {
					c.violate("table", h.At, "version %d was read although %d was acknowledged at %.3f s", h.Table.Version, a.Table.Version, float64(a.At)/1e9)
					break
				}
			}
			known := h.Table.Version == 0
			for _, t := range tried {
				known = known || t.Accepted().Version == h.Table.Version && t.SameContent(*h.Table)
			}
			if !known {
				c.violate("table", h.At, "version %d was put by nobody", h.Table.Version)
			}
		}
	}
	for _, h := range c.history.Events {
		if o, ok := says[types.Version(0)]; h.Kind == history.TableRefused && ok && len(o.Queues) > 0 {
			c.violate("table", h.At, "version 0 is not empty")
		}
		if h.Kind == history.TableRefused {
			if o, ok := says[h.Table.Accepted().Version]; ok && o.SameContent(*h.Table) && !c.submittedTwice(tried, *h.Table) {
				c.violate("table", h.At, "a refused table is version %d", o.Version)
			}
		}
	}
}

func (c *checker) submittedTwice(tried []config.Table, t config.Table) bool {
	n := 0
	for _, o := range tried {
		if o.Version == t.Version && o.SameContent(t) {
			n++
		}
	}
	return n > 1
}
