package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// Violation is one broken rule.
type Violation struct {
	Rule   string
	At     int64 // true time in nanoseconds since the run began
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%-14s at %8.3f s: %s", v.Rule, seconds(v.At), v.Detail)
}

// seconds converts nanoseconds.
func seconds(nanos int64) float64 { return float64(nanos) / float64(time.Second) }

// second in nanoseconds, as the times of a history are.
const second = int64(time.Second)

// checker is a history as the rules read it, and what they found.
type checker struct {
	bounds  Bounds
	end     int64 // of the history
	history *history.History

	jobs       map[types.JobID]*jobHistory
	executions []*execution // in order of their start
	workers    map[types.Shard]*history.WorkerSpec
	stoppedAt  map[string][]int64         // daemons' processes
	leaving    map[types.Shard][]interval // from a worker's announcement to its withdrawal
	draining   map[types.Shard][]interval // by operators
	down       map[types.Shard][]interval // from the end of a worker's process to the next one
	tables     []activeTable
	faults     []faultWindow

	violations []Violation
	coverage   Coverage
}

// Check judges the history of a deployment whose workers poll, up to its end. Patience
// is how long its queues wait for an unresolved attempt before they run its task again.
func Check(h *history.History, bounds Bounds, end int64, unresolvedTimeout time.Duration) ([]Violation, Coverage) {
	c := newChecker(h, bounds, end)
	for _, job := range c.sortedJobs() {
		if job.spec == nil {
			c.recordViolation("stranger", 0, "attempt of a job that nobody submitted: %s", job.id)
			continue
		}
		c.checkReruns(job, int64(unresolvedTimeout))
		c.checkOrder(job)
		c.checkPlacement(job)
		c.checkGangs(job)
		c.checkCancel(job)
		c.checkStatuses(job)
	}
	c.checkCapacity()
	c.checkTables()
	c.checkTableEffects()
	c.countCoverage()
	return c.results()
}

// CheckInvoked judges the history of a deployment whose workers are invoked, up to its
// end.
func CheckInvoked(h *history.History, bounds Bounds, end int64) ([]Violation, Coverage) {
	c := newChecker(h, bounds, end)
	clockJumps := func(f faultWindow) bool { return strings.HasPrefix(f.name, "jump") }
	if c.faultDuring(0, end, clockJumps) {
		c.bounds.EarlyStartTolerance += bounds.ClockJumpTolerance
	}
	checkpoints := c.savedCheckpoints()
	for _, job := range c.sortedJobs() {
		if job.spec == nil {
			c.recordViolation("unasked", 0, "an attempt of %s, which nobody submitted", job.id)
			continue
		}
		c.checkInvokedReruns(job)
		c.checkFailureLimit(job)
		c.checkUnsolicited(job, checkpoints)
		c.checkOrder(job)
		c.checkPlacement(job)
		c.checkGangWait(job)
		c.checkInvokedCancel(job)
		c.checkRejectedJob(job)
		c.checkInvokedStatuses(job)
	}
	c.checkCapacity()
	c.checkQuotas()
	c.checkIdle()
	c.checkTables()
	c.checkConflictingTables()
	c.checkGatewayTables()
	c.checkTableEffects()
	c.countInvokedCoverage()
	return c.results()
}

// newChecker reads a history.
func newChecker(h *history.History, bounds Bounds, end int64) *checker {
	c := &checker{
		bounds:    bounds,
		end:       end,
		history:   h,
		jobs:      map[types.JobID]*jobHistory{},
		workers:   map[types.Shard]*history.WorkerSpec{},
		stoppedAt: map[string][]int64{},
		leaving:   map[types.Shard][]interval{},
		draining:  map[types.Shard][]interval{},
		down:      map[types.Shard][]interval{},
		coverage:  Coverage{},
	}
	newReader(c).readAll()
	c.tables = activeTables(h)
	c.faults = faultWindows(h)
	return c
}

func (c *checker) sortedJobs() []*jobHistory {
	list := make([]*jobHistory, 0, len(c.jobs))
	for _, job := range c.jobs {
		list = append(list, job)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list
}

// violate notes that a rule is broken.
func (c *checker) recordViolation(rule string, at int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// verdict returns the violations in order of time, and the opportunities.
func (c *checker) results() ([]Violation, Coverage) {
	sort.SliceStable(c.violations, func(i, k int) bool { return c.violations[i].At < c.violations[k].At })
	return c.violations, c.coverage
}
