// The checker on attempts of one task: never two at once, none after a good end that
// anybody alive was told of, no more tries than allowed; and on workers that are
// taken away or drained.
package sim

import (
	"strings"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// rerunExcuse tells why an attempt's end need not have been known at a time, or nothing:
// no daemon alive then had been told, and the worker is dead or the queue's
// patience is over.
func (c *checker) rerunExcuse(o *execution, at, patience int64) string {
	if o.acknowledgedAt > 0 && o.acknowledgedAt <= at {
		return ""
	}
	known, once := false, false
	for _, h := range o.reports {
		dead := false
		for _, d := range c.stoppedAt[h.process] {
			dead = dead || d >= h.at && d <= at
		}
		once = once || h.at <= at
		known = known || h.at <= at && !dead
	}
	late := at-o.endedAt >= patience
	switch {
	case known && c.bounds.ShortPatience && late:
		return "re-run: known beyond a cut, in hurry"
	case known:
		return ""
	case o.workerDiedAt > 0 && o.workerDiedAt <= at && once:
		return "re-run: worker and all who were told are dead"
	case o.workerDiedAt > 0 && o.workerDiedAt <= at:
		return "re-run: worker died before it told anybody"
	case late:
		return "re-run: worker out of reach beyond the patience"
	}
	return ""
}

// exceededTimeLimit tells an attempt that was stopped at the time its queue or step allows,
// which is a failure too.
func (c *checker) exceededTimeLimit(s *execution) bool {
	p := c.stepOf(s)
	for _, r := range c.rowsInForce(c.jobs[s.attempt.Job].spec.Queue, s.startedAt, s.endedAt) {
		long := r.TaskTimeoutMillis
		if p.TimeLimitMillis > 0 {
			long = min(long, p.TimeLimitMillis)
		}
		if s.outcome == state.OutcomeStopped && s.endedAt-s.startedAt >= int64(long)*1e6 {
			return true
		}
	}
	return false
}

// once: no task twice at once, and none again after it ended well; no more
// tries than the queue allows.
func (c *checker) checkReruns(j *jobHistory, patience int64) {
	for n, list := range j.executions {
		for i, s := range list {
			fails := 0
			for _, o := range list[:i] {
				if o.runs(s.startedAt, s.endedAt) && s.runs(o.startedAt, o.endedAt) {
					c.violate("twice", s.startedAt, "%v on %s while %v runs on %s", s.attempt, s.process, o.attempt, o.process)
				}
				if o.endedAt > s.startedAt {
					c.coverage["twice: a newer attempt while an older stood frozen"]++
					continue
				}
				why := ""
				if o.outcome == state.OutcomeOK || o.outcome == state.OutcomeFailed {
					why = c.rerunExcuse(o, s.startedAt, patience)
				}
				switch {
				case o.outcome == state.OutcomeFailed && why == "":
					fails++
				case o.outcome == state.OutcomeOK && why == "":
					c.violate("again", s.startedAt, "%v starts although %v ended well at %.3f s", s.attempt, o.attempt, float64(o.endedAt)/1e9)
				case o.outcome == state.OutcomeOK:
					c.coverage[why]++
				case o.outcome != state.OutcomeFailed:
					c.coverage["again: started again after a lost or stopped attempt"]++
				}
			}
			most := 0
			for _, r := range c.rowsInForce(j.spec.Queue, s.startedAt, s.startedAt) {
				most = max(most, r.MaxFailures)
			}
			if fails >= most {
				c.violate("tries", s.startedAt, "task %d of %s starts after %d failures, %d allowed", n, j.id, fails, most)
			}
			if fails > 0 {
				c.coverage["tries: started again after a failure"]++
			}
			if fails > 0 && fails == most-1 {
				c.coverage["tries: last try allowed"]++
			}
		}
	}
}

// fairNotice is the notice with which nothing need be lost to a removal.
const fairNotice = 2500 * time.Millisecond

// countRemoval counts what a worker still ran that had said in time when it goes.
func (c *checker) countRemoval(h history.Event, live map[types.AttemptID]*execution) {
	if d, _ := time.ParseDuration(h.Text); d >= fairNotice {
		c.coverage["removed: workers taken away with notice"]++
		c.coverage["removed: attempts lost to that"] += len(live)
	}
}

// recordDrain opens or closes a drain of a worker or a rack.
func (c *checker) recordDrain(h history.Event) {
	kind, name, _ := strings.Cut(h.Text, "/")
	for shard, m := range c.workers {
		if kind == "racks" && string(m.Rack) != name || kind == "workers" && string(shard) != name {
			continue
		}
		l := c.draining[shard]
		if h.Kind == history.DrainAccepted {
			c.coverage["leaving: a drain taken"]++
			c.draining[shard] = append(l, [2]int64{h.At, c.end})
			continue
		}
		for i := range l {
			l[i][1] = min(l[i][1], h.At)
		}
	}
}
