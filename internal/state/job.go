package state

// The job as an aggregate: its tasks, the attempts given out for them, and the
// rules by which ends move it on. A job is shown ended only when none of its
// attempts can be running.

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Stage is how far a job is.
type Stage string

// Stages of a job: open, ending while the last attempts are stopped, and three ends.
const (
	Open    Stage = "open"
	Ending  Stage = "ending"
	Done    Stage = "done"
	Failed  Stage = "failed"
	Stopped Stage = "cancelled"
)

// Job is one accepted job.
type Job struct {
	ID       types.JobID          `json:"id"`
	Seq      uint64               `json:"seq"`
	Hash     string               `json:"hash"`
	Queue    types.Queue          `json:"queue"`
	At       types.Tick           `json:"at"`
	Wall     types.Wall           `json:"wall"`
	State    Stage                `json:"state"`
	Why      string               `json:"why,omitempty"`
	Spec     *Spec                `json:"spec,omitempty"`
	Tasks    []Task               `json:"tasks,omitempty"`
	Broken   map[types.Stage]bool `json:"broken,omitempty"`
	Halt     bool                 `json:"halt,omitempty"`
	End      types.Tick           `json:"end,omitempty"`
	Size     int                  `json:"size"`
	Bytes    int                  `json:"bytes"`
	Fine     int                  `json:"fine"`
	Attempts int                  `json:"legs"`
	shot     uint64
	hot      *ReadyIndex
	off      types.Wall // as of which the heat is
	row      types.Version
}

// Over is true once the job has ended for good.
func (j *Job) Over() bool { return j.State == Done || j.State == Failed || j.State == Stopped }

// stages calls f for every step at every time, with the tasks it has.
func (j *Job) stages(f func(at types.Stage, p *Step, part []Task)) {
	i := 0
	for time := range j.Spec.Count() {
		for step := range j.Spec.Steps {
			p := &j.Spec.Steps[step]
			f(types.StageOf(types.No(time, step, 0)), p, j.Tasks[i:i+p.Tasks])
			i += p.Tasks
		}
	}
}

// Task finds a task by its number, or gives nil.
func (j *Job) Task(n int) *Task {
	if j.Spec == nil {
		return nil
	}
	if i := j.Spec.Index(n); i >= 0 {
		return &j.Tasks[i]
	}
	return nil
}

// Part is the tasks of one step at one time.
func (j *Job) Part(at types.Stage) []Task {
	i := j.Spec.Index(at.No(0))
	return j.Tasks[i : i+j.Spec.Steps[at.Step()].Tasks]
}

// due tells when a step may start at one of the times, but for what it depends
// on: by the cluster's clock, and by the wall where a time of day is told.
func (j *Job) due(p *Step, time int) (types.Tick, types.Wall) {
	wall := clock(p.Not)
	if t := j.Spec.Times; t != nil {
		wall = max(wall, types.Wall(t.First+int64(time)*t.Every)*types.Wall(ms))
	}
	return j.At.Add(gotime(p.Delay)), wall
}

const ms = time.Millisecond

func gotime(n int) time.Duration { return time.Duration(n) * ms }

func clock(s string) types.Wall {
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return 0
	}
	return types.Wall(t.UnixNano())
}

// met tells whether all that a step depends on has ended well.
func (j *Job) met(p *Step, time int) bool {
	for _, a := range p.After {
		for i, q := range j.Spec.Steps {
			if q.Name == a && !full(j.Part(types.StageOf(types.No(time, i, 0)))) {
				return false
			}
		}
	}
	return true
}

func full(part []Task) bool {
	for i := range part {
		if !part[i].Done {
			return false
		}
	}
	return true
}

func (j *Job) outs() (n int) {
	for i := range j.Tasks {
		n += len(j.Tasks[i].Outs())
	}
	return
}

// Doomed lists the attempts that are out and must be stopped: the job is ending,
// the task is done by another attempt, or a peer of the gang ended badly.
func (j *Job) Doomed() (list []types.Attempt) {
	if j.Over() {
		return nil
	}
	j.stages(func(at types.Stage, _ *Step, part []Task) {
		for i := range part {
			t := &part[i]
			for _, o := range t.Outs() {
				if j.State == Ending || t.Done || o.Back != "" || j.Broken[at] {
					list = append(list, types.Attempt{Task: types.Task{Job: j.ID, N: at.No(i)}, Attempt: o.Attempt})
				}
			}
		}
	})
	return
}

// may tells whether a task may be given out now.
func (j *Job) may(t *Task, row config.Row, now types.Tick) bool {
	return j.State == Open && t != nil && t.Out == nil && !t.Done && !t.Dead && t.Ready <= now && !t.spent(row)
}

// give hands out the next attempt of a task, if the task may still have one. The
// members of a gang are given the same number, which leaves some out.
func (j *Job) give(n, least int, shard types.Shard, row config.Row, now types.Tick) bool {
	t := j.Task(n)
	if !j.may(t, row, now) {
		return false
	}
	t.Attempt = max(t.Attempt+1, least)
	t.Doubt = ""
	j.Attempts++
	t.Out = &Out{Attempt: t.Attempt, Shard: shard, At: now}
	return true
}

// copy hands out a second attempt beside the first, where the step allows that.
func (j *Job) copy(n int, shard types.Shard, row config.Row, now types.Tick) bool {
	t := j.Task(n)
	if j.State != Open || t == nil || t.Done || t.Dead || t.Out == nil || t.Copy != nil || t.spent(row) ||
		t.Out.Shard == shard || !j.Spec.Steps[types.StageOf(n).Step()].Copies {
		return false
	}
	t.Attempt++
	j.Attempts++
	t.Copy = &Out{Attempt: t.Attempt, Shard: shard, At: now}
	return true
}

// end takes an attempt's end. A late one, of an attempt already counted lost, matters
// only if it ended well.
func (j *Job) end(e End, row config.Row, now types.Tick) {
	attempt, f := e.Attempt.Attempt, e.Outcome
	if j.Over() {
		return
	}
	t := j.Task(e.Attempt.N)
	if t == nil || attempt <= t.Shut && t.On(attempt) == nil {
		return
	}
	at := types.StageOf(e.Attempt.N)
	p := &j.Spec.Steps[at.Step()]
	mine := t.On(attempt)
	if p.Lasts && f == OK {
		f = Gone
	}
	if f == OK && attempt <= t.Attempt {
		j.fine(t)
		if p.Joint {
			for i := range j.Part(at) {
				j.fine(&j.Part(at)[i])
			}
		}
	}
	late := slices.Index(t.Limbo, attempt)
	switch {
	case mine != nil:
		from := mine.Shard
		t.drop(attempt)
		if f.doubtful() && !t.Done {
			t.Doubt, t.Limbo = from, append(t.Limbo, attempt)
		}
		if f == Lapsed {
			t.Shut = max(t.Shut, attempt)
		}
		j.save(p, at, t, e.Ref)
		if f == Bad {
			t.Shun = from
		}
		j.count(at, t, attempt, f, row, now)
	case late >= 0 && f == Waited:
		if t.Attempt == attempt && t.Ready <= now {
			t.Doubt = ""
			j.judge(t, row)
		}
	case late >= 0 && !f.doubtful():
		t.Limbo = slices.Delete(t.Limbo, late, late+1)
		if t.Attempt == attempt {
			t.Doubt, t.Ready = "", now
			if f == Gone {
				t.Ready = now.Add(rest(p, t, row))
			}
		}
		if f == Bad {
			j.fail(at, t, attempt, row, now)
		}
		j.judge(t, row)
	}
	j.turn(now)
}

// fine marks a task as ended well.
func (j *Job) fine(t *Task) {
	if !t.Done {
		t.Done, t.Dead, t.Doubt = true, false, ""
		j.Fine++
	}
}

// save keeps what an attempt saved, for the next to go on from; any member's is good
// for its whole gang, and all must have the same.
func (j *Job) save(p *Step, at types.Stage, t *Task, ref string) {
	if ref == "" || !p.Keeps {
		return
	}
	t.Ref = ref
	if p.Gang {
		for i := range j.Part(at) {
			j.Part(at)[i].Ref = ref
		}
	}
}

func (j *Job) count(at types.Stage, t *Task, attempt int, f Outcome, row config.Row, now types.Tick) {
	switch f {
	case Bad:
		j.fail(at, t, attempt, row, now)
	case Lost:
		j.lose(at, t, row, now, row.Wait())
	case Cut:
		j.lose(at, t, row, now, max(row.WaitCut(), row.Wait()))
	case Gone, Lapsed:
		j.lose(at, t, row, now, 0)
	case Halted, Unrun:
		t.Halts++
		t.Ready = now.Add(row.Pause(1))
	}
	if !j.Spec.Steps[at.Step()].Gang {
		return
	}
	out := false
	for _, m := range j.Part(at) {
		out = out || m.Out != nil
	}
	switch {
	case f != OK && out:
		if j.Broken == nil {
			j.Broken = map[types.Stage]bool{}
		}
		j.Broken[at] = true
	case !out:
		delete(j.Broken, at)
	}
}

// lose counts a loss; one that loses its workers again and again rests longer
// each time, and fails its job only where the queue's row sets a bound.
func (j *Job) lose(at types.Stage, t *Task, row config.Row, now types.Tick, wait time.Duration) {
	t.Lost++
	t.Ready = now.Add(max(wait, rest(&j.Spec.Steps[at.Step()], t, row)))
	j.judge(t, row)
}

// fail counts a failure against the queue's tries; a gang fails as one, once
// with each number that its members had.
func (j *Job) fail(at types.Stage, t *Task, attempt int, row config.Row, now types.Tick) {
	p := &j.Spec.Steps[at.Step()]
	if p.Lasts {
		t.Ready = now.Add(row.Pause(1))
		return
	}
	all := []*Task{t}
	if p.Joint {
		all = all[:0]
		for i := range j.Part(at) {
			m := &j.Part(at)[i]
			if m.Bad == attempt {
				return
			}
			all = append(all, m)
		}
	}
	for _, m := range all {
		m.Bad = attempt
		m.Fails++
		if m.Doubt == "" {
			m.Ready = now.Add(row.Pause(m.Fails))
		}
		j.judge(m, row)
	}
}

// judge ends a task whose tries are spent, unless a lost attempt of it may still
// turn out to have ended well.
func (j *Job) judge(t *Task, row config.Row) {
	if t.Done || t.Dead || t.Doubt != "" {
		return
	}
	switch {
	case t.Fails >= row.Tries:
		t.Dead, j.Why = true, fmt.Sprintf("task %d failed %d times", j.number(t), t.Fails)
	case row.Losses > 0 && t.Lost >= row.Losses && t.Out == nil:
		t.Dead, j.Why = true, fmt.Sprintf("task %d was lost with its worker %d times", j.number(t), t.Lost)
	}
}

func (j *Job) number(t *Task) int {
	for i := range j.Tasks {
		if &j.Tasks[i] == t {
			return j.Spec.No(i)
		}
	}
	return -1
}

// Spent lists the lost attempts of tasks that have no try left, whose ends have
// been waited for as long as the queue says.
func (j *Job) Spent(row config.Row, now types.Tick) (list []End) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; j.State == Open && t.Out == nil && t.Doubt != "" && !t.Done && t.spent(row) && t.Ready <= now {
			list = append(list, End{Attempt: types.Attempt{Task: types.Task{Job: j.ID, N: j.Spec.No(i)}, Attempt: t.Attempt}, Outcome: Waited})
		}
	}
	return
}

// turn moves the job's state on after anything changed.
func (j *Job) turn(now types.Tick) {
	dead := false
	for i := range j.Tasks {
		dead = dead || j.Tasks[i].Dead
	}
	switch {
	case j.Fine == j.Size:
		j.State = Done
	case j.Halt:
		j.State = Stopped
	case dead:
		j.State = Failed
	default:
		j.State, j.Why = Open, ""
		return
	}
	if j.outs() > 0 {
		j.State = Ending
		return
	}
	j.End = now
	if j.State == Done {
		j.Why = ""
	}
	j.Spec, j.Tasks, j.Broken = nil, nil, nil
}
