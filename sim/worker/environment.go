package worker

import (
	"fmt"
	"math/rand"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Rules holds what applies to all invoked workers of a deployment.
type Rules struct {
	MaxLease           time.Duration // a longer lease is cut to it
	MaxStopTime        time.Duration // from a stop to the attempt's end
	GangTimeout        time.Duration // how long a member waits for its gang
	CheckpointInterval time.Duration // of work, between two checkpoints
	RestoreTime        time.Duration // before an attempt goes on from a checkpoint
	RemoteSlowdown     float64       // factor for work away from its data, or for a gang across racks
	HeartbeatInterval  time.Duration // of a worker to its agent
	QuotaExcess        float64       // by what part of its limit a tenant may exceed it
}

// Environment is what the invoked workers of a deployment share, and no daemon sees:
// the jobs that callers submitted, gangs whose members find one another wherever they
// run, and checkpoints.
type Environment struct {
	Rules
	specs       map[types.JobID]*state.Spec
	gangs       map[gangID]*gang
	checkpoints map[string]float64 // the work in ms that each stands for
}

// NewEnvironment returns the environment of a deployment without jobs.
func NewEnvironment(rules Rules) *Environment {
	return &Environment{
		Rules:       rules,
		specs:       map[types.JobID]*state.Spec{},
		gangs:       map[gangID]*gang{},
		checkpoints: map[string]float64{},
	}
}

// RegisterJob makes a job's steps known to the workers.
func (e *Environment) RegisterJob(id types.JobID, spec *state.Spec) { e.specs[id] = spec }

// stepOf returns the step of an attempt, or nil if nobody submitted such a job.
func (e *Environment) stepOf(id types.AttemptID) *state.Step {
	spec := e.specs[id.Job]
	if spec == nil {
		return nil
	}
	if i := spec.StepOf(id.TaskNumber); i >= 0 {
		return &spec.Steps[i]
	}
	return nil
}

// slowdown returns the factor by which tasks of a step take longer on a worker away
// from their data.
func (e *Environment) remoteDataSlowdown(worker *Invoked, step *state.Step) float64 {
	if step.DataRack != "" && step.DataRack != worker.Rack {
		return e.RemoteSlowdown
	}
	return 1
}

// saveCheckpoint keeps how much work is done, and returns the name of the checkpoint.
func (e *Environment) saveCheckpoint(random *rand.Rand, doneMS float64) string {
	name := fmt.Sprintf("%016x", random.Uint64())
	e.checkpoints[name] = doneMS
	return name
}

// randomUpTo draws a time from 0 to limit.
func randomUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int63n(int64(limit) + 1))
}
