package controller

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// stalledJobRig returns a rig with idle workers and a queue q.
func stalledJobRig(t *testing.T) *leaderRig {
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	l.setTable(t, testQueue("q"))
	return l
}

// submitUnplaceable submits job j, whose tasks need a label that no worker has.
func (l *leaderRig) submitUnplaceable(t *testing.T, tasks int) {
	t.Helper()
	step := testStep("s", tasks)
	step.Labels = []string{"none has it"}
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{step}})
}

// reviewAfter sends heartbeats for a duration, then makes a round and a review, and returns the
// stalled jobs found.
func (l *leaderRig) reviewAfter(lasts time.Duration) []StalledJob {
	l.heartbeatFor(lasts)
	l.plan(0)
	l.stalledJobs.review(l.view(l.now), &l.planner)
	return l.stalledJobs.take()
}

// heartbeatFor sends heartbeats of all workers for a duration.
func (l *leaderRig) heartbeatFor(lasts time.Duration) {
	for until := l.now.Add(lasts); l.now < until; l.advance(10 * time.Millisecond) {
		l.heartbeatAll()
	}
}

// awaitStalledJob waits until a stalled job must have been reported, and returns it.
func (l *leaderRig) awaitStalledJob(t *testing.T) StalledJob {
	t.Helper()
	l.reviewAfter(stallReviewInterval)
	found := l.reviewAfter(stallReportDelay)
	if len(found) != 1 {
		t.Fatalf("%d stalled jobs, want 1", len(found))
	}
	return found[0]
}

func TestStalledJobWithoutWorkerReportsObstacles(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submitUnplaceable(t, 3)
	found := l.awaitStalledJob(t)
	is.Equal(found.Job, types.JobID("j"))
	is.Equal(found.Reason, StallNoWorker)
	is.Equal(found.Detail, "unsuitable: 6")
	is.Equal(found.ReadyTasks, 3)
	is.True(found.Idle >= stallReportDelay)
}

func TestStalledJobOfQueueAtLimit(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	queue := testQueue("q")
	queue.MaxRunning = 0
	l.setTable(t, queue)
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	found := l.awaitStalledJob(t)
	is.Equal(found.Reason, StallQueueLimit)
	is.Equal(found.Detail, "queue limit; free: 6")
}

// An order that no agent has confirmed does not count as running.
func TestStalledJobWithUnconfirmedAttempts(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	l.runAttempt(t, attemptID("j", 0, 1), "k0")
	found := l.awaitStalledJob(t)
	is.Equal(found.Reason, StallUnconfirmed)
	is.Equal(found.Outstanding, 1)
}

func TestStalledJobInBackoffReportsDetail(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	l.runAttempt(t, attemptID("j", 0, 1), "k0")
	l.endAttempt(t, attemptID("j", 0, 1), state.OutcomeLost)
	found := l.awaitStalledJob(t)
	is.Equal(found.Reason, StallBackoff)
	is.True(found.Detail != "no task is due")
}

// A stalled job is reported again only after the same delay.
func TestStalledJobIsReportedOncePerDelay(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submitUnplaceable(t, 1)
	l.awaitStalledJob(t)
	is.Equal(len(l.reviewAfter(stallReviewInterval)), 0)
	is.Equal(len(l.reviewAfter(stallReportDelay)), 1)
}

// If rounds in flight prevented another round, the detail says why.
func TestStalledJobReportsWhyNoRoundWasMade(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submitUnplaceable(t, 1)
	for index := range types.Index(maxRoundsInFlight) {
		l.planner.proposed(index+1, nil)
	}
	found := l.awaitStalledJob(t)
	is.Equal(found.Reason, StallNoRound)
	is.Equal(found.Detail, "too many rounds in flight")
}

// A round that happens to be blocked during the review does not hide the obstacles that the round
// before it met: a busy leader nearly always has rounds in flight.
func TestStalledJobReportsObstaclesWhileRoundsAreInFlight(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submitUnplaceable(t, 1)
	l.reviewAfter(stallReviewInterval)
	l.heartbeatFor(stallReportDelay)
	l.plan(0)
	for index := range types.Index(maxRoundsInFlight) {
		l.planner.proposed(index+1, nil)
	}
	found := l.reviewAfter(maxDiagnosedInputAge / 2)
	is.Equal(len(found), 1)
	is.Equal(found[0].Reason, StallNoWorker)
	is.Equal(found[0].Detail, "unsuitable: 6")
}

// No job counts as stalled while half of all cores is in use.
func TestNoStalledJobWhileHalfOfCoresInUse(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.submit(t, "busy", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 48)}})
	for task := range 48 {
		l.runAttempt(t, attemptID("busy", task, 1), types.Shard("k"+string(rune('0'+task%6))))
	}
	l.submitUnplaceable(t, 1)
	l.reviewAfter(stallReviewInterval)
	is.Equal(len(l.reviewAfter(stallReportDelay)), 0)
}

// A gang that exceeds its tenant's limit waits for an operator, not for a worker.
func TestStalledJobOfTenantAtLimit(t *testing.T) {
	is := is.New(t)
	l := stalledJobRig(t)
	l.log.state().Table.Tenants = []config.Tenant{{Name: "a", Limit: types.Resources{Cores: 1}}}
	gang := testStep("s", 3)
	gang.Gang = true
	l.submit(t, "j", state.Spec{Queue: "q", Tenant: "a", Steps: []state.Step{gang}})
	is.Equal(l.awaitStalledJob(t).Reason, StallTenantLimit)
}
