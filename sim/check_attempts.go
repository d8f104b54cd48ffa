// The checker on attempts of one task: never two at once, none after a good end that
// anybody alive was told of, no more tries than allowed; and on workers that are
// taken away or drained.
package sim

import (
	"strings"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// excuse tells why an attempt's end need not have been known at a time, or nothing:
// no daemon alive then had been told, and the worker is dead or the queue's
// patience is over.
func (c *checker) excuse(o *span, at, patience int64) string {
	if o.told > 0 && o.told <= at {
		return ""
	}
	known, once := false, false
	for _, h := range o.heard {
		dead := false
		for _, d := range c.down[h.who] {
			dead = dead || d >= h.at && d <= at
		}
		once = once || h.at <= at
		known = known || h.at <= at && !dead
	}
	late := at-o.to >= patience
	switch {
	case known && c.b.Hurry && late:
		return "re-run: known beyond a cut, in hurry"
	case known:
		return ""
	case o.died > 0 && o.died <= at && once:
		return "re-run: worker and all who were told are dead"
	case o.died > 0 && o.died <= at:
		return "re-run: worker died before it told anybody"
	case late:
		return "re-run: worker out of reach beyond the patience"
	}
	return ""
}

// overran tells an attempt that was stopped at the time its queue or step allows,
// which is a failure too.
func (c *checker) overran(s *span) bool {
	p := c.step(s)
	for _, r := range c.rows(c.jobs[s.attempt.Job].spec.Queue, s.from, s.to) {
		long := r.TaskTimeoutMillis
		if p.TimeLimitMillis > 0 {
			long = min(long, p.TimeLimitMillis)
		}
		if s.outcome == state.OutcomeStopped && s.to-s.from >= int64(long)*1e6 {
			return true
		}
	}
	return false
}

// once: no task twice at once, and none again after it ended well; no more
// tries than the queue allows.
func (c *checker) once(j *job, patience int64) {
	for n, list := range j.spans {
		for i, s := range list {
			fails := 0
			for _, o := range list[:i] {
				if o.runs(s.from, s.to) && s.runs(o.from, o.to) {
					c.bad("twice", s.from, "%v on %s while %v runs on %s", s.attempt, s.who, o.attempt, o.who)
				}
				if o.to > s.from {
					c.seen["twice: a newer attempt while an older stood frozen"]++
					continue
				}
				why := ""
				if o.outcome == state.OutcomeOK || o.outcome == state.OutcomeFailed {
					why = c.excuse(o, s.from, patience)
				}
				switch {
				case o.outcome == state.OutcomeFailed && why == "":
					fails++
				case o.outcome == state.OutcomeOK && why == "":
					c.bad("again", s.from, "%v starts although %v ended well at %.3f s", s.attempt, o.attempt, float64(o.to)/1e9)
				case o.outcome == state.OutcomeOK:
					c.seen[why]++
				case o.outcome != state.OutcomeFailed:
					c.seen["again: started again after a lost or stopped attempt"]++
				}
			}
			most := 0
			for _, r := range c.rows(j.spec.Queue, s.from, s.from) {
				most = max(most, r.MaxFailures)
			}
			if fails >= most {
				c.bad("tries", s.from, "task %d of %s starts after %d failures, %d allowed", n, j.id, fails, most)
			}
			if fails > 0 {
				c.seen["tries: started again after a failure"]++
			}
			if fails > 0 && fails == most-1 {
				c.seen["tries: last try allowed"]++
			}
		}
	}
}

// fair is the notice with which nothing need be lost to a removal.
const fair = 2500 * time.Millisecond

// removed counts what a worker still ran that had said in time when it goes.
func (c *checker) removed(h HistoryEvent, live map[types.AttemptID]*span) {
	if d, _ := time.ParseDuration(h.Text); d >= fair {
		c.seen["removed: workers taken away with notice"]++
		c.seen["removed: attempts lost to that"] += len(live)
	}
}

// drained opens or closes a drain of a worker or a rack.
func (c *checker) drained(h HistoryEvent) {
	kind, name, _ := strings.Cut(h.Text, "/")
	for shard, m := range c.makes {
		if kind == "racks" && string(m.Rack) != name || kind == "workers" && string(shard) != name {
			continue
		}
		l := c.drain[shard]
		if h.What == Drained {
			c.seen["leaving: a drain taken"]++
			c.drain[shard] = append(l, [2]int64{h.At, c.end})
			continue
		}
		for i := range l {
			l[i][1] = min(l[i][1], h.At)
		}
	}
}
