// The checker's view of tables in effect: which versions may be followed at a
// time, and whether what workers ran and callers were granted follows one of
// them. A refused or losing table may never be followed.
package sim

import (
	"slices"
	"sort"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// activeTable is one table that was put and may be in force.
type activeTable struct {
	config.Table
	base           types.Version
	submittedAt    int64 // put at the earliest
	acknowledgedAt int64 // acknowledged, or 0
	read           bool
	refused        bool
}

// Coverage counts the chances a history gave its rules to be broken.
type Coverage map[string]int

func (c Coverage) setMax(name string, n int) { c[name] = max(c[name], n) }

// Add sums another tally up; longest times stay the longest.
func (c Coverage) Add(o Coverage) {
	for k, n := range o {
		if len(k) > 4 && k[len(k)-4:] == ", ms" {
			c.setMax(k, n)
		} else {
			c[k] += n
		}
	}
}

// Reruns counts the ends that nobody alive could know of before a second run.
func (c Coverage) Reruns() (n int) {
	for k, v := range c {
		if len(k) > 6 && k[:6] == "re-run" {
			n += v
		}
	}
	return
}

func (c *checker) collectTables() {
	find := func(t config.Table) *activeTable {
		for i := range c.activeTables {
			if r := &c.activeTables[i]; r.Version == t.Version && r.SameContent(t) {
				return r
			}
		}
		return &activeTable{}
	}
	for _, h := range c.history.Events {
		switch h.Kind {
		case history.TableSubmitted:
			t := h.Table.Accepted()
			if r := find(t); r.submittedAt == 0 {
				c.activeTables = append(c.activeTables, activeTable{Table: t, base: h.Table.Version, submittedAt: h.At})
			}
		case history.TableAcknowledged:
			if r := find(*h.Table); r.acknowledgedAt == 0 {
				r.acknowledgedAt = h.At
			}
		case history.TableRead:
			find(*h.Table).read = true
		case history.TableRefused:
			find(h.Table.Accepted()).refused = true
		}
	}
	kept := c.activeTables[:0]
	for _, r := range c.activeTables {
		rival := false
		for _, o := range c.activeTables {
			rival = rival || o.base == r.base && (o.Version != r.Version || !o.SameContent(r.Table)) && (o.acknowledgedAt > 0 || o.read)
		}
		if !rival && (!r.refused || r.acknowledgedAt > 0 || r.read) {
			kept = append(kept, r)
		}
	}
	c.activeTables = kept
}

// rowsInForce are a queue's rows that may be followed somewhere in a stretch.
func (c *checker) rowsInForce(q types.QueueName, from, to int64) (list []config.Queue) {
	over := types.Version(0)
	for _, r := range c.activeTables {
		if r.acknowledgedAt > 0 && r.acknowledgedAt+int64(c.bounds.TableLag) < from {
			over = max(over, r.Version)
		}
	}
	for _, r := range c.activeTables {
		if row, ok := r.FindQueue(q); ok && r.submittedAt <= to && r.Version >= over {
			list = append(list, row)
		}
	}
	return
}

// effects: starts keep the running limit, attempts their time, and entry the
// waiting limit and the queues of a table in force.
func (c *checker) checkTableEffects() {
	by := map[types.QueueName][]*execution{}
	jobs := map[types.QueueName][]*jobHistory{}
	for _, s := range c.executions {
		if j := c.jobs[s.attempt.Job]; j.spec != nil {
			by[j.spec.Queue] = append(by[j.spec.Queue], s)
		}
	}
	for _, j := range c.jobs {
		if j.spec != nil && j.acceptedAt > 0 {
			jobs[j.spec.Queue] = append(jobs[j.spec.Queue], j)
		}
	}
	for q, list := range by {
		c.checkRunningLimit(q, list)
	}
	for q, list := range jobs {
		sort.Slice(list, func(i, k int) bool { return list[i].acceptedAt < list[k].acceptedAt })
		c.checkAdmissionLimit(q, list)
	}
}

const timeLimitSlack = int64(1500 * time.Millisecond)

func (c *checker) checkRunningLimit(q types.QueueName, list []*execution) {
	var on []*execution // those before it that had not ended
	for _, s := range list {
		on = slices.DeleteFunc(on, func(o *execution) bool { return o.endedAt <= s.startedAt })
		rows := c.rowsInForce(q, s.startedAt, s.startedAt)
		most, long := 0, 0
		for _, r := range rows {
			most, long = max(most, r.MaxRunning), max(long, r.TaskTimeoutMillis)
		}
		n := 1
		for _, o := range on {
			if o.runs(s.startedAt, s.startedAt+1) {
				n++
			}
		}
		on = append(on, s)
		if n == most {
			c.coverage["table: started at the running limit"]++
		}
		if n > most {
			c.violate("table", s.startedAt, "%v starts as running task %d of %s, %d allowed", s.attempt, n, q, most)
		}
		if p := c.stepOf(s); p.TimeLimitMillis > 0 {
			long = min(long, p.TimeLimitMillis)
		}
		if s.runs(s.startedAt+int64(long)*1e6+timeLimitSlack, c.end) {
			c.violate("table", s.endedAt, "%v runs %.3f s, its queue or step allows %d ms", s.attempt, float64(s.endedAt-s.startedAt)/1e9, long)
		}
	}
}

// entry: a job taken in while at least as many others as the queue may hold
// were surely unfinished all the while it was asked for.
func (c *checker) checkAdmissionLimit(q types.QueueName, list []*jobHistory) {
	var on []*jobHistory // those before it that were surely unfinished
	for _, j := range list {
		last := j.lastStart()
		on = slices.DeleteFunc(on, func(o *jobHistory) bool { return o.unfinishedUntil <= j.submittedAt })
		rows := c.rowsInForce(q, j.submittedAt, j.acceptedAt)
		if len(rows) == 0 {
			c.violate("table", j.acceptedAt, "%s was taken into %s, which no table in force has", j.id, q)
			continue
		}
		most := 0
		for _, r := range rows {
			most = max(most, r.MaxUnfinished)
		}
		n := 0
		for _, o := range on {
			if o.acceptedAt < j.submittedAt && o.unfinishedUntil > j.acceptedAt {
				n++
			}
		}
		j.unfinishedUntil = last
		on = append(on, j)
		if n >= most {
			c.violate("table", j.acceptedAt, "%s was taken into %s beside %d unfinished jobs, %d allowed", j.id, q, n, most)
		}
		if n >= most-3 {
			c.coverage["table: entry near the waiting limit"]++
		}
	}
}

// lastStart is when a job was surely still unfinished.
func (j *jobHistory) lastStart() (at int64) {
	for _, list := range j.executions {
		for _, s := range list {
			at = max(at, s.startedAt)
		}
	}
	return
}
