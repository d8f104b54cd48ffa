package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The initial wait counts from when an earlier leader can last have had authority.
func TestInitialWaitCountsFromTheLastAuthority(t *testing.T) {
	is := is.New(t)
	b := newTestCluster()
	for _, ago := range []time.Duration{0, 900 * time.Millisecond, time.Hour} {
		b.calledByAgent = true
		h := NewScheduler(b.now, SchedulerConfig{
			Timeouts:          DefaultTimeouts,
			Addr:              "h",
			Term:              2,
			PriorAuthorityEnd: b.now.Add(-ago),
			Outstanding:       []OutstandingAttempt{{Attempt: newAttempt("j", 1), Shard: "s"}},
			Cluster:           b,
		})
		for at := time.Duration(0); at < DefaultTimeouts.LostAfter+time.Second; at += 10 * time.Millisecond {
			h.Tick(b.now.Add(at), time.Second)
			is.Equal(h.InInitialWait, at+ago <= DefaultTimeouts.LostAfter+DefaultTimeouts.HeartbeatInterval)
		}
	}
}
