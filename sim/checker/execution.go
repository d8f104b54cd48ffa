package checker

import (
	"encoding/json"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// interval is the time from one moment to another, in nanoseconds since the run began.
type interval struct{ from, to int64 }

// execution is one attempt as it ran on a worker. Its times are 0 for what never
// happened, but for endedAt.
type execution struct {
	attempt        types.AttemptID
	process        string // of the worker
	shard          types.Shard
	startedAt      int64
	endedAt        int64 // the end of the history if the attempt never ended
	outcome        state.Outcome
	acknowledgedAt int64 // when a polling worker received the end's acknowledgement
	reports        []endReport
	workerDiedAt   int64      // when the worker's process ended
	pausedDuring   []interval // when the worker was suspended

	// Of invoked workers.
	endReason     wire.EndReason
	checkpoint    string // from which it started
	work          json.RawMessage
	deliveredLate bool
	settledAt     int64 // when its end was acknowledged, if that was before the lease ended
}

// endReport is that a daemon's process received the end of an attempt.
type endReport struct {
	process string
	at      int64
}

// runs reports whether the attempt really runs at some time between two. A suspended
// worker runs nothing, and stops what has expired before it goes on.
func (e *execution) runsDuring(from, to int64) bool {
	begin, end := max(e.startedAt, from), min(e.endedAt, to)
	for _, suspended := range e.pausedDuring {
		if begin >= suspended.from && begin < suspended.to {
			begin = suspended.to
		}
		if end > suspended.from && end <= suspended.to {
			end = suspended.from
		}
	}
	return begin < end
}

// stepOf returns the step of an execution whose job was submitted.
func (c *checker) stepOf(e *execution) state.Step {
	spec := c.jobs[e.attempt.Job].spec
	return spec.Steps[spec.StepOf(e.attempt.TaskNumber)]
}
