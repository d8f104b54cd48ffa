package scheduler

import (
	"maps"
	"slices"
	"time"

	"coppercourse/internal/types"
)

const (
	// minSamplesOnOtherShards is how many attempts of the stage on other shards are needed for an
	// estimate to be compared with them.
	minSamplesOnOtherShards = 2
	// stageRetention is how long the durations of a stage are kept after the latest one is
	// recorded.
	stageRetention = 30 * time.Second
)

// stageSamples are the durations of a stage's attempts.
type stageSamples struct {
	list      []durationSample
	updatedAt types.MonoTime
	median    time.Duration // of all samples, or 0 if it must be recomputed
}

// durationSample is the duration of an ended attempt, or the latest estimate for a running one.
type durationSample struct {
	attempt  types.AttemptID
	shard    types.Shard
	duration time.Duration
}

// put records the duration of an attempt and replaces an earlier one.
func (s *stageSamples) put(sample durationSample) {
	i := slices.IndexFunc(s.list, func(other durationSample) bool { return other.attempt == sample.attempt })
	if i < 0 {
		s.list = append(s.list, sample)
	} else {
		s.list[i].duration = sample.duration
	}
	s.median = 0
}

// medianOnOtherShards returns the median of the stage's durations on other shards, or false if
// there are fewer than minSamplesOnOtherShards.
func (s *stageSamples) medianOnOtherShards(shard types.Shard) (time.Duration, bool) {
	durations := s.sortedDurations(func(sample durationSample) bool { return sample.shard != shard })
	if len(durations) < minSamplesOnOtherShards {
		return 0, false
	}
	return durations[len(durations)/2], true
}

// currentMedian returns the median of all of the stage's durations so far.
func (s *stageSamples) currentMedian() time.Duration {
	if s.median == 0 {
		durations := s.sortedDurations(func(durationSample) bool { return true })
		s.median = durations[len(durations)/2]
	}
	return s.median
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

// stageDurations holds the recently reported durations of attempts by stage.
type stageDurations struct {
	byStage  map[types.StageID]*stageSamples
	latest   map[jobStep]types.StageID // stage of the latest record for each step
	prunedAt types.MonoTime
}

// jobStep is a step of a job, in any of the job's occurrences.
type jobStep struct {
	job  types.JobID
	step int
}

func newStageDurations() stageDurations {
	return stageDurations{byStage: map[types.StageID]*stageSamples{}, latest: map[jobStep]types.StageID{}}
}

// record records the duration of an attempt and returns the samples of its stage.
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
	sd.latest[jobStep{stage.Job, stage.Stage.Step()}] = stage
	samples.put(durationSample{attempt.ID, attempt.Shard, duration})
	return samples
}

// prune removes the stages for which nothing was recorded within stageRetention. It does so at most
// once in a pruneInterval.
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
	maps.DeleteFunc(sd.latest, func(_ jobStep, stage types.StageID) bool { return sd.byStage[stage] == nil })
}

// StageDuration returns the median duration of the tasks of a job's step, over ended and estimated
// attempts of the occurrence that was reported last. It returns false if there are none.
func (sc *Scheduler) StageDuration(job types.JobID, step int) (time.Duration, bool) {
	stage, ok := sc.stages.latest[jobStep{job, step}]
	if !ok {
		return 0, false
	}
	samples := sc.stages.byStage[stage]
	if samples == nil {
		return 0, false
	}
	return samples.currentMedian(), true
}
