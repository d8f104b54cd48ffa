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

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// Violation is one broken rule.
type Violation struct {
	Rule   string
	At     int64
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%-14s at %8.3f s: %s", v.Rule, float64(v.At)/1e9, v.Detail)
}

// execution is one attempt as it ran on a worker.
type execution struct {
	attempt        types.AttemptID
	process        string
	shard          types.Shard
	startedAt      int64
	endedAt        int64 // the end of the history if it never ended
	outcome        state.Outcome
	acknowledgedAt int64       // when the system acknowledged the end
	reports        []endReport // daemons that were told of the end
	workerDiedAt   int64       // when its worker process ended
	frozen         [][2]int64  // when its worker stood still

	how           wire.EndReason // of one that was called
	checkpoint    string
	work          json.RawMessage
	deliveredLate bool
	settledAt     int64 // when its end was settled at its worker, before any lapse
}

type endReport struct {
	process string
	at      int64
}

type jobHistory struct {
	id              types.JobID
	spec            *state.Spec
	submittedAt     int64
	acceptedAt      int64
	cancelledAt     int64
	observations    []history.Event
	notFoundAt      int64
	unfinishedUntil int64                // until when it was surely unfinished
	executions      map[int][]*execution // by task

	cancelSentAt int64 // when its cancelling was first sent
	rejections   int   // tries to hand it in that were turned away
	unresolved   int   // and that had no clear answer
}

// Bounds of the rules, with what the callers' network adds.
type Bounds struct {
	StartAfterCancel  time.Duration // a start after a cancel
	RunAfterCancel    time.Duration // running after a cancel
	StartEarly        time.Duration // before its time
	StartAfterLeaving time.Duration // a start after a worker said it is leaving
	GangIncomplete    time.Duration // one of a gang without the rest
	TableLag          time.Duration // an acknowledged table not seen
	AllJobsEnd        bool          // all jobs must have ended by the end
	ShortPatience     bool          // queues run lost attempts again before a cut can have healed

	FaultAftermath  time.Duration // how long after a trouble a machine is held to the bounds of time
	JobVisible      time.Duration // an accepted job not known
	IdleWork        time.Duration // work whose turn has come, and that nothing holds back
	TableRegression time.Duration // a table followed again that is older than one followed
	ClockJump       time.Duration // more before its time on days when clocks jump
}

// gangIncompleteBound is how long a gang's member may run on after a peer was lost: until the
// loss is known, an election, a commit, and a stop repeated until it arrives.
func gangIncompleteBound(p protocol.Timeouts, a raft.Timeouts) time.Duration {
	return p.LostAfter + p.HeartbeatInterval + 2*a.MinElectionTimeout + a.StallTimeout + p.RetryInterval/2 + protocol.WorkerStopTime + 400*time.Millisecond
}

// DefaultBounds are the brief's bounds.
var DefaultBounds = Bounds{StartAfterCancel: 3 * time.Second, RunAfterCancel: 4 * time.Second, StartEarly: 100 * time.Millisecond, StartAfterLeaving: 2 * time.Second,
	GangIncomplete: gangIncompleteBound(protocol.DefaultTimeouts, raft.DefaultTimeouts), TableLag: 2 * time.Second, AllJobsEnd: true}

type checker struct {
	bounds       Bounds
	end          int64
	jobs         map[types.JobID]*jobHistory
	workers      map[types.Shard]*history.WorkerSpec
	executions   []*execution
	frozenSince  map[string]int64
	stoppedAt    map[string][]int64
	leaving      map[types.Shard][][2]int64
	draining     map[types.Shard][][2]int64
	activeTables []activeTable
	violations   []Violation
	coverage     Coverage
	history      *history.History
	faults       []faultWindow // once read
}

// Check tells all rules a history breaks, and what chances it had to.
func Check(h *history.History, b Bounds, end int64, patience time.Duration) ([]Violation, Coverage) {
	c := newChecker(h, b, end)
	for _, j := range c.sortedJobs() {
		if j.spec == nil {
			c.violate("stranger", 0, "attempt of a job that nobody sent: %s", j.id)
			continue
		}
		c.checkReruns(j, int64(patience))
		c.checkOrder(j)
		c.checkPlacement(j)
		c.checkGangs(j)
		c.checkCancels(j)
		c.checkObservations(j)
	}
	c.checkCapacity()
	c.checkTables()
	c.checkTableEffects()
	c.countOpportunities()
	return c.verdict()
}

// newChecker reads a history.
func newChecker(h *history.History, b Bounds, end int64) *checker {
	c := &checker{bounds: b, end: end, jobs: map[types.JobID]*jobHistory{}, workers: map[types.Shard]*history.WorkerSpec{}, frozenSince: map[string]int64{},
		stoppedAt: map[string][]int64{}, leaving: map[types.Shard][][2]int64{}, draining: map[types.Shard][][2]int64{}, history: h, coverage: Coverage{}}
	c.readHistory()
	c.collectTables()
	return c
}

func (c *checker) sortedJobs() []*jobHistory {
	list := make([]*jobHistory, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list
}

func (c *checker) verdict() ([]Violation, Coverage) {
	sort.SliceStable(c.violations, func(i, k int) bool { return c.violations[i].At < c.violations[k].At })
	return c.violations, c.coverage
}

func (c *checker) violate(rule string, at int64, text string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(text, args...)})
}

func (c *checker) job(id types.JobID) *jobHistory {
	j := c.jobs[id]
	if j == nil {
		j = &jobHistory{id: id, executions: map[int][]*execution{}}
		c.jobs[id] = j
	}
	return j
}

func (c *checker) readHistory() {
	live := map[string]map[types.AttemptID]*execution{}
	close := func(s *execution, at int64, f state.Outcome) {
		s.endedAt, s.outcome = at, f
		delete(live[s.process], s.attempt)
	}
	for _, h := range c.history.Events {
		switch h.Kind {
		case history.WorkerStaying:
			if h.Worker != nil {
				c.workers[h.Shard] = h.Worker
			}
			if l := c.leaving[h.Shard]; len(l) > 0 && l[len(l)-1][1] == c.end {
				l[len(l)-1][1] = h.At
			}
		case history.DrainAccepted, history.DrainRemoval:
			c.recordDrain(h)
		case history.WorkerLeaving:
			c.leaving[h.Shard] = append(c.leaving[h.Shard], [2]int64{h.At, c.end})
		case history.AttemptStarted:
			s := &execution{attempt: h.Attempt, process: h.Process, shard: h.Shard, startedAt: h.At, endedAt: c.end, checkpoint: h.Checkpoint, work: h.Work, deliveredLate: h.DeliveredLate}
			if live[h.Process] == nil {
				live[h.Process] = map[types.AttemptID]*execution{}
			}
			live[h.Process][h.Attempt] = s
			c.executions = append(c.executions, s)
			j := c.job(h.Attempt.Job)
			j.executions[h.Attempt.TaskNumber] = append(j.executions[h.Attempt.TaskNumber], s)
		case history.AttemptEnded:
			if s := live[h.Process][h.Attempt]; s != nil {
				s.how = h.How
				close(s, h.At, h.Outcome)
			}
		case history.EndSettled:
			for _, s := range c.job(h.Attempt.Job).executions[h.Attempt.TaskNumber] {
				if s.attempt == h.Attempt && s.process == h.Process {
					s.settledAt = h.At
				}
			}
		case history.CancelSubmitted:
			c.job(h.Job).cancelSentAt = h.At
		case history.SubmissionRejected, history.JobDenied:
			c.job(h.Job).rejections++
		case history.SubmissionUnresolved:
			c.job(h.Job).unresolved++
		case history.EndAcknowledged:
			for _, s := range c.job(h.Attempt.Job).executions[h.Attempt.TaskNumber] {
				if s.acknowledgedAt == 0 && s.attempt == h.Attempt {
					s.acknowledgedAt = h.At
				}
			}
		case history.EndReported:
			for _, s := range c.job(h.Attempt.Job).executions[h.Attempt.TaskNumber] {
				if s.attempt == h.Attempt {
					s.reports = append(s.reports, endReport{h.Process, h.At})
				}
			}
		case history.DaemonStopped:
			c.stoppedAt[h.Process] = append(c.stoppedAt[h.Process], h.At)
		case history.WorkerRemoved:
			c.countRemoval(h, live[h.Process])
		case history.WorkerDied:
			for _, s := range live[h.Process] {
				if at, ok := c.frozenSince[h.Process]; ok {
					s.frozen = append(s.frozen, [2]int64{at, h.At})
				}
				close(s, h.At, state.OutcomeWorkerExited)
			}
			delete(c.frozenSince, h.Process)
			for _, s := range c.executions {
				if s.process == h.Process {
					s.workerDiedAt = h.At
				}
			}
		case history.WorkerFroze:
			c.frozenSince[h.Process] = h.At
		case history.WorkerThawed:
			for _, s := range live[h.Process] {
				s.frozen = append(s.frozen, [2]int64{c.frozenSince[h.Process], h.At})
			}
			delete(c.frozenSince, h.Process)
		case history.JobSubmitted:
			j := c.job(h.Job)
			j.spec, j.submittedAt = h.Spec, h.At
		case history.JobAccepted:
			if j := c.job(h.Job); j.acceptedAt == 0 {
				j.acceptedAt = h.At
			}
		case history.CancelAccepted:
			if j := c.job(h.Job); j.cancelledAt == 0 {
				j.cancelledAt = h.At
			}
		case history.JobObserved:
			j := c.job(h.Job)
			j.observations = append(j.observations, h)
		case history.JobNotFound:
			c.job(h.Job).notFoundAt = h.At
		}
	}
}

// runs tells whether an attempt really runs at some time in a stretch: a worker that
// stands still runs nothing, and stops what has lapsed before anything else.
func (e *execution) runs(from, to int64) bool {
	a, b := max(e.startedAt, from), min(e.endedAt, to)
	for _, i := range e.frozen {
		if a >= i[0] && a < i[1] {
			a = i[1]
		}
		if b > i[0] && b <= i[1] {
			b = i[0]
		}
	}
	return a < b
}

// endedWell tells whether a task had ended well by a time; of a joint gang one good end
// stands for all.
func (j *jobHistory) endedWell(n int, by int64) bool {
	list := j.executions[n]
	if p, at := &j.spec.Steps[j.spec.StepOf(n)], types.StageOf(n); p.Joint {
		for i := range p.Tasks {
			list = slices.Concat(list, j.executions[at.TaskNumber(i)])
		}
	}
	for _, s := range list {
		if s.outcome == state.OutcomeOK && s.endedAt <= by {
			return true
		}
	}
	return false
}

// dueAt is when a step may start at one of the times, by true time, but for what it
// depends on.
func (j *jobHistory) dueAt(p state.Step, time int) int64 {
	at := j.submittedAt + int64(p.DelayMillis)*1e6
	if t := j.spec.Schedule; t != nil {
		at = max(at, (t.FirstUnixMillis+int64(time)*t.IntervalMillis)*1e6-history.WallClockStart)
	}
	return at
}

// order: nothing before what it depends on, nor before its time.
func (c *checker) checkOrder(j *jobHistory) {
	for n, list := range j.executions {
		p := j.spec.Steps[j.spec.StepOf(n)]
		for _, s := range list {
			if due := j.dueAt(p, types.StageOf(n).Occurrence()); s.startedAt < due-int64(c.bounds.StartEarly) {
				c.violate("early", s.startedAt, "%v starts %.3f s too soon", s.attempt, float64(due-s.startedAt)/1e9)
			}
			if t, err := time.Parse(time.RFC3339Nano, p.NotBefore); err == nil && s.startedAt+history.WallClockStart < t.UnixNano()-int64(c.bounds.StartEarly) {
				c.violate("early", s.startedAt, "%v starts before %s", s.attempt, p.NotBefore)
			}
			for _, a := range p.DependsOn {
				for i, q := range j.spec.Steps {
					b := types.TaskNumber(types.StageOf(n).Occurrence(), i, 0)
					for m := b; q.Name == a && m < b+q.Tasks; m++ {
						if !j.endedWell(m, s.startedAt) {
							c.violate("order", s.startedAt, "%v starts before task %d of step %s ended well", s.attempt, m, a)
						}
					}
				}
			}
		}
	}
}

// cancels: no start and no running past the bounds after an accepted cancel.
func (c *checker) checkCancels(j *jobHistory) {
	if j.cancelledAt == 0 {
		return
	}
	for _, list := range j.executions {
		for _, s := range list {
			if s.startedAt > j.cancelledAt+int64(c.bounds.StartAfterCancel) {
				c.violate("cancel-start", s.startedAt, "%v starts %.3f s after its cancel", s.attempt, float64(s.startedAt-j.cancelledAt)/1e9)
			}
			if s.runs(j.cancelledAt+int64(c.bounds.RunAfterCancel), c.end) {
				c.violate("cancel-run", s.endedAt, "%v runs %.3f s after its cancel", s.attempt, float64(s.endedAt-j.cancelledAt)/1e9)
			}
		}
	}
}
