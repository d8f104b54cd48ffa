package scheduler

import (
	"time"

	"coppercourse/internal/state"
)

// Reliability is how a worker's attempts have ended of late and how long they took
// beside what is usual for the same step of a queue.
type Reliability struct {
	FailureRate      float64
	RelativeDuration float64
}

const smoothing = 0.1

func (sc *Scheduler) recordOutcome(o *OutstandingAttempt, f state.Outcome) {
	s := sc.workers[o.Shard]
	if s == nil || f == state.OutcomeNeverRan || f == state.OutcomeStopped || f == state.OutcomePartitioned {
		return
	}
	bad := 0.0
	if f != state.OutcomeOK {
		bad = 1
	}
	s.Reliability.FailureRate += smoothing * (bad - s.Reliability.FailureRate)
	if o.BaselineName == "" || f != state.OutcomeOK {
		return
	}
	if s.Invoked {
		sc.recordDuration(o, sc.now.Sub(o.OrderedAt), true)
	}
	took := float64(sc.now.Sub(o.OrderedAt))
	if took <= 0 {
		return // it tells nothing, and nothing can be set beside it
	}
	n := sc.baselines[o.BaselineName]
	if n == nil {
		n = &baseline{duration: took}
		sc.baselines[o.BaselineName] = n
	}
	n.count++
	s.Reliability.RelativeDuration += smoothing * (took/n.duration - s.Reliability.RelativeDuration)
	n.duration += smoothing * (min(took, 4*n.duration) - n.duration)
}

// baseline is how long attempts of one step of a queue take.
type baseline struct {
	duration float64
	count    int
}

// BaselineDuration gives that, once enough of them have ended well to tell.
func (sc *Scheduler) BaselineDuration(name string) (time.Duration, bool) {
	n := sc.baselines[name]
	if n == nil || n.count < 10 {
		return 0, false
	}
	return time.Duration(n.duration), true
}
