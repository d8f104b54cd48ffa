package protocol

// Health is the state of a worker, which the scheduler and the worker's agent each keep
// by equal timeouts (the paper's "Worker state transitions"; package dispatch shows the
// transitions).
type Health string

// The states of a worker.
const (
	// WorkerNew: the scheduler has not yet learned what runs there.
	WorkerNew Health = "NEW"
	// WorkerUnhealthy: known, but given no tasks.
	WorkerUnhealthy Health = "UNHEALTHY"
	// WorkerHealthy: given tasks.
	WorkerHealthy Health = "HEALTHY"
	// WorkerMustDie: lost. All that ran there has stopped or is being stopped, and the
	// instance id is never used again.
	WorkerMustDie Health = "MUST_DIE"
)
