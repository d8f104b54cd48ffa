// Package history records the operations and results that simulated workers, callers and
// operators observed in a run, with true timestamps. A history contains only such external
// observations, no state that a daemon reports of itself, so that the checker can judge the
// daemons by it.
//
// history.go defines the events, worker_spec.go the worker description that some events
// carry, and summary.go computes rates and printable summaries.
package history
