// Package controller implements the controller daemon as a deterministic state machine. Every
// controller replicates the command log through Raft; the leader also schedules work.
//
// [Controller] handles one event per step and dispatches it to its components. Each component
// is a type with its own state, in a file named after it, and is used only through its methods:
//
//   - commandLog appends commands to the Raft log, applies the committed ones to the replicated
//     state, compacts the log and loads snapshots.
//   - api serves requests of callers and operators (job_requests.go, worker_requests.go) and
//     rejects those that are not admitted (admission.go). requestTable tracks pending requests:
//     changes await their commit, reads await a readBarrier. completionRates estimates the
//     Retry-After of a full queue.
//   - leader runs what only the leader does. Its scheduler.Scheduler, created for each
//     leadership, tracks worker leases and running attempts. endTracker tracks attempt ends that
//     are proposed and not yet committed. workerShapes and wallOffset propose changes of worker
//     shapes and clock offsets. placementSchedule decides which steps run a placement round, and
//     timeLimitReview finds the attempts to stop.
//   - planner plans placement rounds: jobRanking ranks readyWork, slotCache lists the workers
//     with free capacity, coreLimits and waitTimes adjust the input, placement.Place chooses the
//     workers, and assignmentRounds tracks the rounds in flight. attemptReview withdraws attempts
//     and hedges stragglers; preemption frees capacity for urgent work.
//   - durationEstimates estimates task durations, and reportBuffer retains reported ends until
//     they are committed. Every controller maintains both, so that a new leader has them at once.
//   - overload decides what to shed and when to transfer leadership if the daemon's event loop
//     falls behind; gracefulShutdown decides when the daemon may stop.
//   - outbox collects the messages and replies of a step.
//
// The life of a job: api.submitJob proposes the submission. Once that is committed,
// Controller.apply applies it and api replies. leader.placeWork has the planner choose workers
// and proposes the assignments; once those are committed, leader.sendOrders orders the agents to
// run them. Agents report attempt ends, which leader.proposeEnds proposes; once those are
// committed, the scheduler acknowledges them to the agents, and the state closes the job after
// its last end.
//
// Steps do no I/O and read no clock. Times in the log are on the cluster clock
// (types.ClusterTime); all other times are on the monotonic clock of this process.
package controller
