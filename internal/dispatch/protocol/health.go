package protocol

// Soundness is the paper's worker state.
type Health string

const (
	WorkerNew       Health = "NEW"
	WorkerUnhealthy Health = "UNHEALTHY"
	WorkerHealthy   Health = "HEALTHY"
	WorkerMustDie   Health = "MUST_DIE"
)
