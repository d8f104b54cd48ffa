// Package controller is the controller daemon as one state machine: it holds the
// replicated log and, while it leads, schedules.
//
// [Controller] takes one event a step and joins the parts. Each part is a type with its own
// state, in a file named after it, and the others use its methods only:
//
//   - commandLog puts commands into the Raft log and applies the committed ones to the
//     replicated state; it takes and loads snapshots.
//   - api replies to callers and operators (job_requests.go, worker_requests.go), or rejects
//     what they ask (admission.go). requestTable keeps the requests that wait: changes for
//     their commit, reads behind a readBarrier; completionRates estimates the Retry-After of
//     a full queue.
//   - leader is what only the leader does. Its scheduler.Scheduler, made anew with each
//     leadership, keeps the workers' leases and the attempts that run. endTracker keeps the
//     ends of attempts that are proposed and not yet committed, workerShapes and wallOffset
//     what the log must know of workers and clocks. placementSchedule says in which steps a
//     round of placement is made, timeLimitReview which attempts it stops.
//   - planner makes rounds of placement: readyWork ranked by jobRanking, slotCache for the
//     workers with room, coreLimits and waitTimes, placement.Place for the choice, and
//     assignmentRounds for the rounds proposed and not yet applied. attemptReview withdraws
//     attempts and hedges stragglers, preemption makes room for urgent work.
//   - durationEstimates learns how long tasks take, and reportBuffer keeps reported ends until
//     the log has them. Every controller keeps these, so that a new leader starts with them.
//   - overload decides what to shed and when to transfer leadership as the daemon's event
//     loop falls behind, and gracefulShutdown when the daemon may stop.
//   - outbox collects the messages and replies of a step.
//
// A job passes through it as follows. api.submitJob proposes its submission. Once that is
// committed, Controller.apply applies it and api replies. leader.placeWork has the planner
// choose workers and proposes the assignments; once those are committed, leader.sendOrders
// has the agents run them. Agents report the ends, which leader.proposeEnds proposes; once
// they are committed, the scheduler acknowledges them, and the state closes the job after
// the last one.
//
// Steps do no I/O and read no clock. All times of the log are on the cluster's clock
// (types.ClusterTime), all others on this process's monotonic clock.
package controller
