package protocol

// Health is the state of a worker. The scheduler and the worker's agent each track it with
// the same timeouts (the paper's "Worker state transitions"; package dispatch shows the
// transitions).
type Health string

// The states of a worker.
const (
	// WorkerNew: the scheduler has not yet received the worker's running tasks.
	WorkerNew Health = "NEW"
	// WorkerUnhealthy: the running tasks are known, but no tasks are assigned.
	WorkerUnhealthy Health = "UNHEALTHY"
	// WorkerHealthy: tasks are assigned.
	WorkerHealthy Health = "HEALTHY"
	// WorkerMustDie: lost. All its attempts have stopped or are being stopped, and the
	// instance id is never reused.
	WorkerMustDie Health = "MUST_DIE"
)
