// The checker: reads a history and tells every rule that it breaks. It knows
// attempts as the workers ran them, jobs as callers sent and saw them, and tables
// as operators were answered.
package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Break is one broken rule.
type Break struct {
	Rule string
	At   int64
	Text string
}

func (b Break) String() string {
	return fmt.Sprintf("%-14s at %8.3f s: %s", b.Rule, float64(b.At)/1e9, b.Text)
}

// span is one attempt as it ran on a worker.
type span struct {
	attempt types.AttemptID
	who     string
	shard   types.Shard
	from    int64
	to      int64 // the end of the history if it never ended
	outcome state.Outcome
	told    int64      // when the system acknowledged the end
	heard   []heard    // daemons that were told of the end
	died    int64      // when its worker process ended
	ice     [][2]int64 // when its worker stood still

	how   wire.EndReason // of one that was called
	ref   string
	work  json.RawMessage
	late  bool
	noted int64 // when its end was settled at its worker, before any lapse
}

type heard struct {
	who string
	at  int64
}

type job struct {
	id     types.JobID
	spec   *state.Spec
	sent   int64
	taken  int64
	halt   int64
	sight  []HistoryEvent
	missed int64
	end    int64           // until when it was surely unfinished
	spans  map[int][]*span // by task

	asked   int64 // when its cancelling was first sent
	turned  int   // tries to hand it in that were turned away
	unclear int   // and that had no clear answer
}

// Bounds of the rules, with what the callers' network adds.
type Bounds struct {
	Start   time.Duration // a start after a cancel
	Run     time.Duration // running after a cancel
	Early   time.Duration // before its time
	Leave   time.Duration // a start after a worker said it is leaving
	Alone   time.Duration // one of a gang without the rest
	Table   time.Duration // an acknowledged table not seen
	Settled bool          // all jobs must have ended by the end
	Hurry   bool          // queues run lost attempts again before a cut can have healed

	Touch time.Duration // how long after a trouble a machine is held to the bounds of time
	Seen  time.Duration // an accepted job not known
	Idle  time.Duration // work whose turn has come, and that nothing holds back
	Back  time.Duration // a table followed again that is older than one followed
	Jump  time.Duration // more before its time on days when clocks jump
}

// alone is how long a gang's member may run on after a peer was lost: until the
// loss is known, an election, a commit, and a stop repeated until it arrives.
func alone(p dispatch.Timeouts, a raft.Timeouts) time.Duration {
	return p.LostAfter + p.HeartbeatInterval + 2*a.MinElectionTimeout + a.StallTimeout + p.RetryInterval/2 + dispatch.WorkerStopTime + 400*time.Millisecond
}

// Rules are the brief's bounds.
var Rules = Bounds{Start: 3 * time.Second, Run: 4 * time.Second, Early: 100 * time.Millisecond, Leave: 2 * time.Second,
	Alone: alone(dispatch.Defaults, raft.DefaultTimeouts), Table: 2 * time.Second, Settled: true}

type checker struct {
	b            Bounds
	end          int64
	jobs         map[types.JobID]*job
	makes        map[types.Shard]*WorkerSpec
	spans        []*span
	frozen       map[string]int64
	down         map[string][]int64
	leave        map[types.Shard][][2]int64
	drain        map[types.Shard][][2]int64
	activeTables []activeTable
	breaks       []Break
	seen         Tally
	hist         *History
	woes         []faultWindow // once read
}

// Check tells all rules a history breaks, and what chances it had to.
func Check(h *History, b Bounds, end int64, patience time.Duration) ([]Break, Tally) {
	c := newChecker(h, b, end)
	for _, j := range c.sorted() {
		if j.spec == nil {
			c.bad("stranger", 0, "attempt of a job that nobody sent: %s", j.id)
			continue
		}
		c.once(j, int64(patience))
		c.order(j)
		c.place(j)
		c.gangs(j)
		c.cancels(j)
		c.shown(j)
	}
	c.room()
	c.tables()
	c.effects()
	c.chances()
	return c.verdict()
}

// newChecker reads a history.
func newChecker(h *History, b Bounds, end int64) *checker {
	c := &checker{b: b, end: end, jobs: map[types.JobID]*job{}, makes: map[types.Shard]*WorkerSpec{}, frozen: map[string]int64{},
		down: map[string][]int64{}, leave: map[types.Shard][][2]int64{}, drain: map[types.Shard][][2]int64{}, hist: h, seen: Tally{}}
	c.read()
	c.collectTables()
	return c
}

func (c *checker) sorted() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list
}

func (c *checker) verdict() ([]Break, Tally) {
	sort.SliceStable(c.breaks, func(i, k int) bool { return c.breaks[i].At < c.breaks[k].At })
	return c.breaks, c.seen
}

func (c *checker) bad(rule string, at int64, text string, args ...any) {
	c.breaks = append(c.breaks, Break{rule, at, fmt.Sprintf(text, args...)})
}

func (c *checker) job(id types.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{id: id, spans: map[int][]*span{}}
		c.jobs[id] = j
	}
	return j
}

func (c *checker) read() {
	live := map[string]map[types.AttemptID]*span{}
	close := func(s *span, at int64, f state.Outcome) {
		s.to, s.outcome = at, f
		delete(live[s.who], s.attempt)
	}
	for _, h := range c.hist.List {
		switch h.What {
		case Staying:
			if h.Make != nil {
				c.makes[h.Shard] = h.Make
			}
			if l := c.leave[h.Shard]; len(l) > 0 && l[len(l)-1][1] == c.end {
				l[len(l)-1][1] = h.At
			}
		case Drained, Undone:
			c.drained(h)
		case Leaving:
			c.leave[h.Shard] = append(c.leave[h.Shard], [2]int64{h.At, c.end})
		case Started:
			s := &span{attempt: h.Attempt, who: h.Who, shard: h.Shard, from: h.At, to: c.end, ref: h.Ref, work: h.Work, late: h.Late}
			if live[h.Who] == nil {
				live[h.Who] = map[types.AttemptID]*span{}
			}
			live[h.Who][h.Attempt] = s
			c.spans = append(c.spans, s)
			j := c.job(h.Attempt.Job)
			j.spans[h.Attempt.Number] = append(j.spans[h.Attempt.Number], s)
		case Ended:
			if s := live[h.Who][h.Attempt]; s != nil {
				s.how = h.How
				close(s, h.At, h.Outcome)
			}
		case Noted:
			for _, s := range c.job(h.Attempt.Job).spans[h.Attempt.Number] {
				if s.attempt == h.Attempt && s.who == h.Who {
					s.noted = h.At
				}
			}
		case Halting:
			c.job(h.Job).asked = h.At
		case Turned, Denied:
			c.job(h.Job).turned++
		case Unclear:
			c.job(h.Job).unclear++
		case Settled:
			for _, s := range c.job(h.Attempt.Job).spans[h.Attempt.Number] {
				if s.told == 0 && s.attempt == h.Attempt {
					s.told = h.At
				}
			}
		case Heard:
			for _, s := range c.job(h.Attempt.Job).spans[h.Attempt.Number] {
				if s.attempt == h.Attempt {
					s.heard = append(s.heard, heard{h.Who, h.At})
				}
			}
		case Down:
			c.down[h.Who] = append(c.down[h.Who], h.At)
		case Removed:
			c.removed(h, live[h.Who])
		case Died:
			for _, s := range live[h.Who] {
				if at, ok := c.frozen[h.Who]; ok {
					s.ice = append(s.ice, [2]int64{at, h.At})
				}
				close(s, h.At, state.OutcomeWorkerExited)
			}
			delete(c.frozen, h.Who)
			for _, s := range c.spans {
				if s.who == h.Who {
					s.died = h.At
				}
			}
		case Froze:
			c.frozen[h.Who] = h.At
		case Thawed:
			for _, s := range live[h.Who] {
				s.ice = append(s.ice, [2]int64{c.frozen[h.Who], h.At})
			}
			delete(c.frozen, h.Who)
		case Sent:
			j := c.job(h.Job)
			j.spec, j.sent = h.Spec, h.At
		case Accepted:
			if j := c.job(h.Job); j.taken == 0 {
				j.taken = h.At
			}
		case Halt:
			if j := c.job(h.Job); j.halt == 0 {
				j.halt = h.At
			}
		case Saw:
			j := c.job(h.Job)
			j.sight = append(j.sight, h)
		case Missed:
			c.job(h.Job).missed = h.At
		}
	}
}

// runs tells whether an attempt really runs at some time in a stretch: a worker that
// stands still runs nothing, and stops what has lapsed before anything else.
func (s *span) runs(from, to int64) bool {
	a, b := max(s.from, from), min(s.to, to)
	for _, i := range s.ice {
		if a >= i[0] && a < i[1] {
			a = i[1]
		}
		if b > i[0] && b <= i[1] {
			b = i[0]
		}
	}
	return a < b
}

// good tells whether a task had ended well by a time; of a joint gang one good end
// stands for all.
func (j *job) good(n int, by int64) bool {
	list := j.spans[n]
	if p, at := &j.spec.Steps[j.spec.StepOf(n)], types.StageOf(n); p.Joint {
		for i := range p.Tasks {
			list = slices.Concat(list, j.spans[at.TaskNumber(i)])
		}
	}
	for _, s := range list {
		if s.outcome == state.OutcomeOK && s.to <= by {
			return true
		}
	}
	return false
}

// due is when a step may start at one of the times, by true time, but for what it
// depends on.
func (j *job) due(p state.Step, time int) int64 {
	at := j.sent + int64(p.DelayMillis)*1e6
	if t := j.spec.Schedule; t != nil {
		at = max(at, (t.FirstUnixMillis+int64(time)*t.IntervalMillis)*1e6-origin)
	}
	return at
}

// order: nothing before what it depends on, nor before its time.
func (c *checker) order(j *job) {
	for n, list := range j.spans {
		p := j.spec.Steps[j.spec.StepOf(n)]
		for _, s := range list {
			if due := j.due(p, types.StageOf(n).Occurrence()); s.from < due-int64(c.b.Early) {
				c.bad("early", s.from, "%v starts %.3f s too soon", s.attempt, float64(due-s.from)/1e9)
			}
			if t, err := time.Parse(time.RFC3339Nano, p.NotBefore); err == nil && s.from+origin < t.UnixNano()-int64(c.b.Early) {
				c.bad("early", s.from, "%v starts before %s", s.attempt, p.NotBefore)
			}
			for _, a := range p.DependsOn {
				for i, q := range j.spec.Steps {
					b := types.TaskNumber(types.StageOf(n).Occurrence(), i, 0)
					for m := b; q.Name == a && m < b+q.Tasks; m++ {
						if !j.good(m, s.from) {
							c.bad("order", s.from, "%v starts before task %d of step %s ended well", s.attempt, m, a)
						}
					}
				}
			}
		}
	}
}

// cancels: no start and no running past the bounds after an accepted cancel.
func (c *checker) cancels(j *job) {
	if j.halt == 0 {
		return
	}
	for _, list := range j.spans {
		for _, s := range list {
			if s.from > j.halt+int64(c.b.Start) {
				c.bad("cancel-start", s.from, "%v starts %.3f s after its cancel", s.attempt, float64(s.from-j.halt)/1e9)
			}
			if s.runs(j.halt+int64(c.b.Run), c.end) {
				c.bad("cancel-run", s.to, "%v runs %.3f s after its cancel", s.attempt, float64(s.to-j.halt)/1e9)
			}
		}
	}
}
