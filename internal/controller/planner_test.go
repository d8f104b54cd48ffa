package controller

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// plan makes the next placement round.
func (l *leaderRig) plan(applied types.Index) round {
	return l.planner.plan(l.view(l.now), applied)
}

func TestFullRoundPlacesReadyTasks(t *testing.T) {
	is := is.New(t)
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	l.setTable(t, testQueue("q"))
	is.True(l.plan(0).empty()) // no tasks are ready
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 3)}})
	r := l.plan(0)
	is.Equal(len(r.assignments), 3)
	is.Equal(len(r.withdrawals), 0)
	for i, a := range r.assignments {
		is.Equal(a.ID, attemptID("j", i, 1))
	}
}

// All worker requirements of a step apply to each of its attempts.
func TestStageRequestCarriesStepRequirements(t *testing.T) {
	step := state.Step{
		Name: "s", Kind: "work", Rack: "r1", DataRack: "r2", Labels: []string{"fast"},
		Resources: types.Resources{Cores: types.Core, MemoryMB: 32}, MaxPerWorker: 2, Tasks: 1,
	}
	spec := &state.Spec{Urgency: 3, Steps: []state.Step{testStep("first", 1), step}}
	j := &state.Job{ID: "j", Queue: "q", Spec: spec}
	want := placement.Request{
		StageID: types.StageID{Job: "j", Stage: 1}, Queue: "q", Urgency: 3,
		Kind: "work", Rack: "r1", DataRack: "r2", Labels: []string{"fast"},
		Resources: types.Resources{Cores: types.Core, MemoryMB: 32}, MaxPerWorker: 2,
	}
	is.New(t).Equal(stageRequest(j, 1), want)
}

func TestGangMembersShareAttemptNumber(t *testing.T) {
	is := is.New(t)
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	l.setTable(t, testQueue("q"))
	gang := testStep("s", 3)
	gang.Gang = true
	j := l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{gang}})
	j.Tasks[1].LastAttempt = 4
	r := l.plan(0)
	is.Equal(len(r.assignments), 3)
	for _, a := range r.assignments {
		is.Equal(a.ID.Attempt, 5)
	}
}

func TestRoundWhileInFlightPlacesOnlyNewTasks(t *testing.T) {
	is := is.New(t)
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	l.setTable(t, testQueue("q"))
	l.submit(t, "first", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 2)}})
	first := l.plan(0)
	l.planner.proposed(7, first.assignments)
	is.True(l.plan(6).empty()) // tasks in flight are not placed again
	l.submit(t, "second", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	second := l.plan(6)
	is.Equal(len(second.assignments), 1)
	is.Equal(second.assignments[0].ID, attemptID("second", 0, 1))
	usage := l.planner.readyWork(l.view(l.now)).Usage
	is.Equal(usage["q"].RunningTasks, 2) // tasks in flight count as in use
	is.Equal(usage["q"].CoresInUse, types.MilliCores(2000))

	l.planner.hold.reservation = &placement.Reservation{StageID: types.StageID{Job: "second"}}
	is.True(l.plan(6).empty()) // while workers are reserved, only full rounds place tasks
	l.planner.hold.reservation = nil
	for i := range types.Index(maxRoundsInFlight) {
		l.planner.proposed(8+i, nil)
	}
	is.True(l.plan(6).empty()) // too many rounds are in flight
}

func TestNoPlacementDuringInitialWait(t *testing.T) {
	is := is.New(t)
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.establish(l.now)
	l.setTable(t, testQueue("q"))
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{testStep("s", 1)}})
	is.True(l.scheduler.InInitialWait())
	is.True(l.plan(0).empty())
	l.planner.proposed(7, nil)
	is.True(l.plan(6).empty())
}

func TestFullRoundWithoutCapacityPreempts(t *testing.T) {
	is := is.New(t)
	l := fullCluster(t)
	l.endInitialWait(t)
	wholeWorker := testStep("s", 1)
	wholeWorker.Resources = types.Resources{Cores: 16_000, MemoryMB: 100}
	l.submit(t, "new", state.Spec{Queue: "urgent", Urgency: 9, Steps: []state.Step{wholeWorker}})
	is.True(l.plan(0).empty()) // it has not waited for preemptionDelay yet
	l.now = l.now.Add(preemptionDelay)
	r := l.plan(0)
	is.Equal(len(r.assignments), 0)
	is.Equal(len(r.withdrawals), 2)
	is.Equal(l.planner.hold.reservation.Job, types.JobID("new"))
}

// A new leadership must not use the rounds and reservations of the previous one.
func TestRevokeResetsLeadershipState(t *testing.T) {
	is := is.New(t)
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.planner.proposed(7, []state.Assignment{{ID: attemptID("j", 0, 1), Shard: "k0"}})
	l.planner.hold.reservation = &placement.Reservation{}
	l.planner.waits.update(l.now, []placement.Request{{StageID: types.StageID{Job: "j"}}})
	l.shapes.proposed = 9
	l.ends.proposed(state.AttemptEnd{ID: attemptID("j", 0, 1), Outcome: state.OutcomeOK})
	l.ends.release(attemptID("j", 0, 1))
	l.planner.ranking.meanWork["q"] = 3
	l.revoke()
	is.True(!l.active())
	is.Equal(l.counters.LeadershipsLost, uint64(1))
	is.True(!l.planner.rounds.inFlight(0))
	is.True(l.planner.rounds.empty())
	is.Equal(l.planner.hold.reservation, nil)
	is.Equal(len(l.planner.waits.since), 0)
	is.Equal(l.shapes.proposed, types.Index(0))
	is.Equal(len(l.ends.inFlight)+len(l.ends.released), 0)
	is.Equal(l.planner.slots.windows.orderDelay, protocol.DefaultTimeouts.AgentLease)
	is.Equal(l.planner.ranking.meanWork["q"], 3.0) // the statistics of the queues are kept
	l.revoke()
	is.Equal(l.counters.LeadershipsLost, uint64(1)) // counted once
	is.Equal(l.workers(), nil)
	is.Equal(len(l.workerViews(l.now.Add(time.Second))), 0)
}
