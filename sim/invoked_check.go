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
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// InvokedBounds are the bounds of the two deployments.
func InvokedBounds(m worker.Rules) Bounds {
	return Bounds{StartAfterCancel: 3 * time.Second, RunAfterCancel: 3*time.Second + m.MaxStopTime, StartEarly: 250 * time.Millisecond, StartAfterLeaving: 2 * time.Second, GangIncomplete: m.GangTimeout,
		TableLag: 2 * time.Second, AllJobsEnd: true, FaultAftermath: 3 * time.Second, JobVisible: 3 * time.Second, IdleWork: 3 * time.Second,
		TableRegression: 250 * time.Millisecond, ClockJump: 5 * time.Second}
}

// CheckCalled tells all rules a history breaks, and what chances it had to.
func CheckInvoked(h *history.History, b Bounds, end int64) ([]Violation, Coverage) {
	c := newChecker(h, b, end)
	if c.faultDuring(0, end, func(t faultWindow) bool { return strings.HasPrefix(t.name, "jump") }) {
		c.bounds.StartEarly += b.ClockJump
	}
	saves := c.savedCheckpoints()
	for _, j := range c.sortedJobs() {
		if j.spec == nil {
			c.violate("unasked", 0, "an attempt of %s, which nobody sent", j.id)
			continue
		}
		c.checkOverlap(j)
		c.checkFailureLimit(j)
		c.checkUnsolicited(j, saves)
		c.checkOrder(j)
		c.checkPlacement(j)
		c.checkGangWait(j)
		c.checkCancelBounds(j)
		c.checkRejected(j)
		c.checkAnswers(j)
	}
	c.checkCapacity()
	c.checkIdle()
	c.checkTables()
	c.checkVersions()
	c.checkTableEffects()
	c.countInvokedOpportunities()
	return c.verdict()
}

// trouble is a stretch in which a fault was on, and whom it touched.
type faultWindow struct {
	name     string
	from, to int64
	affected []types.Addr
}

func (c *checker) faultWindows() []faultWindow {
	if c.faults != nil {
		return c.faults
	}
	c.faults = []faultWindow{}
	for _, h := range c.history.Events {
		switch h.Kind {
		case history.FaultStarted:
			name, long, _ := strings.Cut(h.Text, " for ")
			d, _ := time.ParseDuration(long)
			c.faults = append(c.faults, faultWindow{name, h.At, h.At + int64(d), h.Affected})
		case history.FaultsHealed:
			for i := range c.faults {
				c.faults[i].to = min(c.faults[i].to, h.At)
			}
		}
	}
	return c.faults
}

// faultDuring tells whether a trouble of some kind touches a stretch, or did shortly before.
func (c *checker) faultDuring(from, to int64, matches func(faultWindow) bool) bool {
	for _, t := range c.faultWindows() {
		if t.from <= to && t.to+int64(c.bounds.FaultAftermath) >= from && matches(t) {
			return true
		}
	}
	return false
}

// affects is a trouble of the system's own machines, or of all the world.
func (f faultWindow) affects(who ...types.Addr) bool {
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

// inContact tells whether the machine beside a worker is in touch at a time.
func (c *checker) inContact(shard types.Shard, at int64) bool {
	w := types.Addr("w" + string(shard[1:]))
	return !c.faultDuring(at, at, func(t faultWindow) bool { return t.affects(w) })
}

// faultFree tells that nothing at all was wrong in a stretch.
func (c *checker) faultFree(from, to int64) bool {
	return !c.faultDuring(from, to, func(t faultWindow) bool { return t.affected == nil || len(t.affected) > 0 })
}

const second = int64(time.Second)

// twice: no task two times at once, and none again after a good end that was
// noted. Where a step allows copies, only long after.
func (c *checker) checkOverlap(j *jobHistory) {
	shown := int64(0)
	for _, h := range j.observations {
		if h.Stage == state.JobDone && shown == 0 {
			shown = h.At
		}
	}
	for n, list := range j.executions {
		p := j.spec.Steps[j.spec.StepOf(n)]
		for i, s := range list {
			hard := !s.deliveredLate && c.inContact(s.shard, s.startedAt)
			if shown > 0 && s.startedAt > shown+second && hard {
				c.violate("again", s.startedAt, "%v starts %.3f s after its job was shown done", s.attempt, float64(s.startedAt-shown)/1e9)
			}
			for _, o := range list[:i] {
				if o.runs(s.startedAt, s.endedAt) && !p.AllowHedge {
					c.violate("twice", s.startedAt, "%v on %s while %v runs on %s", s.attempt, s.process, o.attempt, o.process)
				}
				if o.outcome == state.OutcomeLeaseExpired || o.outcome == state.OutcomeWorkerExited {
					c.coverage["twice: started again after a lapse or a crash"]++
				}
			}
			for _, o := range c.gangExecutions(j, n, p) {
				switch {
				case o.outcome != state.OutcomeOK || o.endedAt > s.startedAt || o == s:
				case o.settledAt == 0:
					c.coverage["again: started after a good end that was never noted"]++
				case !p.AllowHedge || s.startedAt > o.settledAt+second && hard:
					c.violate("again", s.startedAt, "%v starts although %v ended well at %.3f s, noted at %.3f s", s.attempt, o.attempt, float64(o.endedAt)/1e9, float64(o.settledAt)/1e9)
				}
			}
		}
	}
}

// gangExecutions are the attempts of a task, or of all tasks of a joint gang.
func (c *checker) gangExecutions(j *jobHistory, n int, p state.Step) (list []*execution) {
	if !p.Joint {
		return j.executions[n]
	}
	for i := range p.Tasks {
		list = append(list, j.executions[types.StageOf(n).TaskNumber(i)]...)
	}
	return
}

// tries: no start after as many noted failures as the table allows; those of a
// gang's members with one number are one.
func (c *checker) checkFailureLimit(j *jobHistory) {
	for n, list := range j.executions {
		p := j.spec.Steps[j.spec.StepOf(n)]
		if p.AlwaysRestart {
			continue
		}
		for _, s := range list {
			failed, last := map[int]bool{}, int64(0)
			for _, o := range c.gangExecutions(j, n, p) {
				if o.outcome == state.OutcomeFailed && o.endedAt <= s.startedAt && o.settledAt > 0 && o.attempt.Attempt != s.attempt.Attempt {
					failed[o.attempt.Attempt], last = true, max(last, o.settledAt)
				}
			}
			most := 0
			for _, r := range c.rowsInForce(j.spec.Queue, s.startedAt, s.startedAt) {
				most = max(most, r.MaxFailures)
			}
			if len(failed) >= most && (!p.AllowHedge || s.startedAt > last+second && !s.deliveredLate && c.inContact(s.shard, s.startedAt)) {
				c.violate("tries", s.startedAt, "%v starts after %d failures, %d allowed", s.attempt, len(failed), most)
			}
			if len(failed) > 0 {
				c.coverage["tries: started again after a failure"]++
			}
			if len(failed) > 0 && len(failed) == most-1 {
				c.coverage["tries: last try allowed"]++
			}
		}
	}
}

// savedCheckpoints lists what each stage's attempts saved, and when.
func (c *checker) savedCheckpoints() map[string]history.Event {
	saves := map[string]history.Event{}
	for _, h := range c.history.Events {
		if h.Kind == history.CheckpointSaved {
			saves[h.Checkpoint] = h
		}
	}
	return saves
}

// unasked: only what was sent, with its own work, from what its own task saved.
func (c *checker) checkUnsolicited(j *jobHistory, saves map[string]history.Event) {
	for n, list := range j.executions {
		i := j.spec.StepOf(n)
		for _, s := range list {
			if i < 0 {
				c.violate("unasked", s.startedAt, "%v starts, a task that its job has not", s.attempt)
				continue
			}
			if !sameJSON(s.work, j.spec.StepWork(i)) {
				c.violate("unasked", s.startedAt, "%v starts with other work: %s", s.attempt, s.work)
			}
			if s.startedAt < j.submittedAt {
				c.violate("unasked", s.startedAt, "%v starts before its job was sent", s.attempt)
			}
			if s.checkpoint == "" {
				continue
			}
			c.coverage["unasked: started from what was saved"]++
			h, p := saves[s.checkpoint], j.spec.Steps[i]
			own := h.Attempt.Job == j.id && (h.Attempt.TaskNumber == n || p.Joint && types.StageOf(h.Attempt.TaskNumber) == types.StageOf(n))
			if !own || h.At > s.startedAt {
				c.violate("unasked", s.startedAt, "%v starts from %s, which is not its own", s.attempt, s.checkpoint)
			}
		}
	}
}

// sameJSON tells whether two texts of JSON say the same.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && x.String() == y.String()
}

// alone: no member of a gang waits in vain for the others while nothing is wrong.
func (c *checker) checkGangWait(j *jobHistory) {
	for _, list := range j.executions {
		for _, s := range list {
			if s.how != wire.EndGangStartTimeout {
				continue
			}
			if c.faultFree(s.startedAt-int64(c.bounds.GangIncomplete), s.endedAt) && (j.cancelledAt == 0 || s.endedAt < j.cancelledAt) {
				c.violate("alone", s.endedAt, "%v on %s waited for its gang in vain", s.attempt, s.process)
			} else {
				c.coverage["alone: waited in vain during a trouble"]++
			}
		}
	}
}

// stops: no start and no running past the bounds after an accepted cancel.
func (c *checker) checkCancelBounds(j *jobHistory) {
	if j.cancelledAt == 0 {
		return
	}
	for _, list := range j.executions {
		for _, s := range list {
			if s.startedAt > j.cancelledAt+int64(c.bounds.StartAfterCancel) && !s.deliveredLate && c.inContact(s.shard, s.startedAt) {
				c.violate("cancel-start", s.startedAt, "%v starts %.3f s after its cancel", s.attempt, float64(s.startedAt-j.cancelledAt)/1e9)
			}
			if !s.runs(j.cancelledAt, c.end) {
				continue
			}
			c.coverage["cancel: hit a running attempt"]++
			if late := j.cancelledAt + int64(c.bounds.RunAfterCancel); s.runs(late, c.end) && !s.deliveredLate && c.faultFree(j.cancelledAt, late) {
				c.violate("cancel-run", s.endedAt, "%v runs %.3f s after its cancel", s.attempt, float64(s.endedAt-j.cancelledAt)/1e9)
			}
		}
	}
}
