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

// standstillRig is a leader of idle workers with a queue q.
func standstillRig(t *testing.T) *leaderRig {
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	l.table(t, testQueue("q"))
	return l
}

// review has the workers send heartbeats for a time, and then a round and a review made.
func (l *leaderRig) review(lasts time.Duration) []Standstill {
	for until := l.now.Add(lasts); l.now < until; l.advance(10 * time.Millisecond) {
		l.heartbeats()
	}
	l.plan(0)
	l.standstill.review(l.view(l.now), &l.planner)
	return l.standstill.take()
}

// standsStill reviews until a standstill must be reported, and returns it.
func (l *leaderRig) standsStill(t *testing.T) Standstill {
	t.Helper()
	l.review(standstillInterval)
	found := l.review(standstillDelay)
	if len(found) != 1 {
		t.Fatalf("%d standstills", len(found))
	}
	return found[0]
}

func TestStandstillWithoutAWorkerSaysWhatKeepsThemAway(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	step := testStep("s", 3)
	step.Labels = []string{"none has it"}
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{step}})
	found := l.standsStill(t)
	is.Equal(found.Job, types.JobID("j"))
	is.Equal(found.Reason, StandstillNoWorker)
	is.Equal(found.Detail, "unsuitable: 6")
	is.Equal(found.ReadyTasks, 3)
	is.True(found.Idle >= standstillDelay)
}

func TestStandstillOfAQueueAtItsLimit(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	queue := testQueue("q")
	queue.MaxRunning = 0
	l.table(t, queue)
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	found := l.standsStill(t)
	is.Equal(found.Reason, StandstillQueue)
	is.Equal(found.Detail, "queue limit; free: 6")
}

// An order that no agent has confirmed does not count as running.
func TestStandstillOfUnconfirmedAttempts(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	l.run(t, attemptID("j", 0, 1), "k0")
	found := l.standsStill(t)
	is.Equal(found.Reason, StandstillUnconfirmed)
	is.Equal(found.Outstanding, 1)
}

func TestStandstillInABackoffTellsHowLong(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	l.run(t, attemptID("j", 0, 1), "k0")
	l.end(t, attemptID("j", 0, 1), state.OutcomeLost)
	found := l.standsStill(t)
	is.Equal(found.Reason, StandstillBackoff)
	is.True(found.Detail != "no task is due")
}

// A job is reported again only after the same delay, and not while something of it runs.
func TestStandstillsAreReportedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	step := testStep("s", 1)
	step.Labels = []string{"none has it"}
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{step}})
	l.standsStill(t)
	is.Equal(len(l.review(standstillInterval)), 0)
	is.Equal(len(l.review(standstillDelay)), 1)
}

// Where no round was made beside those in flight, the detail says why.
func TestStandstillBesideRoundsInFlightSaysWhyThereIsNone(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	step := testStep("s", 1)
	step.Labels = []string{"none has it"}
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{step}})
	for index := range types.Index(maxRoundsInFlight) {
		l.planner.proposed(index+1, nil)
	}
	found := l.standsStill(t)
	is.Equal(found.Reason, StandstillNoRound)
	is.Equal(found.Detail, "too many rounds in flight")
}

// Nothing stands still without a reason while half of all cores is in use.
func TestNoStandstillWhileHalfOfTheCoresIsInUse(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	l.submit(t, "busy", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 48)}})
	for task := range 48 {
		l.run(t, attemptID("busy", task, 1), types.Shard("k"+string(rune('0'+task%6))))
	}
	step := testStep("s", 1)
	step.Labels = []string{"none has it"}
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{step}})
	l.review(standstillInterval)
	is.Equal(len(l.review(standstillDelay)), 0)
}

// A gang that is wider than its tenant may run waits for an operator, not for a worker.
func TestStandstillOfATenantAtItsLimit(t *testing.T) {
	is := is.New(t)
	l := standstillRig(t)
	l.log.state().Table.Tenants = []config.Tenant{{Name: "a", Limit: types.Resources{Cores: 1}}}
	gang := testStep("s", 3)
	gang.Gang = true
	l.submit(t, "j", state.Spec{Queue: "q", Tenant: "a", Steps: []state.Step{gang}})
	is.Equal(l.standsStill(t).Reason, StandstillTenant)
}
