package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// An estimate is compared with the median of its stage on other workers, if there are enough
// samples.
func TestStragglers(t *testing.T) {
	for _, test := range []struct {
		name          string
		elsewhere     []time.Duration
		duration      time.Duration
		hasEnded      bool
		wantStraggler bool
	}{
		{"too few elsewhere", []time.Duration{time.Second}, 9 * time.Second, false, false},
		{"as elsewhere", []time.Duration{1e9, 1e9, 1e9}, time.Second, false, false},
		{"slower, below the threshold", []time.Duration{1e9, 1e9, 1e9}, 2200 * time.Millisecond, false, false},
		{"slow, but not stalled", []time.Duration{1e9, 1e9, 1e9}, 9 * time.Second, false, false},
		{"far behind", []time.Duration{1e9, 1e9, 1e9}, 11 * time.Second, false, true},
		{"far behind, but ended", []time.Duration{1e9, 1e9, 1e9}, 11 * time.Second, true, false},
		{"one of the others is far behind too", []time.Duration{1e9, 1e9, 11e9}, 11 * time.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sc, _ := newTestScheduler()
			recordStageSamples(sc, test.elsewhere...)
			id := types.AttemptID{TaskID: types.TaskID{Job: "j"}, Attempt: 1}
			attempt := &OutstandingAttempt{ID: id, Shard: "s", DispatchedAt: testStart}
			sc.now = testStart.Add(3 * time.Second)
			sc.recordDuration(attempt, test.duration, test.hasEnded)
			want := types.MonoTime(0)
			if test.wantStraggler {
				want = testStart.Add(test.duration)
			}
			is.Equal(attempt.StragglerEnd, want)
		})
	}
}

// An attempt that takes longer because it is away from its data is not a straggler.
func TestRemoteAttemptIsNoStraggler(t *testing.T) {
	is := is.New(t)
	sc, _ := newTestScheduler()
	for i, shard := range []types.Shard{"t", "u", "v"} {
		id := types.AttemptID{TaskID: types.TaskID{Job: "j", TaskNumber: i}, Attempt: 1}
		sc.recordDuration(&OutstandingAttempt{ID: id, Shard: shard}, time.Second, true)
	}
	remote := &OutstandingAttempt{
		ID:          types.AttemptID{TaskID: types.TaskID{Job: "j", TaskNumber: 3}, Attempt: 1},
		Shard:       "s",
		Expectation: Expectation{LocalityFactor: 3},
	}
	sc.recordDuration(remote, 3*time.Second, false)
	is.Equal(remote.StragglerEnd, types.MonoTime(0))
	const farBehind = (stragglerRatio + 2) * time.Second
	sc.recordDuration(remote, farBehind, false)
	is.Equal(remote.StragglerEnd, types.MonoTime(0))
	remote.LocalityFactor = 1
	sc.recordDuration(remote, farBehind, false)
	is.True(remote.StragglerEnd > 0) // a straggler, since its data is local
}

// TestStragglerMustBeOverdue guards against counting the wait for a gang's other members, which the
// first estimates of a member include, as slowness of that member.
func TestStragglerMustBeOverdue(t *testing.T) {
	is := is.New(t)
	sc, _ := newTestScheduler()
	recordStageSamples(sc, time.Second, time.Second, time.Second)
	id := types.AttemptID{TaskID: types.TaskID{Job: "j"}, Attempt: 1}
	attempt := &OutstandingAttempt{ID: id, Shard: "s", DispatchedAt: testStart}
	sc.now = testStart.Add(overdueRatio * time.Second)
	sc.recordDuration(attempt, time.Minute, false)
	is.Equal(attempt.StragglerEnd, types.MonoTime(0))
	sc.now++
	sc.recordDuration(attempt, time.Minute, false)
	is.True(attempt.StragglerEnd > 0)
}
