package controller

import (
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/policy"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// maxDataRackWait bounds how long a task waits for a worker in the rack of its data while other
// workers could run it.
const maxDataRackWait = 1500 * time.Millisecond

// locality models the cost of running a task away from its data.
type locality struct {
	remoteSlowdown float64 // duration factor of a task away from its data; 0 and 1 mean no slowdown
	policy         policy.Policy
}

func newLocality(options Options) locality {
	return locality{remoteSlowdown: options.RemoteSlowdown, policy: options.Policy}
}

// factor returns the duration of a task of a step on a worker, relative to its duration in the
// rack of its data.
func (l locality) factor(s *state.State, step *state.Step, shard types.Shard) float64 {
	shape, known := s.WorkerShapes[shard]
	if step.DataRack == "" || !known || shape.Rack == step.DataRack || l.policy.NoLocalityFactor {
		return 1
	}
	return max(1, l.remoteSlowdown)
}

// expectation returns the expectation that the duration of an attempt of a stage on a worker is
// compared with.
func (l locality) expectation(
	s *state.State, j *state.Job, stage types.Stage, shard types.Shard,
) scheduler.Expectation {
	return scheduler.Expectation{
		BaselineName:   baselineName(j, stage),
		LocalityFactor: l.factor(s, &j.Spec.Steps[stage.Step()], shard),
	}
}

// dataRackWait returns how long a task of a step waits for a worker in the rack of its data before
// it may run elsewhere (delay scheduling): the time by which it would run longer elsewhere. usual
// is its duration in the rack of its data.
func (l locality) dataRackWait(step *state.Step, usual time.Duration) time.Duration {
	if step.DataRack == "" || step.AlwaysRestart || l.remoteSlowdown <= 1 || l.policy.NoDataRackWait {
		return 0
	}
	return time.Duration(min(float64(maxDataRackWait), (l.remoteSlowdown-1)*float64(usual)))
}
