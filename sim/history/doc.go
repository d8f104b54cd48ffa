// Package history records what stand-in workers, callers and operators saw in a run, in
// true time. Nothing in a history is a daemon's opinion of itself, so that the checker
// can judge the daemons by it.
//
// history.go has the events, worker_spec.go the description of a worker that some of
// them carry, summary.go rates and printed overviews.
package history
