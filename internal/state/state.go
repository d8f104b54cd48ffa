package state

// The state that the log makes. Apply is the only way to change it; it looks
// at nothing but the fact and the state, so every controller comes to the same.

import (
	"maps"
	"slices"
	"sort"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Command is what one log entry says; one of its fields is set.
type Command struct {
	Tick     types.Tick    `json:"tick"`
	Off      *types.Wall   `json:"off,omitempty"`
	Table    *config.Table `json:"table,omitempty"`
	Job      *Submit       `json:"job,omitempty"`
	Cancel   types.JobID   `json:"cancel,omitempty"`
	Attempts []Assignment  `json:"legs,omitempty"`
	Ends     []End         `json:"ends,omitempty"`
	Shapes   []WorkerShape `json:"shapes,omitempty"`
	Backs    []Back        `json:"backs,omitempty"`
	Drain    *Drain        `json:"drain,omitempty"`
	Plan     *Plan         `json:"plan,omitempty"`
	Gone     types.Shard   `json:"gone,omitempty"`
}

// Submit is a job handed in under an id.
type Submit struct {
	ID   types.JobID `json:"id"`
	Spec Spec        `json:"spec"`
}

// Assignment is an attempt number given out, and for which worker.
type Assignment struct {
	Attempt types.Attempt `json:"leg"`
	Shard   types.Shard   `json:"shard"`
	Copy    bool          `json:"copy,omitempty"` // beside another that is out
}

// End is how an attempt ended; Ref is what it saved, if it saves anything.
type End struct {
	Attempt types.Attempt `json:"leg"`
	Outcome Outcome       `json:"fate"`
	Ref     string        `json:"ref,omitempty"`
}

// WorkerShape is what a worker is made of, kept so that a job that no worker could
// ever hold is told apart from one whose workers are away.
type WorkerShape struct {
	Shard types.Shard  `json:"shard"`
	Rack  types.Rack   `json:"rack"`
	Kinds []types.Kind `json:"kinds"`
	Room  types.Room   `json:"room"`

	Labels  []string `json:"labels,omitempty"`
	Invoked bool     `json:"invoked,omitempty"` // it is called, rather than calling its agent
}

// Bounds on what is remembered in full of ended jobs.
const (
	Keep     = 30 * time.Minute
	KeepMost = 20_000
)

// State is all of it: the head, the jobs and the marks of ended ones.
type State struct {
	head
	Jobs       map[types.JobID]*Job
	tombstones tombstones
	live       map[types.JobID]*Job // not over
	order      []*Job               // the same, oldest first, some over
	held       map[types.Queue]held // what live jobs hold, a queue
	done       []*Job               // over, oldest first
	shot       *shot
	shots      uint64
}

// Counts are a queue's sums since its first job.
type Counts struct {
	Accepted  uint64 `json:"accepted"`
	Done      uint64 `json:"done"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Bad       uint64 `json:"legs_failed"`
	Lost      uint64 `json:"legs_lost"`
	Moved     uint64 `json:"legs_taken_back"`
}

// New is the state before the first command.
func New() *State {
	s := &State{head: head{Shapes: map[types.Shard]WorkerShape{}, Count: map[types.Queue]*Counts{}}, Jobs: map[types.JobID]*Job{}, tombstones: newTombstones()}
	s.index()
	return s
}

func (s *State) index() {
	s.live, s.held, s.done, s.order = map[types.JobID]*Job{}, map[types.Queue]held{}, nil, nil
	for id, j := range s.Jobs {
		if j.Over() {
			s.done = append(s.done, j)
		} else {
			s.live[id], s.order = j, append(s.order, j)
			s.hold(j, 1)
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

// Doubts lists the attempts lost on a shard whose true ends are still awaited.
func (s *State) Doubts(shard types.Shard) (list []types.Attempt) {
	for _, j := range s.Live() {
		for n, t := range j.Tasks {
			if t.Doubt == shard && t.Out == nil {
				list = append(list, types.Attempt{Task: types.Task{Job: j.ID, N: j.Spec.No(n)}, Attempt: t.Attempt})
			}
		}
	}
	return
}

// Apply takes a fact. The fault is the answer to whoever proposed it; attempts are
// those that were really given out.
func (s *State) Apply(f Command) (attempts []Assignment, bad *apierror.Error) {
	s.Tick = max(s.Tick, f.Tick)
	if f.Off != nil {
		s.Off = *f.Off
	}
	switch {
	case f.Table != nil:
		bad = s.CheckTable(*f.Table)
		if bad == nil && !s.Known(*f.Table) {
			s.retire(s.Table, *f.Table)
			s.Table = f.Table.Next()
			s.Past.add(changeOf(*f.Table))
			s.judge()
		}
	case f.Job != nil:
		bad = s.accept(*f.Job)
	case f.Cancel != "":
		bad = s.cancel(f.Cancel)
	case f.Drain != nil:
		bad = s.drain(*f.Drain)
	case f.Plan != nil:
		bad = s.plan(*f.Plan)
	case f.Gone != "":
		for _, l := range s.Doubts(f.Gone) {
			s.end(End{Attempt: l, Outcome: Gone})
		}
	}
	for _, b := range f.Backs {
		s.back(b)
	}
	attempts = s.give(f.Attempts)
	for _, e := range f.Ends {
		s.end(e)
	}
	for _, h := range f.Shapes {
		s.Shapes[h.Shard] = h
	}
	s.forget()
	return
}

// give hands out attempts; a gang of a joint step is given whole or not at all.
func (s *State) give(list []Assignment) (attempts []Assignment) {
	type gang struct {
		job types.JobID
		at  types.Stage
	}
	part := map[gang]int{}
	for _, g := range list {
		if j := s.live[g.Attempt.Job]; j != nil && j.may(j.Task(g.Attempt.N), s.row(j.Queue), s.Tick) {
			part[gang{j.ID, types.StageOf(g.Attempt.N)}]++
		}
	}
	for _, g := range list {
		j := s.live[g.Attempt.Job]
		if j == nil || j.Task(g.Attempt.N) == nil {
			continue
		}
		at := types.StageOf(g.Attempt.N)
		if p := j.Spec.Steps[at.Step()]; p.Joint && part[gang{j.ID, at}] < p.Tasks {
			continue
		}
		s.touch(j)
		row, ok := s.row(j.Queue), false
		if g.Copy {
			ok = j.copy(g.Attempt.N, g.Shard, row, s.Tick)
		} else {
			ok = j.give(g.Attempt.N, g.Attempt.Attempt, g.Shard, row, s.Tick)
		}
		if ok {
			g.Attempt.Attempt = j.Task(g.Attempt.N).Attempt
			attempts = append(attempts, g)
		}
	}
	return
}

func (s *State) accept(m Submit) *apierror.Error {
	known, bad := s.CheckJob(m.ID, m.Spec)
	if known != nil || bad != nil {
		return bad
	}
	s.Seq++
	j := &Job{ID: m.ID, Seq: s.Seq, Hash: m.Spec.Hash(), Queue: m.Spec.Queue, At: s.Tick, Wall: types.Wall(s.Tick) + s.Off,
		State: Open, Spec: &m.Spec, Size: m.Spec.Total(), Bytes: m.Spec.Bytes()}
	j.Tasks = make([]Task, j.Size)
	s.Jobs[m.ID], s.live[m.ID], s.order = j, j, append(s.order, j)
	j.shot = s.shots // what began before it does not have it
	s.hold(j, 1)
	s.count(j.Queue).Accepted++
	return nil
}

func (s *State) count(q types.Queue) *Counts {
	c := s.Count[q]
	if c == nil {
		c = &Counts{}
		s.Count[q] = c
	}
	return c
}

func (s *State) cancel(id types.JobID) *apierror.Error {
	repeat, bad := s.CheckCancel(id)
	if repeat || bad != nil {
		return bad
	}
	j := s.Jobs[id]
	s.touch(j)
	j.Halt, j.Why = true, "cancelled"
	j.turn(s.Tick)
	s.close(j)
	return nil
}

func (s *State) end(e End) {
	j := s.live[e.Attempt.Job]
	if j == nil {
		return
	}
	switch c := s.count(j.Queue); {
	case e.Outcome == Bad:
		c.Bad++
	case e.Outcome.doubtful() || e.Outcome == Gone:
		c.Lost++
	}
	s.touch(j)
	j.end(e, s.row(j.Queue), s.Tick)
	s.close(j)
}

// Row is the row that a queue's jobs go by: the table's, or the last one of a
// queue that was left out while it had unfinished jobs.
func (s *State) Row(q types.Queue) (row config.Row, ok bool) {
	if row, ok = s.Table.Find(q); !ok {
		row, ok = s.Retired[q]
	}
	return
}

func (s *State) row(q types.Queue) config.Row {
	row, ok := s.Row(q)
	if !ok {
		row.Tries = 1
	}
	return row
}

// retire keeps the rows of queues that have unfinished jobs and are not in the
// new table.
func (s *State) retire(old, next config.Table) {
	rows := maps.Clone(s.Retired)
	if rows == nil {
		rows = map[types.Queue]config.Row{}
	}
	for _, r := range old.Rows {
		rows[r.Name] = r
	}
	for q := range rows {
		if _, ok := next.Find(q); ok || s.held[q].jobs == 0 {
			delete(rows, q)
		}
	}
	s.Retired = rows
}

// judge ends what a new table leaves no try.
func (s *State) judge() {
	for _, j := range s.Live() {
		if j.State != Open {
			continue
		}
		s.touch(j)
		for n := range j.Tasks {
			j.judge(&j.Tasks[n], s.row(j.Queue))
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
	s.hold(j, -1)
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
		s.tombstones.add(s.done[0])
		s.done = s.done[1:]
	}
	s.tombstones.forget(s.Tick)
	if len(s.order) > 2*len(s.live)+1024 {
		s.Live()
	}
}

// Fits tells whether a worker has the kind of a step, and its rack and labels.
func (w WorkerShape) Fits(p Step) (kind, rack bool) {
	rack = p.Rack == "" || p.Rack == w.Rack
	for _, l := range p.Labels {
		rack = rack && slices.Contains(w.Labels, l)
	}
	return slices.Contains(w.Kinds, p.Kind), rack
}
