// The checker on deployments whose workers are invoked: the rules of their users, read
// from what workers, callers and operators saw. Bounds of time hold only for
// machines in touch, those that no trouble has touched for a while, and not for
// orders that a worker carried out late. This file has the rules on the attempts of
// one task; the others are in called_jobs.go, called_idle.go and called_tables.go.
package sim

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// InvokedRules are the bounds of the two deployments.
func InvokedRules(m WorkerRules) Bounds {
	return Bounds{Start: 3 * time.Second, Run: 3*time.Second + m.Stop, Early: 250 * time.Millisecond, Leave: 2 * time.Second, Alone: m.Gang,
		Table: 2 * time.Second, Settled: true, Touch: 3 * time.Second, Seen: 3 * time.Second, Idle: 3 * time.Second,
		Back: 250 * time.Millisecond, Jump: 5 * time.Second}
}

// CheckCalled tells all rules a history breaks, and what chances it had to.
func CheckInvoked(h *History, b Bounds, end int64) ([]Break, Tally) {
	c := newChecker(h, b, end)
	if c.on(0, end, func(t faultWindow) bool { return strings.HasPrefix(t.name, "jump") }) {
		c.b.Early += b.Jump
	}
	saves := c.saves()
	for _, j := range c.sorted() {
		if j.spec == nil {
			c.bad("unasked", 0, "an attempt of %s, which nobody sent", j.id)
			continue
		}
		c.twice(j)
		c.tries(j)
		c.unasked(j, saves)
		c.order(j)
		c.place(j)
		c.alone(j)
		c.stops(j)
		c.refused(j)
		c.answers(j)
	}
	c.room()
	c.idle()
	c.tables()
	c.versions()
	c.effects()
	c.invokedChances()
	return c.verdict()
}

// trouble is a stretch in which a fault was on, and whom it touched.
type faultWindow struct {
	name     string
	from, to int64
	affected []types.Addr
}

func (c *checker) troubles() []faultWindow {
	if c.woes != nil {
		return c.woes
	}
	c.woes = []faultWindow{}
	for _, h := range c.hist.List {
		switch h.What {
		case Trouble:
			name, long, _ := strings.Cut(h.Text, " for ")
			d, _ := time.ParseDuration(long)
			c.woes = append(c.woes, faultWindow{name, h.At, h.At + int64(d), h.Affected})
		case Healed:
			for i := range c.woes {
				c.woes[i].to = min(c.woes[i].to, h.At)
			}
		}
	}
	return c.woes
}

// on tells whether a trouble of some kind touches a stretch, or did shortly before.
func (c *checker) on(from, to int64, kind func(faultWindow) bool) bool {
	for _, t := range c.troubles() {
		if t.from <= to && t.to+int64(c.b.Touch) >= from && kind(t) {
			return true
		}
	}
	return false
}

// ours is a trouble of the system's own machines, or of all the world.
func (f faultWindow) ours(who ...types.Addr) bool {
	if f.affected == nil {
		return true
	}
	for _, a := range f.affected {
		if slices.Contains(who, a) {
			return true
		}
	}
	return false
}

// touched tells whether the machine beside a worker is in touch at a time.
func (c *checker) touched(shard types.Shard, at int64) bool {
	w := types.Addr("w" + string(shard[1:]))
	return !c.on(at, at, func(t faultWindow) bool { return t.ours(w) })
}

// quiet tells that nothing at all was wrong in a stretch.
func (c *checker) quiet(from, to int64) bool {
	return !c.on(from, to, func(t faultWindow) bool { return t.affected == nil || len(t.affected) > 0 })
}

const sec = int64(time.Second)

// twice: no task two times at once, and none again after a good end that was
// noted. Where a step allows copies, only long after.
func (c *checker) twice(j *job) {
	shown := int64(0)
	for _, h := range j.sight {
		if h.Stage == state.JobDone && shown == 0 {
			shown = h.At
		}
	}
	for n, list := range j.spans {
		p := j.spec.Steps[j.spec.StepOf(n)]
		for i, s := range list {
			hard := !s.late && c.touched(s.shard, s.from)
			if shown > 0 && s.from > shown+sec && hard {
				c.bad("again", s.from, "%v starts %.3f s after its job was shown done", s.attempt, float64(s.from-shown)/1e9)
			}
			for _, o := range list[:i] {
				if o.runs(s.from, s.to) && !p.AllowHedge {
					c.bad("twice", s.from, "%v on %s while %v runs on %s", s.attempt, s.who, o.attempt, o.who)
				}
				if o.outcome == state.OutcomeLeaseExpired || o.outcome == state.OutcomeWorkerExited {
					c.seen["twice: started again after a lapse or a crash"]++
				}
			}
			for _, o := range c.peers(j, n, p) {
				switch {
				case o.outcome != state.OutcomeOK || o.to > s.from || o == s:
				case o.noted == 0:
					c.seen["again: started after a good end that was never noted"]++
				case !p.AllowHedge || s.from > o.noted+sec && hard:
					c.bad("again", s.from, "%v starts although %v ended well at %.3f s, noted at %.3f s", s.attempt, o.attempt, float64(o.to)/1e9, float64(o.noted)/1e9)
				}
			}
		}
	}
}

// peers are the attempts of a task, or of all tasks of a joint gang.
func (c *checker) peers(j *job, n int, p state.Step) (list []*span) {
	if !p.Joint {
		return j.spans[n]
	}
	for i := range p.Tasks {
		list = append(list, j.spans[types.StageOf(n).TaskNumber(i)]...)
	}
	return
}

// tries: no start after as many noted failures as the table allows; those of a
// gang's members with one number are one.
func (c *checker) tries(j *job) {
	for n, list := range j.spans {
		p := j.spec.Steps[j.spec.StepOf(n)]
		if p.AlwaysRestart {
			continue
		}
		for _, s := range list {
			failed, last := map[int]bool{}, int64(0)
			for _, o := range c.peers(j, n, p) {
				if o.outcome == state.OutcomeFailed && o.to <= s.from && o.noted > 0 && o.attempt.Attempt != s.attempt.Attempt {
					failed[o.attempt.Attempt], last = true, max(last, o.noted)
				}
			}
			most := 0
			for _, r := range c.rows(j.spec.Queue, s.from, s.from) {
				most = max(most, r.MaxFailures)
			}
			if len(failed) >= most && (!p.AllowHedge || s.from > last+sec && !s.late && c.touched(s.shard, s.from)) {
				c.bad("tries", s.from, "%v starts after %d failures, %d allowed", s.attempt, len(failed), most)
			}
			if len(failed) > 0 {
				c.seen["tries: started again after a failure"]++
			}
			if len(failed) > 0 && len(failed) == most-1 {
				c.seen["tries: last try allowed"]++
			}
		}
	}
}

// saves lists what each stage's attempts saved, and when.
func (c *checker) saves() map[string]HistoryEvent {
	saves := map[string]HistoryEvent{}
	for _, h := range c.hist.List {
		if h.What == Saved {
			saves[h.Ref] = h
		}
	}
	return saves
}

// unasked: only what was sent, with its own work, from what its own task saved.
func (c *checker) unasked(j *job, saves map[string]HistoryEvent) {
	for n, list := range j.spans {
		i := j.spec.StepOf(n)
		for _, s := range list {
			if i < 0 {
				c.bad("unasked", s.from, "%v starts, a task that its job has not", s.attempt)
				continue
			}
			if !same(s.work, j.spec.StepWork(i)) {
				c.bad("unasked", s.from, "%v starts with other work: %s", s.attempt, s.work)
			}
			if s.from < j.sent {
				c.bad("unasked", s.from, "%v starts before its job was sent", s.attempt)
			}
			if s.ref == "" {
				continue
			}
			c.seen["unasked: started from what was saved"]++
			h, p := saves[s.ref], j.spec.Steps[i]
			own := h.Attempt.Job == j.id && (h.Attempt.Number == n || p.Joint && types.StageOf(h.Attempt.Number) == types.StageOf(n))
			if !own || h.At > s.from {
				c.bad("unasked", s.from, "%v starts from %s, which is not its own", s.attempt, s.ref)
			}
		}
	}
}

// same tells whether two texts of JSON say the same.
func same(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && x.String() == y.String()
}

// alone: no member of a gang waits in vain for the others while nothing is wrong.
func (c *checker) alone(j *job) {
	for _, list := range j.spans {
		for _, s := range list {
			if s.how != wire.EndGangStartTimeout {
				continue
			}
			if c.quiet(s.from-int64(c.b.Alone), s.to) && (j.halt == 0 || s.to < j.halt) {
				c.bad("alone", s.to, "%v on %s waited for its gang in vain", s.attempt, s.who)
			} else {
				c.seen["alone: waited in vain during a trouble"]++
			}
		}
	}
}

// stops: no start and no running past the bounds after an accepted cancel.
func (c *checker) stops(j *job) {
	if j.halt == 0 {
		return
	}
	for _, list := range j.spans {
		for _, s := range list {
			if s.from > j.halt+int64(c.b.Start) && !s.late && c.touched(s.shard, s.from) {
				c.bad("cancel-start", s.from, "%v starts %.3f s after its cancel", s.attempt, float64(s.from-j.halt)/1e9)
			}
			if !s.runs(j.halt, c.end) {
				continue
			}
			c.seen["cancel: hit a running attempt"]++
			if late := j.halt + int64(c.b.Run); s.runs(late, c.end) && !s.late && c.quiet(j.halt, late) {
				c.bad("cancel-run", s.to, "%v runs %.3f s after its cancel", s.attempt, float64(s.to-j.halt)/1e9)
			}
		}
	}
}
