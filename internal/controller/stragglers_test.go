package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const usualDuration = 3 * time.Second

// stragglerRig runs one attempt, of job "j" on k0, of a step whose attempts are known to
// take usualDuration and are estimated at a second.
func stragglerRig(t *testing.T, alter func(*state.Step)) (*leaderRig, *scheduler.OutstandingAttempt) {
	t.Helper()
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	q := testQueue("q")
	q.StragglerFactor = 4
	l.table(t, q)
	step := testStep("s", 1)
	step.EstimateMillis = 1000
	alter(&step)
	earlier := func(i int) types.JobID { return types.JobID(fmt.Sprint("earlier-", i)) }
	for i := range 12 {
		id := earlier(i)
		l.submit(t, id, state.Spec{Queue: "q", Steps: []state.Step{step}})
		l.run(t, attemptID(id, 0, 1), "k1")
	}
	for end := l.now.Add(usualDuration); l.now < end; {
		l.heartbeats() // a millisecond each
	}
	for i := range 12 {
		l.end(t, attemptID(earlier(i), 0, 1), state.OutcomeOK)
	}
	l.submit(t, "j", state.Spec{Queue: "q", Steps: []state.Step{step}})
	l.run(t, attemptID("j", 0, 1), "k0")
	return l, l.scheduler.Attempts()[0]
}

func TestAttemptsFarBeyondTheUsualHaveStalled(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		alter func(*state.Step)
		avoid types.Shard
		want  bool
	}{
		{"in time", 4 * usualDuration, func(*state.Step) {}, "", false},
		{"beyond the queue's factor", 4*usualDuration + time.Second, func(*state.Step) {}, "", true},
		{"only once a task", 4*usualDuration + time.Second, func(*state.Step) {}, "k9", false},
		{"step that is always restarted", 4*usualDuration + time.Second,
			func(p *state.Step) { p.AlwaysRestart = true }, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, attempt := stragglerRig(t, c.alter)
			l.log.state().Jobs["j"].Tasks[0].AvoidWorker = c.avoid
			l.now = attempt.OrderedAt.Add(c.after)
			is.New(t).Equal(isStalled(l.view(l.now), attempt), c.want)
		})
	}
}

func TestShortTasksAreRestartedWhereTheirWorkerIsSlow(t *testing.T) {
	short := func(p *state.Step) { p.EstimateMillis = 1000 }
	for _, c := range []struct {
		name  string
		ends  time.Duration // from now, as its worker is expected to
		alter func(*state.Step)
		want  bool
	}{
		{"not slow", -1, short, false},
		{"slow, but sooner done there", 1800 * time.Millisecond, short, false},
		{"slow, and sooner done elsewhere", 1801 * time.Millisecond, short, true},
		{"always restarted", time.Minute, func(p *state.Step) { p.AlwaysRestart = true }, false},
		{"hedged instead", time.Minute, func(p *state.Step) { p.AllowHedge = true }, false},
		{"gang can't be hedged", time.Minute, func(p *state.Step) { p.AllowHedge, p.Gang = true, true }, true},
		{"takes long anyway", time.Minute, func(p *state.Step) { p.EstimateMillis = 1500 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, attempt := stragglerRig(t, c.alter)
			attempt.StragglerEnd = l.now.Add(c.ends)
			is.New(t).Equal(isWorthRestarting(l.view(l.now), attempt), c.want)
		})
	}
}

func TestStragglersAreHedgedElsewhere(t *testing.T) {
	hedged := func(p *state.Step) { p.AllowHedge = true }
	limit := time.Duration(hedgeFactor*float64(usualDuration)) + hedgeMargin
	for _, c := range []struct {
		name  string
		after time.Duration
		alter func(*state.Step)
		event func(*leaderRig, *scheduler.OutstandingAttempt)
		want  bool
	}{
		{"in time", limit - 100*time.Millisecond, hedged, nil, false},
		{"far behind its like", limit + 100*time.Millisecond, hedged, nil, true},
		{"may not run twice", limit + 100*time.Millisecond, func(*state.Step) {}, nil, false},
		{"gang", limit + 100*time.Millisecond, func(p *state.Step) { p.AllowHedge, p.Gang = true, true }, nil, false},
		{"worker found to be slow", 0, hedged,
			func(l *leaderRig, a *scheduler.OutstandingAttempt) { a.StragglerEnd = l.now.Add(time.Hour) }, true},
		{"worker unhealthy", 0, hedged, func(l *leaderRig, _ *scheduler.OutstandingAttempt) {
			l.agents[0].Healthy = false
			l.heartbeat(0)
		}, true},
		{"has a hedge", limit + 100*time.Millisecond, hedged, func(l *leaderRig, _ *scheduler.OutstandingAttempt) {
			l.log.state().Jobs["j"].Tasks[0].Hedge = &state.OutstandingAttempt{Number: 2, Shard: "k1"}
		}, false},
		{"done", limit + 100*time.Millisecond, hedged, func(l *leaderRig, _ *scheduler.OutstandingAttempt) {
			l.log.state().Jobs["j"].Tasks[0].Done = true
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, attempt := stragglerRig(t, c.alter)
			l.now = max(l.now, attempt.OrderedAt.Add(c.after))
			if c.event != nil {
				c.event(l, attempt)
			}
			v := l.view(l.now)
			requests := hedgeRequests(v, []*scheduler.OutstandingAttempt{attempt})
			is.Equal(len(requests) == 1, c.want)
			in := placement.Input{Usage: queueUsage(v.state)}
			in.Slots, in.TotalCores = l.planner.slots.list(v, l.ends, &l.planner.rounds)
			hedges := placeHedges(v, in, requests)
			is.Equal(len(hedges) == 1, c.want)
			if c.want {
				is.Equal(hedges[0].ID, attemptID("j", 0, 2))
				is.True(hedges[0].Hedge)
				is.True(hedges[0].Shard != "k0")
			}
		})
	}
}

// A hedge has the time limit of a first attempt: none, for a step that is always restarted.
func TestHedgesHaveTheTimeLimitOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	l, attempt := stragglerRig(t, func(step *state.Step) { step.AllowHedge, step.AlwaysRestart = true, true })
	attempt.StragglerEnd = l.now.Add(time.Hour)
	requests := hedgeRequests(l.view(l.now), []*scheduler.OutstandingAttempt{attempt})
	is.Equal(len(requests), 1)
	is.Equal(requests[0].TimeLimit, unlimitedDuration)
}
