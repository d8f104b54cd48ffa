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
)

// activeTable is one table that was put and may be in force.
type activeTable struct {
	config.Table
	base  types.Version
	from  int64 // put at the earliest
	acked int64 // acknowledged, or 0
	read  bool
	no    bool
}

// Tally counts the chances a history gave its rules to be broken.
type Tally map[string]int

func (t Tally) most(name string, n int) { t[name] = max(t[name], n) }

// Add sums another tally up; longest times stay the longest.
func (t Tally) Add(o Tally) {
	for k, n := range o {
		if len(k) > 4 && k[len(k)-4:] == ", ms" {
			t.most(k, n)
		} else {
			t[k] += n
		}
	}
}

// Reruns counts the ends that nobody alive could know of before a second run.
func (t Tally) Reruns() (n int) {
	for k, v := range t {
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
	for _, h := range c.hist.List {
		switch h.What {
		case TableTry:
			t := h.Table.Accepted()
			if r := find(t); r.from == 0 {
				c.activeTables = append(c.activeTables, activeTable{Table: t, base: h.Table.Version, from: h.At})
			}
		case TableAck:
			if r := find(*h.Table); r.acked == 0 {
				r.acked = h.At
			}
		case TableSaw:
			find(*h.Table).read = true
		case TableNo:
			find(h.Table.Accepted()).no = true
		}
	}
	kept := c.activeTables[:0]
	for _, r := range c.activeTables {
		rival := false
		for _, o := range c.activeTables {
			rival = rival || o.base == r.base && (o.Version != r.Version || !o.SameContent(r.Table)) && (o.acked > 0 || o.read)
		}
		if !rival && (!r.no || r.acked > 0 || r.read) {
			kept = append(kept, r)
		}
	}
	c.activeTables = kept
}

// rows are a queue's rows that may be followed somewhere in a stretch.
func (c *checker) rows(q types.QueueName, from, to int64) (list []config.Queue) {
	over := types.Version(0)
	for _, r := range c.activeTables {
		if r.acked > 0 && r.acked+int64(c.b.Table) < from {
			over = max(over, r.Version)
		}
	}
	for _, r := range c.activeTables {
		if row, ok := r.FindQueue(q); ok && r.from <= to && r.Version >= over {
			list = append(list, row)
		}
	}
	return
}

// effects: starts keep the running limit, attempts their time, and entry the
// waiting limit and the queues of a table in force.
func (c *checker) effects() {
	by := map[types.QueueName][]*span{}
	jobs := map[types.QueueName][]*job{}
	for _, s := range c.spans {
		if j := c.jobs[s.attempt.Job]; j.spec != nil {
			by[j.spec.Queue] = append(by[j.spec.Queue], s)
		}
	}
	for _, j := range c.jobs {
		if j.spec != nil && j.taken > 0 {
			jobs[j.spec.Queue] = append(jobs[j.spec.Queue], j)
		}
	}
	for q, list := range by {
		c.running(q, list)
	}
	for q, list := range jobs {
		sort.Slice(list, func(i, k int) bool { return list[i].taken < list[k].taken })
		c.entry(q, list)
	}
}

const overtime = int64(1500 * time.Millisecond)

func (c *checker) running(q types.QueueName, list []*span) {
	var on []*span // those before it that had not ended
	for _, s := range list {
		on = slices.DeleteFunc(on, func(o *span) bool { return o.to <= s.from })
		rows := c.rows(q, s.from, s.from)
		most, long := 0, 0
		for _, r := range rows {
			most, long = max(most, r.MaxRunning), max(long, r.TaskTimeoutMillis)
		}
		n := 1
		for _, o := range on {
			if o.runs(s.from, s.from+1) {
				n++
			}
		}
		on = append(on, s)
		if n == most {
			c.seen["table: started at the running limit"]++
		}
		if n > most {
			c.bad("table", s.from, "%v starts as running task %d of %s, %d allowed", s.attempt, n, q, most)
		}
		if p := c.step(s); p.TimeLimitMillis > 0 {
			long = min(long, p.TimeLimitMillis)
		}
		if s.runs(s.from+int64(long)*1e6+overtime, c.end) {
			c.bad("table", s.to, "%v runs %.3f s, its queue or step allows %d ms", s.attempt, float64(s.to-s.from)/1e9, long)
		}
	}
}

// entry: a job taken in while at least as many others as the queue may hold
// were surely unfinished all the while it was asked for.
func (c *checker) entry(q types.QueueName, list []*job) {
	var on []*job // those before it that were surely unfinished
	for _, j := range list {
		last := j.last()
		on = slices.DeleteFunc(on, func(o *job) bool { return o.end <= j.sent })
		rows := c.rows(q, j.sent, j.taken)
		if len(rows) == 0 {
			c.bad("table", j.taken, "%s was taken into %s, which no table in force has", j.id, q)
			continue
		}
		most := 0
		for _, r := range rows {
			most = max(most, r.MaxUnfinished)
		}
		n := 0
		for _, o := range on {
			if o.taken < j.sent && o.end > j.taken {
				n++
			}
		}
		j.end = last
		on = append(on, j)
		if n >= most {
			c.bad("table", j.taken, "%s was taken into %s beside %d unfinished jobs, %d allowed", j.id, q, n, most)
		}
		if n >= most-3 {
			c.seen["table: entry near the waiting limit"]++
		}
	}
}

// last is when a job was surely still unfinished.
func (j *job) last() (at int64) {
	for _, list := range j.spans {
		for _, s := range list {
			at = max(at, s.from)
		}
	}
	return
}
