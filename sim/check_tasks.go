// More of the checker: places, rooms, gangs, what callers were shown, tables.
package sim

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// place: the right service, rack and spread, and nothing for one that leaves.
func (c *checker) place(j *job) {
	for n, list := range j.spans {
		i := j.spec.StepOf(n)
		p := j.spec.Steps[i]
		for _, s := range list {
			m := c.makes[s.shard]
			if !slices.Contains(m.Kinds, p.Kind) {
				c.bad("service", s.from, "%v of kind %s on %s", s.attempt, p.Kind, s.shard)
			}
			if p.Rack != "" {
				c.seen["rack: started under a label"]++
			}
			if p.Rack != "" && p.Rack != m.Rack {
				c.bad("rack", s.from, "%v for rack %s on %s in %s", s.attempt, p.Rack, s.shard, m.Rack)
			}
			for _, l := range p.Labels {
				if c.seen["label: started under one"]++; !slices.Contains(m.Labels, l) {
					c.bad("label", s.from, "%v needs %s, which %s has not", s.attempt, l, s.shard)
				}
			}
			for _, l := range slices.Concat(c.leave[s.shard], c.drain[s.shard]) {
				if c.b.Touch > 0 && (s.late || !c.touched(s.shard, s.from)) {
					continue
				}
				if s.from > l[0] && s.from <= l[0]+int64(c.b.Leave) {
					c.seen["leaving: started within 2 s of the word"]++
				}
				if s.from > l[0]+int64(c.b.Leave) && s.from < l[1] {
					c.bad("leaving", s.from, "%v starts on %s, leaving for %.3f s", s.attempt, s.who, float64(s.from-l[0])/1e9)
				}
			}
			if p.MaxPerWorker == 0 {
				continue
			}
			at := 0
			for m := range p.Tasks {
				for _, o := range j.spans[types.StageOf(n).TaskNumber(m)] {
					if o.who == s.who && o.from <= s.from && o.to > s.from {
						at++
					}
				}
			}
			if at == p.MaxPerWorker {
				c.seen["spread: started at the limit"]++
			}
			if at > p.MaxPerWorker {
				c.bad("spread", s.from, "%d tasks of step %s of %s on %s, %d allowed", at, p.Name, j.id, s.who, p.MaxPerWorker)
			}
		}
	}
}

// room: what a worker runs at once fits into it.
func (c *checker) room() {
	by := map[string][]*span{}
	for _, s := range c.spans {
		by[s.who] = append(by[s.who], s)
	}
	for who, list := range by {
		var on []*span // those that had not ended
		for _, s := range list {
			on = append(slices.DeleteFunc(on, func(o *span) bool { return o.to <= s.from }), s)
			var sum types.Resources
			for _, o := range on {
				if o.to > s.from {
					if sp := c.jobs[o.attempt.Job].spec; sp != nil {
						sum = sum.Add(sp.Steps[sp.StepOf(o.attempt.Number)].Resources)
					}
				}
			}
			if m := c.makes[s.shard]; m.Room.Cores == sum.Cores {
				c.seen["room: started into the last core"]++
			}
			if m := c.makes[s.shard]; c.jobs[s.attempt.Job].spec != nil && !m.Room.Contains(sum.Add(c.step(s).Resources)) {
				c.seen["room: started where no other like it would fit"]++
			}
			if m := c.makes[s.shard]; !m.Room.Contains(sum) {
				c.bad("room", s.from, "%s runs %v at once, its room is %v", who, sum, m.Room)
			}
		}
	}
}

// gangs: no member runs on for long when a peer has ended badly, or never was.
func (c *checker) gangs(j *job) {
	for i, p := range j.spec.Steps {
		if !p.Gang {
			continue
		}
		b := types.TaskNumber(0, i, 0)
		for n := b; n < b+p.Tasks; n++ {
			for _, s := range j.spans[n] {
				for m := b; m < b+p.Tasks; m++ {
					if m != n {
						c.mated(j, s, m)
					}
				}
			}
		}
	}
}

func (c *checker) mated(j *job, s *span, m int) {
	alone := int64(c.b.Alone)
	for _, o := range j.spans[m] {
		if o.outcome != state.OutcomeOK && o.to < c.end && o.to > s.from && s.runs(o.to, c.end) && !newer(j.spans[m], o) {
			c.seen["gang: a member lost while a mate ran"]++
			if len(s.ice) == 0 {
				c.seen.most("gang: longest alone, ms", int(min(s.to, c.end)-o.to)/1e6)
			}
		}
	}
	if !s.runs(s.from+alone, c.end) {
		return
	}
	met := j.good(m, s.from+alone)
	for _, o := range j.spans[m] {
		if o.to > s.from && o.from < s.from+alone {
			met = true
			if !newer(j.spans[m], o) && o.outcome != state.OutcomeOK && o.to < c.end && s.runs(o.to+alone, c.end) {
				c.bad("gang", o.to+alone, "%v runs on although %v ended (%s)", s.attempt, o.attempt, o.outcome)
			}
		}
	}
	if !met {
		c.bad("gang", s.from+alone, "%v runs without task %d", s.attempt, m)
	}
}

// newer tells whether an attempt that ended had been given again before: a frozen
// worker stops at its thaw what has long run elsewhere.
func newer(list []*span, o *span) bool {
	for _, q := range list {
		if q != o && q.from >= o.from && q.from <= o.to && q.to > o.to {
			return true
		}
	}
	return false
}

// shown: what callers were told of a job is true, and none is forgotten.
func (c *checker) shown(j *job) {
	if j.taken == 0 {
		return
	}
	if j.missed > j.taken {
		c.bad("forgotten", j.missed, "%s was accepted, then there was no such job", j.id)
	}
	last := state.JobStatus("")
	for _, h := range j.sight {
		over := h.Stage == state.JobDone || h.Stage == state.JobFailed || h.Stage == state.JobCancelled
		if (last == state.JobDone || last == state.JobFailed || last == state.JobCancelled) && h.Stage != last && over {
			c.bad("shown", h.At, "%s was %s, then %s", j.id, last, h.Stage)
		}
		if over && last != h.Stage {
			c.told(j, h)
		}
		if over {
			last = h.Stage
		}
	}
	if last == "" && c.b.Settled {
		c.bad("forgotten", c.end, "%s was accepted and has not ended", j.id)
	}
}

func (c *checker) told(j *job, h HistoryEvent) {
	dead, late := false, 0
	for i := range j.spec.TotalTasks() {
		n := j.spec.TaskNumber(i)
		fails, last := 0, int64(0)
		for _, s := range j.spans[n] {
			if s.runs(h.At, c.end) {
				c.bad("shown", h.At, "%s is shown %s while %v runs", j.id, h.Stage, s.attempt)
			}
			if s.to <= h.At && (s.outcome == state.OutcomeFailed || c.overran(s)) {
				fails, last = fails+1, max(last, s.to)
			}
		}
		least := 1 << 30
		for _, r := range c.rows(j.spec.Queue, last, h.At) {
			least = min(least, r.MaxFailures)
		}
		dead = dead || fails >= least
		if h.Stage == state.JobFailed && j.good(n, h.At) {
			late++
		}
		if h.Stage == state.JobDone && !j.good(n, h.At) {
			c.bad("shown", h.At, "%s is shown done, but task %d never ended well", j.id, n)
		}
	}
	c.seen["shown: ended "+string(h.Stage)]++
	if h.Stage == state.JobFailed && !dead && !strings.Contains(h.Text, "lost") {
		c.bad("shown", h.At, "%s is shown failed (%s), but no task failed as often as its queue allows", j.id, h.Text)
	}
	if h.Stage == state.JobFailed && late == j.spec.TotalTasks() {
		c.bad("shown", h.At, "%s is shown failed (%s), but all its tasks had ended well", j.id, h.Text)
	}
	if h.Stage == state.JobCancelled && j.halt == 0 && !strings.Contains(h.Text, "cancel") {
		c.bad("shown", h.At, "%s is shown cancelled, but nobody did", j.id)
	}
}

// tables: an version says one thing; what is read is never older than what was
// acknowledged before the read began; a refused table is in no version.
func (c *checker) tables() {
	says := map[types.Version]config.Table{}
	var acked []HistoryEvent
	tried := []config.Table{}
	fixed := func(t config.Table, at int64) {
		if o, ok := says[t.Version]; ok && !o.SameContent(t) {
			c.bad("table", at, "version %d says two different things", t.Version)
		}
		says[t.Version] = t
	}
	for _, h := range c.hist.List {
		switch h.What {
		case TableTry:
			tried = append(tried, *h.Table)
		case TableAck:
			fixed(*h.Table, h.At)
			acked = append(acked, h)
		case TableSaw:
			fixed(*h.Table, h.At)
			began, _ := strconv.ParseInt(h.Text, 10, 64)
			i := sort.Search(len(acked), func(i int) bool { return acked[i].At >= began })
			for _, a := range acked[:i] {
				if h.Table.Version < a.Table.Version {
					c.bad("table", h.At, "version %d was read although %d was acknowledged at %.3f s", h.Table.Version, a.Table.Version, float64(a.At)/1e9)
					break
				}
			}
			known := h.Table.Version == 0
			for _, t := range tried {
				known = known || t.Accepted().Version == h.Table.Version && t.SameContent(*h.Table)
			}
			if !known {
				c.bad("table", h.At, "version %d was put by nobody", h.Table.Version)
			}
		}
	}
	for _, h := range c.hist.List {
		if o, ok := says[types.Version(0)]; h.What == TableNo && ok && len(o.Queues) > 0 {
			c.bad("table", h.At, "version 0 is not empty")
		}
		if h.What == TableNo {
			if o, ok := says[h.Table.Accepted().Version]; ok && o.SameContent(*h.Table) && !c.twin(tried, *h.Table) {
				c.bad("table", h.At, "a refused table is version %d", o.Version)
			}
		}
	}
}

func (c *checker) twin(tried []config.Table, t config.Table) bool {
	n := 0
	for _, o := range tried {
		if o.Version == t.Version && o.SameContent(t) {
			n++
		}
	}
	return n > 1
}

// Rate counts jobs seen done in a stretch, each once, by when they were sent.
func Rate(h *History, from, to int64) float64 {
	first := map[types.JobID]bool{}
	n := 0
	for _, x := range h.List {
		if x.What == Saw && x.Stage == state.JobDone && !first[x.Job] {
			first[x.Job] = true
			if x.At >= from && x.At < to {
				n++
			}
		}
	}
	return float64(n) / (time.Duration(to - from)).Seconds()
}

// Summary counts the history's happenings in one line.
func Summary(h *History) string {
	n := map[EventKind]int{}
	outcomes := map[state.Outcome]int{}
	for _, x := range h.List {
		n[x.What]++
		if x.What == Ended {
			outcomes[x.Outcome]++
		}
	}
	return fmt.Sprintf("sent %d, accepted %d, denied %d, cancels %d, attempts %d, ended %v, worker deaths %d, tables %d taken %d refused, troubles %d",
		n[Sent], n[Accepted], n[Denied], n[Halt], n[Started], outcomes, n[Died], n[TableAck], n[TableNo], n[Trouble])
}
