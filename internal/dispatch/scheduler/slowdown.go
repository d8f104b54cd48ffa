// How fast workers that are called get on. An agent is told how far each attempt is,
// and tells the leader how long it will take in all, when that is known and when it
// changes. The leader sets it beside the other tasks of the same step elsewhere:
// estimates are wrong by half and more, but alike for all of a step. So a slow
// worker shows within a second, and attempts that are far behind their like. With
// nothing to tell by, a worker is slowly trusted again.
package scheduler

import (
	"math"
	"slices"
	"time"

	"coppercourse/internal/types"
)

const (
	maxSlowdown      = 10               // bound of one attempt's part in a worker's slowdown, and its inverse
	slowdownHalfLife = 2 * time.Second  // half of a bad name is forgotten in so long
	slowThreshold    = 1.4              // a worker that is slower than this is known as slow
	stragglerRatio   = 2.2              // an attempt so far behind its like is late
	minPeers         = 2                // others of its step that it is set beside, at least
	stageRetention   = 30 * time.Second // how long a step's times are remembered
)

// stageKey is one step of one job at one time.
type stageKey struct {
	job   types.JobID
	stage types.Stage
}

// stageTimes are what the attempts of a stage take, and where.
type stageTimes struct {
	samples   []durationSample
	updatedAt types.MonoTime
	median    time.Duration // of all samples, or 0 where it is to be worked out anew
}

type durationSample struct {
	attempt  types.AttemptID
	shard    types.Shard
	duration time.Duration
}

// medianElsewhere is the median of what the stage takes on other workers.
func (s *stageTimes) medianElsewhere(shard types.Shard) (time.Duration, bool) {
	list := s.sortedDurations(func(x durationSample) bool { return x.shard != shard })
	if len(list) < minPeers {
		return 0, false
	}
	return list[len(list)/2], true
}

func (s *stageTimes) sortedDurations(only func(durationSample) bool) (list []time.Duration) {
	for _, x := range s.samples {
		if only(x) {
			list = append(list, x.duration)
		}
	}
	slices.Sort(list)
	return
}

// recordDuration takes what an attempt takes, or has taken, and what that tells of its
// worker and of itself.
func (sc *Scheduler) recordDuration(o *OutstandingAttempt, d time.Duration, over bool) {
	if o.Stage < 0 || d <= 0 {
		return
	}
	k := stageKey{o.Attempt.Job, o.Stage}
	t := sc.stageDurations[k]
	if t == nil {
		t = &stageTimes{}
		sc.stageDurations[k] = t
	}
	t.updatedAt = sc.now
	i := slices.IndexFunc(t.samples, func(x durationSample) bool { return x.attempt == o.Attempt })
	if i < 0 {
		t.samples, i = append(t.samples, durationSample{attempt: o.Attempt, shard: o.Shard}), len(t.samples)
	}
	t.samples[i].duration, t.median = d, 0
	usual, ok := t.medianElsewhere(o.Shard)
	s := sc.workers[o.Shard]
	if !ok || s == nil {
		return
	}
	s.decaySlowdown(sc.now)
	s.slowdownLog += 0.2 * (math.Log(min(maxSlowdown, max(1.0/maxSlowdown, float64(d)/float64(usual)))) - s.slowdownLog)
	o.StragglerEnd = 0
	if end := o.OrderedAt.Add(d); !over && float64(d) > stragglerRatio*float64(usual) {
		o.StragglerEnd = end
	}
}

// StageDuration is what the tasks of a step take, as far as is known: the median of those
// that have ended or told how far they are.
func (sc *Scheduler) StageDuration(job types.JobID, step int) (time.Duration, bool) {
	t := sc.stageDurations[stageKey{job, types.StageOf(types.TaskNumber(0, step, 0))}]
	if t == nil {
		return 0, false
	}
	if t.median == 0 {
		list := t.sortedDurations(func(durationSample) bool { return true })
		t.median = list[len(list)/2]
	}
	return t.median, true
}

// decaySlowdown forgets a bad name with time.
func (r *RemoteWorker) decaySlowdown(now types.MonoTime) {
	r.slowdownLog *= math.Exp2(-now.Sub(r.slowdownAt).Seconds() / slowdownHalfLife.Seconds())
	r.slowdownAt = now
}

// Slowdown is how many times the usual a worker's attempts take now; 0 is as usual.
func (sc *Scheduler) Slowdown(s *RemoteWorker) float64 {
	s.decaySlowdown(sc.now)
	if x := math.Exp(s.slowdownLog); x > slowThreshold {
		return x
	}
	return 0
}

// pruneStages forgets stages of which nothing was heard for long.
func (sc *Scheduler) pruneStages() {
	for k, t := range sc.stageDurations {
		if sc.now.Sub(t.updatedAt) > stageRetention {
			delete(sc.stageDurations, k)
		}
	}
}
