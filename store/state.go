// The state that the log makes. Apply is the only way to change it; it looks
// at nothing but the fact and the state, so every helm comes to the same.
package store

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/mark"
)

// Fact is what one log entry says; one of its fields is set.
type Fact struct {
	Tick   mark.Tick        `json:"tick"`
	Off    *mark.Wall       `json:"off,omitempty"`
	Table  *blueprint.Table `json:"table,omitempty"`
	Job    *Submit          `json:"job,omitempty"`
	Cancel mark.JobID       `json:"cancel,omitempty"`
	Legs   []Give           `json:"legs,omitempty"`
	Ends   []End            `json:"ends,omitempty"`
	Shapes []Shape          `json:"shapes,omitempty"`
}

type Submit struct {
	ID   mark.JobID `json:"id"`
	Spec Spec       `json:"spec"`
}

// Give is a leg number given out, and for which worker.
type Give struct {
	Leg   mark.Leg   `json:"leg"`
	Shard mark.Shard `json:"shard"`
}

type End struct {
	Leg  mark.Leg `json:"leg"`
	Fate Fate     `json:"fate"`
}

// Shape is what a worker is made of, kept so that a job that no worker could
// ever hold is told apart from one whose workers are away.
type Shape struct {
	Shard mark.Shard  `json:"shard"`
	Rack  mark.Rack   `json:"rack"`
	Kinds []mark.Kind `json:"kinds"`
	Room  mark.Room   `json:"room"`
}

// Bounds on what is remembered of ended jobs.
const (
	Keep     = 30 * time.Minute
	KeepMost = 20_000
)

// State is all of it.
type State struct {
	Tick   mark.Tick              `json:"tick"`
	Off    mark.Wall              `json:"off"`
	Table  blueprint.Table        `json:"table"`
	Jobs   map[mark.JobID]*Job    `json:"jobs"`
	Shapes map[mark.Shard]Shape   `json:"shapes"`
	Seq    uint64                 `json:"seq"`
	Past   []Put                  `json:"past"`
	live   map[mark.JobID]*Job    // not over
	order  []*Job                 // the same, oldest first, some over
	held   map[mark.Queue]int     // live jobs a queue
	done   []*Job                 // over, oldest first
	Count  map[mark.Queue]*Counts `json:"count"`
}

// Put remembers what an edition said, so that a put repeated late is told the
// truth: it was taken, whatever came after.
type Put struct {
	Edition mark.Edition `json:"edition"`
	Hash    string       `json:"hash"`
}

const puts = 256

// Counts are a queue's sums since its first job.
type Counts struct {
	Accepted  uint64 `json:"accepted"`
	Done      uint64 `json:"done"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
}

func New() *State {
	s := &State{Jobs: map[mark.JobID]*Job{}, Shapes: map[mark.Shard]Shape{}, Count: map[mark.Queue]*Counts{}}
	s.index()
	return s
}

// Restore reads a snapshot; nothing gives the state before the first fact.
func Restore(b json.RawMessage) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fault.Wrap(fault.Unfit, err, "snapshot")
	}
	s.index()
	return s, nil
}

func (s *State) Save() json.RawMessage {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

func (s *State) index() {
	s.live, s.held, s.done, s.order = map[mark.JobID]*Job{}, map[mark.Queue]int{}, nil, nil
	for id, j := range s.Jobs {
		if j.Over() {
			s.done = append(s.done, j)
		} else {
			s.live[id], s.order = j, append(s.order, j)
			s.held[j.Queue]++
		}
	}
	sort.Slice(s.done, func(i, k int) bool {
		a, b := s.done[i], s.done[k]
		return a.End < b.End || a.End == b.End && a.Seq < b.Seq
	})
	sort.Slice(s.order, func(i, k int) bool { return s.order[i].Seq < s.order[k].Seq })
}

// Live lists the jobs that are not over, oldest first.
func (s *State) Live() []*Job {
	kept := s.order[:0]
	for _, j := range s.order {
		if !j.Over() {
			kept = append(kept, j)
		}
	}
	s.order = kept
	return kept
}

// Doubts lists the legs lost on a shard whose true ends are still awaited.
func (s *State) Doubts(shard mark.Shard) (list []mark.Leg) {
	for _, j := range s.Live() {
		for n, t := range j.Tasks {
			if t.Doubt == shard && t.Out == nil {
				list = append(list, mark.Leg{Task: mark.Task{Job: j.ID, N: n}, Leg: t.Leg})
			}
		}
	}
	return
}

// Held is how many unfinished jobs a queue has.
func (s *State) Held(q mark.Queue) int { return s.held[q] }

// Apply takes a fact. The fault is the answer to whoever proposed it; legs are
// those that were really given out.
func (s *State) Apply(f Fact) (legs []Give, bad *fault.Fault) {
	s.Tick = max(s.Tick, f.Tick)
	if f.Off != nil {
		s.Off = *f.Off
	}
	switch {
	case f.Table != nil:
		bad = s.CheckTable(*f.Table)
		if bad == nil && f.Table.Edition == s.Table.Edition {
			s.Table = *f.Table
			s.Table.Edition++
			s.Past = append(s.Past, Put{s.Table.Edition, s.Table.Hash()})
			s.Past = s.Past[max(0, len(s.Past)-puts):]
			s.judge()
		}
	case f.Job != nil:
		bad = s.accept(*f.Job)
	case f.Cancel != "":
		bad = s.cancel(f.Cancel)
	}
	for _, g := range f.Legs {
		if j := s.live[g.Leg.Job]; j != nil && j.give(g.Leg.N, g.Shard, s.row(j.Queue), s.Tick) {
			legs = append(legs, Give{mark.Leg{Task: g.Leg.Task, Leg: j.Tasks[g.Leg.N].Leg}, g.Shard})
		}
	}
	for _, e := range f.Ends {
		s.end(e)
	}
	for _, h := range f.Shapes {
		s.Shapes[h.Shard] = h
	}
	s.forget()
	return
}

// Known tells whether a table is a repeat: it says just what the edition after
// its base said.
func (s *State) Known(t blueprint.Table) bool {
	return slices.Contains(s.Past, Put{t.Edition + 1, t.Hash()})
}

// CheckTable tells whether a table may be put now, or is a repeat.
func (s *State) CheckTable(t blueprint.Table) *fault.Fault {
	if s.Known(t) {
		return nil
	}
	if t.Edition != s.Table.Edition {
		return fault.New(fault.Stale, "edition", fmt.Sprintf("based on edition %d, but %d is in force", t.Edition, s.Table.Edition))
	}
	for i, r := range s.Table.Rows {
		if _, ok := t.Find(r.Name); !ok && s.held[r.Name] > 0 {
			return fault.New(fault.InUse, fmt.Sprintf("queues[%d].name", i),
				fmt.Sprintf("queue %s of the table in force has %d unfinished jobs and may not be left out", r.Name, s.held[r.Name]))
		}
	}
	return nil
}

// CheckJob tells whether a job may be accepted now; known is an earlier one of
// the same id and body.
func (s *State) CheckJob(id mark.JobID, spec Spec) (known *Job, bad *fault.Fault) {
	if j := s.Jobs[id]; j != nil {
		if j.Hash != spec.Hash() {
			return nil, fault.New(fault.Conflict, "id", "another job has this id")
		}
		return j, nil
	}
	row, ok := s.Table.Find(spec.Queue)
	if !ok {
		return nil, fault.New(fault.NoQueue, "queue", "no queue is called "+string(spec.Queue))
	}
	if n := s.held[spec.Queue]; n >= row.Waiting {
		return nil, fault.New(fault.Full, "queue", fmt.Sprintf("%d unfinished jobs, as many as the queue may hold", n))
	}
	return nil, nil
}

func (s *State) accept(m Submit) *fault.Fault {
	known, bad := s.CheckJob(m.ID, m.Spec)
	if known != nil || bad != nil {
		return bad
	}
	s.Seq++
	j := &Job{ID: m.ID, Seq: s.Seq, Hash: m.Spec.Hash(), Queue: m.Spec.Queue, At: s.Tick, Wall: mark.Wall(s.Tick) + s.Off,
		State: Open, Spec: &m.Spec, Size: m.Spec.Total()}
	j.Tasks = make([]Task, j.Size)
	s.Jobs[m.ID], s.live[m.ID], s.order = j, j, append(s.order, j)
	s.held[j.Queue]++
	s.count(j.Queue).Accepted++
	return nil
}

func (s *State) count(q mark.Queue) *Counts {
	c := s.Count[q]
	if c == nil {
		c = &Counts{}
		s.Count[q] = c
	}
	return c
}

// CheckCancel tells whether a job may be cancelled now; repeat is true when it
// already is, which is fine. One that ended otherwise can't be.
func (s *State) CheckCancel(id mark.JobID) (repeat bool, bad *fault.Fault) {
	j := s.Jobs[id]
	switch {
	case j == nil:
		return false, fault.New(fault.NoJob, "id", "no such job")
	case j.State == Stopped || j.Halt && !j.Over():
		return true, nil
	case j.Over():
		return false, fault.New(fault.Ended, "id", "the job has ended: "+string(j.State))
	}
	return false, nil
}

func (s *State) cancel(id mark.JobID) *fault.Fault {
	repeat, bad := s.CheckCancel(id)
	if repeat || bad != nil {
		return bad
	}
	j := s.Jobs[id]
	j.Halt, j.Why = true, "cancelled"
	j.turn(s.Tick)
	s.close(j)
	return nil
}

func (s *State) end(e End) {
	j := s.live[e.Leg.Job]
	if j == nil {
		return
	}
	j.end(e.Leg.N, e.Leg.Leg, e.Fate, s.row(j.Queue), s.Tick)
	s.close(j)
}

func (s *State) row(q mark.Queue) blueprint.Row {
	row, ok := s.Table.Find(q)
	if !ok {
		row.Tries = 1
	}
	return row
}

// judge ends what a new table leaves no try.
func (s *State) judge() {
	for _, j := range s.Live() {
		if j.State != Open {
			continue
		}
		for n := range j.Tasks {
			j.judge(n, &j.Tasks[n], s.row(j.Queue))
		}
		j.turn(s.Tick)
		s.close(j)
	}
}

// close moves a job that is over from the live ones to the remembered.
func (s *State) close(j *Job) {
	if !j.Over() || s.live[j.ID] == nil {
		return
	}
	delete(s.live, j.ID)
	s.held[j.Queue]--
	s.done = append(s.done, j)
	c := s.count(j.Queue)
	switch j.State {
	case Done:
		c.Done++
	case Failed:
		c.Failed++
	case Stopped:
		c.Cancelled++
	}
}

func (s *State) forget() {
	for len(s.done) > 0 && (len(s.done) > KeepMost || s.Tick.Sub(s.done[0].End) > Keep) {
		delete(s.Jobs, s.done[0].ID)
		s.done = s.done[1:]
	}
}

// Fits tells whether a worker has the kind of a step, and its rack.
func (x Shape) Fits(p Step) (kind, rack bool) {
	return slices.Contains(x.Kinds, p.Kind), p.Rack == "" || p.Rack == x.Rack
}
