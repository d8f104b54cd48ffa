package deployment

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// invokedService is the service of all invoked workers.
const invokedService = "work"

// Stream is a series of jobs for invoked workers at a mean rate.
type Stream struct {
	Queue        types.QueueName
	MeanInterval time.Duration
	NewSpec      func(random *rand.Rand, now int64) state.Spec
	CancelRate   float64       // fraction of jobs that are cancelled
	CancelWithin time.Duration // approximate mean time from acceptance to cancellation
}

// JobShape describes jobs of one kind. Sizes are means; rates are fractions of the jobs unless noted.
type JobShape struct {
	Queue           types.QueueName
	MeanInterval    time.Duration
	Steps           float64
	Tasks           float64 // per step
	TaskMS          float64
	Cores           float64 // of a task
	MemoryMB        float64 // of a task
	Variation       float64 // maximum relative deviation of task durations within a step
	EstimateError   float64 // maximum relative error of estimates
	FailureRate     float64 // fraction of attempts that fail
	AlwaysFailsRate float64 // jobs with failure of every attempt
	RackDataRate    float64 // jobs with their data on one rack
	HedgedRate      float64 // jobs that allow hedging
	CheckpointRate  float64 // jobs that save checkpoints
	SpreadRate      float64 // jobs with a limit of tasks per worker
	ScheduledRate   float64 // jobs with a schedule of several runs
	GangRate        float64 // fraction of steps that are joint gangs
	LabelRate       float64 // jobs that require a label
	CancelRate      float64 // jobs that are cancelled

	Priority       int
	MaxFailures    int
	TargetFactor   float64 // ratio of a job's target time to its work
	TargetMarginMS int
}

// logNormal draws from a log-normal distribution with the given mean, truncated at limit.
func logNormal(random *rand.Rand, mean, sigma, limit float64) float64 {
	return min(limit, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// jobTraits holds the properties shared by all steps of a job.
type jobTraits struct {
	rack                                        types.Rack
	rackData, hedged, checkpoint, spread, label bool
	alwaysFails                                 bool
}

func (s JobShape) drawTraits(random *rand.Rand) jobTraits {
	drawBool := func(rate float64) bool { return random.Float64() < rate }
	t := jobTraits{}
	t.rackData = drawBool(s.RackDataRate)
	t.hedged = drawBool(s.HedgedRate)
	t.checkpoint = drawBool(s.CheckpointRate)
	t.spread = drawBool(s.SpreadRate)
	t.label = drawBool(s.LabelRate)
	t.rack = types.Rack(fmt.Sprintf("r%d", 1+random.Intn(4)))
	t.alwaysFails = drawBool(s.AlwaysFailsRate)
	return t
}

// NewSpec draws a job. The parameter largest is the number of cores of the largest task that any
// worker can run.
func (s JobShape) NewSpec(random *rand.Rand, now int64, largest float64) state.Spec {
	spec := state.Spec{Queue: s.Queue}
	traits := s.drawTraits(random)
	steps := max(1, int(logNormal(random, s.Steps+0.3, 0.4, 2.5*s.Steps)))
	for i := range steps {
		step := s.drawStep(random, traits, largest)
		step.Name = fmt.Sprint("s", i)
		if i > 0 {
			step.DependsOn = []string{spec.Steps[random.Intn(i)].Name}
		}
		if random.Float64() < s.GangRate {
			step.Gang, step.Joint, step.AllowHedge = true, true, false
			step.PreferOneRack = random.Float64() < 0.5
			step.Tasks = min(step.Tasks, 2+random.Intn(5))
		}
		spec.Steps = append(spec.Steps, step)
	}
	if random.Float64() < s.ScheduledRate {
		nowMillis := (history.WallClockStart + now) / int64(time.Millisecond)
		spec.Schedule = &state.Schedule{
			FirstUnixMillis: nowMillis + int64(random.Intn(3000)),
			IntervalMillis:  1000 + int64(random.Intn(2000)),
			Count:           2 + random.Intn(4),
		}
	}
	return spec
}

// drawStep draws a step without dependencies that is not a gang.
func (s JobShape) drawStep(random *rand.Rand, traits jobTraits, largest float64) state.Step {
	work := worker.Work{
		DurationMS:  int(logNormal(random, s.TaskMS, 0.5, 2.5*s.TaskMS)),
		FailureRate: s.FailureRate,
		Variation:   s.Variation,
	}
	if traits.alwaysFails {
		work.FailureRate = 1
	}
	step := state.Step{
		Kind:            invokedService,
		Tasks:           max(1, int(logNormal(random, s.Tasks, 0.8, 6*s.Tasks))),
		AllowHedge:      traits.hedged,
		KeepsCheckpoint: traits.checkpoint,
		Work:            work.Encode(),
	}
	step.Resources.Cores = types.MilliCores(float64(types.Core) * logNormal(random, s.Cores, 0.45,
		min(largest, 3*s.Cores)))
	step.Resources.MemoryMB = int(logNormal(random, s.MemoryMB, 0.6, 3*s.MemoryMB))
	step.EstimateMillis = int(float64(work.DurationMS) * (1 + s.EstimateError*(2*random.Float64()-1)))
	if traits.rackData {
		step.DataRack = traits.rack
	}
	if traits.label {
		step.Labels = []string{"b"}
	}
	if traits.spread {
		step.MaxPerWorker = 1 + random.Intn(2)
	}
	return step
}

// queue returns the queue of these jobs in the initial table.
func (s JobShape) queue() config.Queue {
	return config.Queue{
		Name:                    s.Queue,
		Weight:                  1,
		MaxRunning:              10_000,
		MaxUnfinished:           5000,
		MaxFailures:             s.MaxFailures,
		TaskTimeoutMillis:       120_000,
		UnresolvedTimeoutMillis: 5000,
		PartitionTimeoutMillis:  5000,
		MaxPreemptions:          3,
		CanPreempt:              true,
		Service:                 invokedService,
		Priority:                s.Priority,
		TargetFactor:            s.TargetFactor,
		TargetMarginMillis:      s.TargetMarginMS,
		InitialBackoffMillis:    100,
	}
}

// stream returns a stream of these jobs. The parameter largest has the meaning of that of NewSpec.
func (s JobShape) stream(largest float64) Stream {
	return Stream{
		Queue:        s.Queue,
		MeanInterval: s.MeanInterval,
		NewSpec:      func(random *rand.Rand, now int64) state.Spec { return s.NewSpec(random, now, largest) },
		CancelRate:   s.CancelRate,
		CancelWithin: 4 * time.Second,
	}
}

// serviceStream returns a stream of jobs with always-restart tasks, which run until the job is
// cancelled.
func serviceStream(queue types.QueueName) Stream {
	newSpec := func(random *rand.Rand, _ int64) state.Spec {
		return state.Spec{Queue: queue, Steps: []state.Step{{
			Name:          "serve",
			Kind:          invokedService,
			Resources:     resources(1, 512),
			Tasks:         1 + random.Intn(3),
			AlwaysRestart: true,
			Work:          worker.Work{DurationMS: 100}.Encode(),
		}}}
	}
	return Stream{
		Queue:        queue,
		MeanInterval: 9 * time.Second,
		NewSpec:      newSpec,
		CancelRate:   1,
		CancelWithin: 12 * time.Second,
	}
}
