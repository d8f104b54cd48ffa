// The job as an aggregate: its tasks, the legs given out for them, and the
// rules by which ends move it on. A job is shown ended only when none of its
// legs can be running.
package store

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/blueprint"
	"coppercourse/mark"
)

type Stage string

const (
	Open    Stage = "open"
	Ending  Stage = "ending"
	Done    Stage = "done"
	Failed  Stage = "failed"
	Stopped Stage = "cancelled"
)

// Fate is how a leg ended.
type Fate string

const (
	OK     Fate = "ok"
	Bad    Fate = "failed"
	Lost   Fate = "lost"
	Cut    Fate = "cut off" // lost with its whole locality, which may come back
	Waited Fate = "waited"  // a lost leg's end has been waited for long enough
	Halted Fate = "stopped"
	Unrun  Fate = "refused" // it never ran and never will
	Gone   Fate = "gone"    // its worker process is known to have ended
)

// doubtful fates are not the last word: the leg may have ended well unseen.
func (f Fate) doubtful() bool { return f == Lost || f == Cut }

// Fact is true for what a worker did, whoever tells it.
func (f Fate) Fact() bool { return f == OK || f == Bad }

// Out is the leg given out and not ended.
type Out struct {
	Shard mark.Shard `json:"shard"`
	At    mark.Tick  `json:"at"`
	Back  Why        `json:"back,omitempty"` // it is being taken back
}

// Task is one task's account. Fails are what the queue's tries count.
type Task struct {
	Leg   int        `json:"leg"`
	Out   *Out       `json:"out,omitempty"`
	Done  bool       `json:"done,omitempty"`
	Dead  bool       `json:"dead,omitempty"`
	Fails int        `json:"fails,omitempty"`
	Lost  int        `json:"lost,omitempty"`
	Halts int        `json:"stopped,omitempty"`
	Moved int        `json:"displaced,omitempty"`
	Shun  mark.Shard `json:"shun,omitempty"` // where a leg of it stalled last
	Ready mark.Tick  `json:"ready"`
	// Doubt is the worker whose word is awaited: the last leg was lost there,
	// and may yet turn out to have ended well.
	Doubt mark.Shard `json:"doubt,omitempty"`
	Limbo []int      `json:"limbo,omitempty"` // legs lost whose true end is not known
}

// Job is one accepted job.
type Job struct {
	ID     mark.JobID   `json:"id"`
	Seq    uint64       `json:"seq"`
	Hash   string       `json:"hash"`
	Queue  mark.Queue   `json:"queue"`
	At     mark.Tick    `json:"at"`
	Wall   mark.Wall    `json:"wall"`
	State  Stage        `json:"state"`
	Why    string       `json:"why,omitempty"`
	Spec   *Spec        `json:"spec,omitempty"`
	Tasks  []Task       `json:"tasks,omitempty"`
	Broken map[int]bool `json:"broken,omitempty"`
	Halt   bool         `json:"halt,omitempty"`
	End    mark.Tick    `json:"end,omitempty"`
	Size   int          `json:"size"`
	Bytes  int          `json:"bytes"`
	Fine   int          `json:"fine"`
	Legs   int          `json:"legs"`
	shot   uint64
	hot    *Heat
	off    mark.Wall // as of which the heat is
	row    mark.Edition
}

// spent tells whether a task may be given out no more.
func (t Task) spent(row blueprint.Row) bool {
	return t.Fails >= row.Tries || row.Losses > 0 && t.Lost >= row.Losses
}

// Knows tells whether an end of a leg would change nothing any more.
func (t Task) Knows(leg int, f Fate) bool {
	switch {
	case t.Out != nil && t.Leg == leg:
		return false
	case slices.Contains(t.Limbo, leg):
		return f.doubtful()
	}
	return f != OK || t.Done
}

// Over is true once the job has ended for good.
func (j *Job) Over() bool { return j.State == Done || j.State == Failed || j.State == Stopped }

// Ready lists the steps whose tasks may start at a tick, but for their own
// waits: nothing they depend on is missing, and the job is not on its way out.
func (j *Job) Ready(now mark.Tick, off mark.Wall) (list []int) {
	if j.State != Open {
		return nil
	}
	for i, p := range j.Spec.Steps {
		if j.due(p) <= now && (p.Not == "" || clock(p.Not) <= mark.Wall(now)+off) && j.met(p) {
			list = append(list, i)
		}
	}
	return
}

func (j *Job) due(p Step) mark.Tick { return j.At.Add(time.Duration(p.Delay) * time.Millisecond) }

func clock(s string) mark.Wall {
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return 0
	}
	return mark.Wall(t.UnixNano())
}

func (j *Job) met(p Step) bool {
	for _, a := range p.After {
		for i, q := range j.Spec.Steps {
			if q.Name == a && !j.full(i) {
				return false
			}
		}
	}
	return true
}

func (j *Job) full(step int) bool {
	for _, t := range j.Part(step) {
		if !t.Done {
			return false
		}
	}
	return true
}

// Part is the tasks of one step.
func (j *Job) Part(step int) []Task {
	b := j.Spec.Base(step)
	return j.Tasks[b : b+j.Spec.Steps[step].Tasks]
}

func (j *Job) outs() (n int) {
	for _, t := range j.Tasks {
		if t.Out != nil {
			n++
		}
	}
	return
}

// Doomed lists the legs that are out and must be stopped: the job is ending,
// the task is done by another leg, or a mate of the gang ended badly.
func (j *Job) Doomed() (list []mark.Leg) {
	if j.Over() {
		return nil
	}
	for n, t := range j.Tasks {
		if t.Out != nil && (j.State == Ending || t.Done || t.Out.Back != "" || j.Broken[j.Spec.Step(n)]) {
			list = append(list, mark.Leg{Task: mark.Task{Job: j.ID, N: n}, Leg: t.Leg})
		}
	}
	return
}

// give hands out the next leg of a task, if the task may still have one.
func (j *Job) give(n int, shard mark.Shard, row blueprint.Row, now mark.Tick) bool {
	if j.State != Open || n < 0 || n >= len(j.Tasks) {
		return false
	}
	t := &j.Tasks[n]
	if t.Out != nil || t.Done || t.Dead || t.Ready > now || t.spent(row) {
		return false
	}
	t.Leg++
	t.Doubt = ""
	j.Legs++
	t.Out = &Out{Shard: shard, At: now}
	return true
}

// end takes a leg's end. A late one, of a leg already counted lost, matters
// only if it ended well.
func (j *Job) end(n, leg int, f Fate, row blueprint.Row, now mark.Tick) {
	if j.Over() || n < 0 || n >= len(j.Tasks) {
		return
	}
	t := &j.Tasks[n]
	mine := t.Out != nil && t.Leg == leg
	if f == OK && leg <= t.Leg && !t.Done {
		t.Done, t.Dead, t.Doubt = true, false, ""
		j.Fine++
	}
	late := slices.Index(t.Limbo, leg)
	switch {
	case mine:
		from := t.Out.Shard
		t.Out = nil
		if f.doubtful() && !t.Done {
			t.Doubt, t.Limbo = from, append(t.Limbo, leg)
		}
		j.count(n, t, f, row, now)
	case late >= 0 && f == Waited:
		if t.Leg == leg && t.Ready <= now {
			t.Doubt = ""
			j.judge(n, t, row)
		}
	case late >= 0 && !f.doubtful():
		t.Limbo = slices.Delete(t.Limbo, late, late+1)
		if t.Leg == leg {
			t.Doubt, t.Ready = "", now
		}
		if f == Bad {
			j.fail(n, t, row, now)
		}
		j.judge(n, t, row)
	}
	j.turn(now)
}

func (j *Job) count(n int, t *Task, f Fate, row blueprint.Row, now mark.Tick) {
	switch f {
	case Bad:
		j.fail(n, t, row, now)
	case Lost:
		j.lose(n, t, row, now, row.Wait())
	case Cut:
		j.lose(n, t, row, now, max(row.WaitCut(), row.Wait()))
	case Gone:
		j.lose(n, t, row, now, 0)
	case Halted, Unrun:
		t.Halts++
		t.Ready = now.Add(pause(1))
	}
	step := j.Spec.Step(n)
	if !j.Spec.Steps[step].Gang {
		return
	}
	out := false
	for _, m := range j.Part(step) {
		out = out || m.Out != nil
	}
	switch {
	case f != OK && out:
		if j.Broken == nil {
			j.Broken = map[int]bool{}
		}
		j.Broken[step] = true
	case !out:
		delete(j.Broken, step)
	}
}

// lose counts a loss; one that loses its workers again and again rests longer
// each time, and fails its job only where the queue's row sets a bound.
func (j *Job) lose(n int, t *Task, row blueprint.Row, now mark.Tick, wait time.Duration) {
	t.Lost++
	t.Ready = now.Add(max(wait, min(5*time.Minute, 100*time.Millisecond<<min(t.Lost, 12))))
	j.judge(n, t, row)
}

// fail counts a failure against the queue's tries.
func (j *Job) fail(n int, t *Task, row blueprint.Row, now mark.Tick) {
	t.Fails++
	if t.Doubt == "" {
		t.Ready = now.Add(pause(t.Fails))
	}
	j.judge(n, t, row)
}

// judge ends a task whose tries are spent, unless a lost leg of it may still
// turn out to have ended well.
func (j *Job) judge(n int, t *Task, row blueprint.Row) {
	if t.Done || t.Dead || t.Doubt != "" {
		return
	}
	switch {
	case t.Fails >= row.Tries:
		t.Dead, j.Why = true, fmt.Sprintf("task %d failed %d times", n, t.Fails)
	case row.Losses > 0 && t.Lost >= row.Losses && t.Out == nil:
		t.Dead, j.Why = true, fmt.Sprintf("task %d was lost with its worker %d times", n, t.Lost)
	}
}

// Spent lists the lost legs of tasks that have no try left, whose ends have
// been waited for as long as the queue says.
func (j *Job) Spent(row blueprint.Row, now mark.Tick) (list []End) {
	for n, t := range j.Tasks {
		if j.State == Open && t.Out == nil && t.Doubt != "" && !t.Done && t.spent(row) && t.Ready <= now {
			list = append(list, End{Leg: mark.Leg{Task: mark.Task{Job: j.ID, N: n}, Leg: t.Leg}, Fate: Waited})
		}
	}
	return
}

// pause is how long a task rests after its n-th bad end.
func pause(n int) time.Duration {
	return min(10*time.Second, 100*time.Millisecond<<min(n, 10))
}

// turn moves the job's state on after anything changed.
func (j *Job) turn(now mark.Tick) {
	dead := false
	for _, t := range j.Tasks {
		dead = dead || t.Dead
	}
	full := j.Fine == j.Size
	switch {
	case full:
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
