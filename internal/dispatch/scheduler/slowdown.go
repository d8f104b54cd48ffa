package scheduler

import (
	"math"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// This file judges how fast called workers are while their attempts still run. Agents
// report estimates of the total duration of attempts, made from their progress. Such an
// estimate is wrong by half and more, but alike for all attempts of a stage; so it is
// compared with those of the same stage on other workers. A slow worker shows within a
// second, and so do attempts that are far behind the others. While there are no
// estimates of its attempts, a worker's slowdown fades.

const (
	// maxSlowdown bounds what one estimate adds to a worker's slowdown, and 1/maxSlowdown
	// what it takes off.
	maxSlowdown = 10
	// slowdownWeight is the weight of the latest estimate in a worker's slowdown.
	slowdownWeight = 0.2
	// slowdownHalfLife is the time in which half of a worker's slowdown is forgotten.
	slowdownHalfLife = 2 * time.Second
	// slowThreshold is the slowdown from which a worker counts as slow.
	slowThreshold = 1.4
	// stragglerRatio is how many times as long as elsewhere an attempt takes that counts
	// as a straggler.
	stragglerRatio = 2.2
	// minSamplesElsewhere is how many attempts of the stage on other workers an estimate
	// needs to be compared with.
	minSamplesElsewhere = 2
	// stageRetention is how long the durations of a stage are kept after the last one.
	stageRetention = 30 * time.Second
)

// stageSamples are the durations of a stage's attempts.
type stageSamples struct {
	list      []durationSample
	updatedAt types.MonoTime
	median    time.Duration // of all samples, or 0 to be computed anew
}

// durationSample is how long an attempt took, or takes by the latest estimate.
type durationSample struct {
	attempt  types.AttemptID
	shard    types.Shard
	duration time.Duration
}

// put takes the duration of an attempt, in place of an earlier one.
func (s *stageSamples) put(sample durationSample) {
	i := slices.IndexFunc(s.list, func(other durationSample) bool { return other.attempt == sample.attempt })
	if i < 0 {
		s.list = append(s.list, sample)
	} else {
		s.list[i].duration = sample.duration
	}
	s.median = 0
}

// medianElsewhere returns the median of the stage's durations on other shards, or false
// if there are too few.
func (s *stageSamples) medianElsewhere(shard types.Shard) (time.Duration, bool) {
	durations := s.sortedDurations(func(sample durationSample) bool { return sample.shard != shard })
	if len(durations) < minSamplesElsewhere {
		return 0, false
	}
	return durations[len(durations)/2], true
}

func (s *stageSamples) sortedDurations(include func(durationSample) bool) []time.Duration {
	var durations []time.Duration
	for _, sample := range s.list {
		if include(sample) {
			durations = append(durations, sample.duration)
		}
	}
	slices.Sort(durations)
	return durations
}

// stageDurations holds the durations of stages, by those of their attempts that were
// reported lately.
type stageDurations struct {
	byStage  map[types.StageID]*stageSamples
	prunedAt types.MonoTime
}

// record takes the duration of an attempt and returns its stage's samples.
func (sd *stageDurations) record(
	now types.MonoTime, attempt *OutstandingAttempt, duration time.Duration,
) *stageSamples {
	stage := attempt.StageID()
	samples := sd.byStage[stage]
	if samples == nil {
		samples = &stageSamples{}
		sd.byStage[stage] = samples
	}
	samples.updatedAt = now
	samples.put(durationSample{attempt.ID, attempt.Shard, duration})
	return samples
}

// prune forgets, once a while, the stages of which nothing was reported for long.
func (sd *stageDurations) prune(now types.MonoTime) {
	if now.Sub(sd.prunedAt) <= pruneInterval {
		return
	}
	sd.prunedAt = now
	for stage, samples := range sd.byStage {
		if now.Sub(samples.updatedAt) > stageRetention {
			delete(sd.byStage, stage)
		}
	}
}

// recordDuration takes how long an attempt takes by an estimate, or has taken if it has
// ended, and what that shows of its worker and of itself.
func (sc *Scheduler) recordDuration(attempt *OutstandingAttempt, duration time.Duration, hasEnded bool) {
	if attempt.Stage == StageUnknown || duration <= 0 {
		return
	}
	samples := sc.stages.record(sc.now, attempt, duration)
	elsewhere, ok := samples.medianElsewhere(attempt.Shard)
	worker := sc.Worker(attempt.Shard)
	if !ok || worker == nil {
		return
	}
	worker.slowdown.add(sc.now, float64(duration)/float64(elsewhere))
	isStraggler := !hasEnded && float64(duration) > stragglerRatio*float64(elsewhere)
	if isStraggler {
		attempt.StragglerEnd = attempt.OrderedAt.Add(duration)
	} else {
		attempt.StragglerEnd = 0
	}
}

// StageDuration returns how long the tasks of a job's step take, as far as is known: the
// median of those that have ended or have been estimated. It returns false if there is
// none.
func (sc *Scheduler) StageDuration(job types.JobID, step int) (time.Duration, bool) {
	firstTask := types.TaskID{Job: job, TaskNumber: types.TaskNumber(0, step, 0)}
	samples := sc.stages.byStage[firstTask.StageID()]
	if samples == nil {
		return 0, false
	}
	if samples.median == 0 {
		durations := samples.sortedDurations(func(durationSample) bool { return true })
		samples.median = durations[len(durations)/2]
	}
	return samples.median, true
}

// slowdown is how many times as long as elsewhere a worker's attempts take at present:
// a moving average, kept as its logarithm, that fades with time.
type slowdown struct {
	log       float64
	updatedAt types.MonoTime
}

func (s *slowdown) add(now types.MonoTime, ratio float64) {
	s.fade(now)
	ratio = min(maxSlowdown, max(1.0/maxSlowdown, ratio))
	s.log += slowdownWeight * (math.Log(ratio) - s.log)
}

func (s *slowdown) fade(now types.MonoTime) {
	s.log *= math.Exp2(-now.Sub(s.updatedAt).Seconds() / slowdownHalfLife.Seconds())
	s.updatedAt = now
}

// Slowdown returns how many times as long as elsewhere a worker's attempts take at
// present, or 0 if the worker does not count as slow.
func (sc *Scheduler) Slowdown(worker *RemoteWorker) float64 {
	worker.slowdown.fade(sc.now)
	if factor := math.Exp(worker.slowdown.log); factor > slowThreshold {
		return factor
	}
	return 0
}
