package experiment

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// Worth of a job. A job that completes within its latency target earns all of its worth; one that
// completes within lateFactor times the target earns the fraction lateWorth; a later one earns nothing.
const (
	lateFactor  = 3
	lateWorth   = 0.2
	baseWorth   = 0.3 // fraction of the mean job's worth that is independent of the job's work
	maxJobWorth = 4   // upper bound of a job's worth, in multiples of the worth of its queue's mean job

	windowLength     = 2 * time.Second // jobs submitted in the same window are evaluated together
	worstWindowCount = 2               // number of lowest windows that are averaged

	overallWeight, worstWindowsWeight, worstQueueWeight = 0.4, 0.4, 0.2
)

// Measure holds the benefit and the cost of one run.
type Measure struct {
	Worth        float64 `json:"worth"`   // weighted sum of the three ratios below
	Overall      float64 `json:"day"`     // worth earned / attainable worth, over all jobs
	WorstWindows float64 `json:"windows"` // mean ratio of the worst windows
	WorstQueue   float64 `json:"class"`   // ratio of the worst queue

	Renewals       int     `json:"renewals"`         // lease renewal calls to workers
	WastedSeconds  float64 `json:"wasted_seconds"`   // core-seconds of attempts cut short
	AttemptsPerJob float64 `json:"attempts_per_job"` // attempts started by workers, per submitted job
	Rejections     int     `json:"rejections"`       // responses that reject a submission
	Unresolved     int     `json:"unresolved"`       // responses that leave the outcome of a submission unknown
	Violations     int     `json:"broken_rules"`

	Timeline []float64 `json:"timeline"` // worth earned / attainable worth, by window of submission
	Losses   []Loss    `json:"losses"`   // sum to 1 - Overall
}

// jobRecord is the state of one job according to a history.
type jobRecord struct {
	spec        *state.Spec
	submittedAt int64
	accepted    bool
	acceptedAt  int64
	runs        map[int]*taskRun      // by task number
	unfinished  map[types.TaskID]bool // tasks that have not succeeded
	endedAt     int64                 // when the last task succeeded, once unfinished is empty
}

// measure computes the metrics of a history. queues are the queues of the deployment.
func measure(h *history.History, queues []config.Queue) Measure {
	var m Measure
	jobs, started := map[types.JobID]*jobRecord{}, map[types.AttemptID]history.Event{}
	racks, attempts := map[types.Shard]types.Rack{}, 0
	for _, event := range h.Events {
		switch event.Kind {
		case history.JobSubmitted:
			jobs[event.Job] = newJobRecord(event)
		case history.JobAccepted:
			jobs[event.Job].recordAccepted(event.At)
		case history.WorkerStaying:
			racks[event.Shard] = event.Worker.Rack
		case history.AttemptStarted:
			attempts++
			started[event.Attempt] = event
		case history.AttemptEnded:
			job := jobs[event.Attempt.Job]
			if job == nil {
				continue
			}
			job.recordAttemptEnd(started[event.Attempt], event)
			m.WastedSeconds += wastedCoreSeconds(job, started[event.Attempt], event)
		case history.SubmissionRejected:
			m.Rejections++
		case history.SubmissionIndeterminate:
			m.Unresolved++
		}
	}
	m.AttemptsPerJob = float64(attempts) / float64(max(1, len(jobs)))
	m.addWorth(jobs, queues, racks)
	return m
}

func newJobRecord(event history.Event) *jobRecord {
	job := &jobRecord{
		spec:        event.Spec,
		submittedAt: event.At,
		runs:        map[int]*taskRun{},
		unfinished:  map[types.TaskID]bool{},
	}
	for step := range event.Spec.Steps {
		for i := range requiredTaskEnds(&event.Spec.Steps[step]) {
			job.unfinished[types.TaskID{Job: event.Job, TaskNumber: types.TaskNumber(0, step, i)}] = true
		}
	}
	return job
}

// recordAccepted records the first response to the caller that accepts the job.
func (j *jobRecord) recordAccepted(at int64) {
	if !j.accepted {
		j.accepted, j.acceptedAt = true, at
	}
}

// requiredTaskEnds returns the number of tasks of a step that must succeed. For a joint step it is 1,
// since one end covers all tasks.
func requiredTaskEnds(step *state.Step) int {
	if step.Joint {
		return 1
	}
	return step.Tasks
}

// recordAttemptEnd records the end of an attempt.
func (j *jobRecord) recordAttemptEnd(start, event history.Event) {
	task := event.Attempt.TaskID
	if step := j.spec.StepOf(task.TaskNumber); step >= 0 && j.spec.Steps[step].Joint {
		task.TaskNumber = types.TaskNumber(0, step, 0)
	}
	j.recordRun(start, event, task.TaskNumber)
	if event.EndReason != wire.EndSucceeded || len(j.unfinished) == 0 {
		return
	}
	delete(j.unfinished, task)
	if len(j.unfinished) == 0 {
		j.endedAt = event.At
	}
}

// wastedCoreSeconds returns the core-seconds of an attempt that neither succeeded nor failed by itself, such
// as a lost or a killed one. Attempts of steps that always restart are not counted.
func wastedCoreSeconds(job *jobRecord, start, end history.Event) float64 {
	isOwnEnd := end.EndReason == wire.EndSucceeded || end.EndReason == wire.EndFailed
	step := job.spec.StepOf(end.Attempt.TaskNumber)
	if isOwnEnd || start.Kind == "" || step < 0 || job.spec.Steps[step].AlwaysRestart {
		return 0
	}
	cores := float64(job.spec.Steps[step].Resources.Cores) / float64(types.Core)
	return cores * time.Duration(end.At-start.At).Seconds()
}

// tally sums earned and attainable worth.
type tally struct{ earned, attainable float64 }

func (t *tally) ratio() float64 {
	if t.attainable == 0 {
		return 1
	}
	return t.earned / t.attainable
}

// addWorth sets the ratios, the timeline and the losses of a measure from its jobs.
func (m *Measure) addWorth(
	jobs map[types.JobID]*jobRecord, queues []config.Queue, racks map[types.Shard]types.Rack,
) {
	lost := losses{}
	meanWork := meanWorkByQueue(jobs)
	var overall tally
	byWindow, byQueue := map[int]*tally{}, map[types.QueueName]*tally{}
	for _, job := range jobs {
		i := slices.IndexFunc(queues, func(q config.Queue) bool { return q.Name == job.spec.Queue })
		if i < 0 || !job.hasWorth() {
			continue
		}
		attainable := min(maxJobWorth, baseWorth+(1-baseWorth)*job.work()/meanWork[job.spec.Queue])
		earned := attainable * job.earnedFraction(queues[i])
		lost.add(job, attainable-earned, racks)
		window := int(time.Duration(job.submittedAt) / windowLength)
		for _, t := range []*tally{&overall, tallyOf(byWindow, window), tallyOf(byQueue, job.spec.Queue)} {
			t.earned, t.attainable = t.earned+earned, t.attainable+attainable
		}
	}
	m.Losses = lost.sorted(overall.attainable)
	m.Overall, m.WorstQueue = overall.ratio(), 1
	for _, ofQueue := range byQueue {
		m.WorstQueue = min(m.WorstQueue, ofQueue.ratio())
	}
	for _, window := range slices.Sorted(maps.Keys(byWindow)) {
		m.Timeline = append(m.Timeline, byWindow[window].ratio())
	}
	m.WorstWindows = meanOfLowest(m.Timeline, worstWindowCount)
	m.Worth = overallWeight*m.Overall + worstWindowsWeight*m.WorstWindows + worstQueueWeight*m.WorstQueue
}

func tallyOf[K comparable](tallies map[K]*tally, key K) *tally {
	if tallies[key] == nil {
		tallies[key] = &tally{}
	}
	return tallies[key]
}

// meanOfLowest returns the mean of the count lowest values.
func meanOfLowest(values []float64, count int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	sorted = sorted[:min(count, len(sorted))]
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	return sum / float64(max(1, len(sorted)))
}

func meanWorkByQueue(jobs map[types.JobID]*jobRecord) map[types.QueueName]float64 {
	sum, count := map[types.QueueName]float64{}, map[types.QueueName]float64{}
	for _, job := range jobs {
		if job.hasWorth() {
			sum[job.spec.Queue] += job.work()
			count[job.spec.Queue]++
		}
	}
	for queue := range sum {
		sum[queue] /= count[queue]
	}
	return sum
}

// hasWorth reports whether the job counts toward the worth. Jobs that always fail and jobs that run
// until they are cancelled do not, since they cannot complete.
func (j *jobRecord) hasWorth() bool {
	return !slices.ContainsFunc(j.spec.Steps, func(step state.Step) bool {
		return step.AlwaysRestart || workOf(&step).FailureRate >= 1
	})
}

// work returns the nominal core-seconds of a job.
func (j *jobRecord) work() float64 {
	work := 0.0
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		cores := float64(step.Resources.Cores) / float64(types.Core)
		work += float64(step.Tasks) * cores * float64(workOf(step).DurationMS) / 1000
	}
	return work
}

// earnedFraction returns the fraction of its worth that a job has earned.
func (j *jobRecord) earnedFraction(queue config.Queue) float64 {
	if len(j.unfinished) > 0 {
		return 0
	}
	durations := make([]time.Duration, len(j.spec.Steps))
	for i := range durations {
		work := workOf(&j.spec.Steps[i])
		durations[i] = time.Duration(float64(work.DurationMS) * (1 + work.Variation) * float64(time.Millisecond))
	}
	chain := slices.Max(j.spec.StepGraph().LongestPaths(durations))
	target := time.Duration(queue.TargetFactor*float64(chain)) +
		time.Duration(queue.TargetMarginMillis)*time.Millisecond
	switch took := time.Duration(j.endedAt - j.submittedAt); {
	case took <= target:
		return 1
	case took <= lateFactor*target:
		return lateWorth
	}
	return 0
}

// workOf decodes the input of a step's tasks. It returns zero work, without a duration, if the input is invalid.
func workOf(step *state.Step) worker.Work {
	var work worker.Work
	if json.Unmarshal(step.Work, &work) != nil {
		return worker.Work{}
	}
	return work
}
