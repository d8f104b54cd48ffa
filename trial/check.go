// The checker: reads a history and tells every rule that it breaks. It knows
// legs as the workers ran them, jobs as callers sent and saw them, and tables
// as operators were answered.
package trial

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"coppercourse/accord"
	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/truth"
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

// span is one leg as it ran on a worker.
type span struct {
	leg   mark.Leg
	who   string
	shard mark.Shard
	from  int64
	to    int64 // the end of the history if it never ended
	fate  store.Fate
	told  int64      // when the system acknowledged the end
	heard []heard    // daemons that were told of the end
	died  int64      // when its worker process ended
	ice   [][2]int64 // when its worker stood still
}

type heard struct {
	who string
	at  int64
}

type job struct {
	id     mark.JobID
	spec   *store.Spec
	sent   int64
	taken  int64
	halt   int64
	sight  []Happening
	missed int64
	spans  map[int][]*span // by task
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
	Hurry   bool          // queues run lost legs again before a cut can have healed
}

// alone is how long a gang's member may run on after a mate was lost: until the
// loss is known, an election, a commit, and a stop repeated until it arrives.
func alone(p truth.Pace, a accord.Pace) time.Duration {
	return p.Loss + p.Beat + 2*a.Least + a.Stall + p.Again/2 + truth.Slack + 400*time.Millisecond
}

// Rules are the brief's bounds.
var Rules = Bounds{Start: 3 * time.Second, Run: 4 * time.Second, Early: 100 * time.Millisecond, Leave: 2 * time.Second,
	Alone: alone(truth.Defaults, accord.Defaults), Table: 2 * time.Second, Settled: true}

type checker struct {
	b      Bounds
	end    int64
	jobs   map[mark.JobID]*job
	makes  map[mark.Shard]*Make
	spans  []*span
	frozen map[string]int64
	down   map[string][]int64
	leave  map[mark.Shard][][2]int64
	drain  map[mark.Shard][][2]int64
	reigns []reign
	breaks []Break
	seen   Tally
	hist   *History
}

// Check tells all rules a history breaks, and what chances it had to.
func Check(h *History, b Bounds, end int64, patience time.Duration) ([]Break, Tally) {
	c := &checker{b: b, end: end, jobs: map[mark.JobID]*job{}, makes: map[mark.Shard]*Make{}, frozen: map[string]int64{},
		down: map[string][]int64{}, leave: map[mark.Shard][][2]int64{}, drain: map[mark.Shard][][2]int64{}, hist: h, seen: Tally{}}
	c.read()
	c.reign()
	ids := make([]mark.JobID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		j := c.jobs[id]
		if j.spec == nil {
			c.bad("stranger", 0, "leg of a job that nobody sent: %s", id)
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
	sort.SliceStable(c.breaks, func(i, k int) bool { return c.breaks[i].At < c.breaks[k].At })
	return c.breaks, c.seen
}

func (c *checker) bad(rule string, at int64, text string, args ...any) {
	c.breaks = append(c.breaks, Break{rule, at, fmt.Sprintf(text, args...)})
}

func (c *checker) job(id mark.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{id: id, spans: map[int][]*span{}}
		c.jobs[id] = j
	}
	return j
}

func (c *checker) read() {
	live := map[string]map[mark.Leg]*span{}
	close := func(s *span, at int64, f store.Fate) {
		s.to, s.fate = at, f
		delete(live[s.who], s.leg)
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
			s := &span{leg: h.Leg, who: h.Who, shard: h.Shard, from: h.At, to: c.end}
			if live[h.Who] == nil {
				live[h.Who] = map[mark.Leg]*span{}
			}
			live[h.Who][h.Leg] = s
			c.spans = append(c.spans, s)
			j := c.job(h.Leg.Job)
			j.spans[h.Leg.N] = append(j.spans[h.Leg.N], s)
		case Ended:
			if s := live[h.Who][h.Leg]; s != nil {
				close(s, h.At, h.Fate)
			}
		case Settled:
			for _, s := range c.job(h.Leg.Job).spans[h.Leg.N] {
				if s.told == 0 && s.leg == h.Leg {
					s.told = h.At
				}
			}
		case Heard:
			for _, s := range c.job(h.Leg.Job).spans[h.Leg.N] {
				if s.leg == h.Leg {
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
				close(s, h.At, store.Gone)
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

// fair is the notice with which nothing need be lost to a removal.
const fair = 2500 * time.Millisecond

// removed counts what a worker still ran that had said in time when it goes.
func (c *checker) removed(h Happening, live map[mark.Leg]*span) {
	if d, _ := time.ParseDuration(h.Text); d >= fair {
		c.seen["removed: workers taken away with notice"]++
		c.seen["removed: legs lost to that"] += len(live)
	}
}

// drained opens or closes a drain of a worker or a rack.
func (c *checker) drained(h Happening) {
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

// runs tells whether a leg really runs at some time in a stretch: a worker that
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

// excuse tells why a leg's end need not have been known at a time, or nothing:
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

// once: no task twice at once, and none again after it ended well; no more
// tries than the queue allows.
func (c *checker) once(j *job, patience int64) {
	for n, list := range j.spans {
		for i, s := range list {
			fails := 0
			for _, o := range list[:i] {
				if o.runs(s.from, s.to) && s.runs(o.from, o.to) {
					c.bad("twice", s.from, "%v on %s while %v runs on %s", s.leg, s.who, o.leg, o.who)
				}
				if o.to > s.from {
					c.seen["twice: a newer leg while an older stood frozen"]++
					continue
				}
				why := ""
				if o.fate == store.OK || o.fate == store.Bad {
					why = c.excuse(o, s.from, patience)
				}
				switch {
				case o.fate == store.Bad && why == "":
					fails++
				case o.fate == store.OK && why == "":
					c.bad("again", s.from, "%v starts although %v ended well at %.3f s", s.leg, o.leg, float64(o.to)/1e9)
				case o.fate == store.OK:
					c.seen[why]++
				case o.fate != store.Bad:
					c.seen["again: started again after a lost or stopped leg"]++
				}
			}
			most := 0
			for _, r := range c.rows(j.spec.Queue, s.from, s.from) {
				most = max(most, r.Tries)
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

func (j *job) good(n int, by int64) bool {
	for _, s := range j.spans[n] {
		if s.fate == store.OK && s.to <= by {
			return true
		}
	}
	return false
}

// order: nothing before what it depends on, nor before its time.
func (c *checker) order(j *job) {
	for n, list := range j.spans {
		p := j.spec.Steps[j.spec.Step(n)]
		for _, s := range list {
			if due := j.sent + int64(p.Delay)*1e6; s.from < due-int64(c.b.Early) {
				c.bad("early", s.from, "%v starts %.3f s too soon", s.leg, float64(due-s.from)/1e9)
			}
			if t, err := time.Parse(time.RFC3339Nano, p.Not); err == nil && s.from+origin < t.UnixNano()-int64(c.b.Early) {
				c.bad("early", s.from, "%v starts before %s", s.leg, p.Not)
			}
			for _, a := range p.After {
				for i, q := range j.spec.Steps {
					for m := j.spec.Base(i); q.Name == a && m < j.spec.Base(i)+q.Tasks; m++ {
						if !j.good(m, s.from) {
							c.bad("order", s.from, "%v starts before task %d of step %s ended well", s.leg, m, a)
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
				c.bad("cancel-start", s.from, "%v starts %.3f s after its cancel", s.leg, float64(s.from-j.halt)/1e9)
			}
			if s.runs(j.halt+int64(c.b.Run), c.end) {
				c.bad("cancel-run", s.to, "%v runs %.3f s after its cancel", s.leg, float64(s.to-j.halt)/1e9)
			}
		}
	}
}
