package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func at(t time.Duration) types.MonoTime { return types.MonoTime(t) }

// A request is retried soon while there is a leader, and later the longer there has been
// none.
func TestRetryAfterGrowsWithTheLossOfTheLeader(t *testing.T) {
	lostAt := time.Minute
	for _, c := range []struct {
		name       string
		lostFor    time.Duration
		retryAfter time.Duration
	}{
		{"just lost", 0, time.Second},
		{"an election", 4 * time.Second, 2 * time.Second},
		{"a partition", 40 * time.Second, 11 * time.Second},
		{"a long partition", time.Hour, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var tracker leaderTracker
			tracker.observe(at(lostAt-time.Second), "a")
			is.Equal(tracker.retryAfter(at(lostAt)), time.Second) // a leader is known
			tracker.observe(at(lostAt), "")
			is.Equal(tracker.lostFor(at(lostAt+c.lostFor)), c.lostFor)
			is.Equal(tracker.retryAfter(at(lostAt+c.lostFor)), c.retryAfter)
		})
	}
}

func TestLeaderTrackerRemembersThePreviousLeader(t *testing.T) {
	is := is.New(t)
	tracker := leaderTracker{lostAt: at(time.Second)}
	is.Equal(tracker.observe(at(2*time.Second), ""), types.Addr(""))
	is.Equal(tracker.lostFor(at(3*time.Second)), 2*time.Second) // since the start
	is.Equal(tracker.observe(at(3*time.Second), "a"), types.Addr(""))
	is.Equal(tracker.lostFor(at(4*time.Second)), time.Duration(0))
	is.Equal(tracker.observe(at(4*time.Second), ""), types.Addr("a"))
	is.Equal(tracker.observe(at(5*time.Second), "b"), types.Addr("a")) // the last one that was known
	is.Equal(tracker.observe(at(6*time.Second), "b"), types.Addr("b"))
}

func TestLeaderIsSilentOnceItLeavesRequestsUnanswered(t *testing.T) {
	is := is.New(t)
	l := &leaderTracker{}
	l.forwarded(at(time.Second), "a")
	is.True(!l.isSilent(at(time.Second+leaderSilentAfter), "a"))
	is.True(l.isSilent(at(2*time.Second), "a"))
	is.True(!l.isSilent(at(2*time.Second), "b")) // another leader is not to blame
	l.forwarded(at(2*time.Second), "a")
	is.True(l.isSilent(at(2*time.Second), "a")) // still since the first request
	l.heard(at(2*time.Second), "b")
	is.True(l.isSilent(at(2*time.Second), "a"))
	l.heard(at(2*time.Second), "a")
	is.True(!l.isSilent(at(time.Minute), "a")) // nothing is awaited
}
