// Package dispatch documents the dispatcher, which has workers run attempts of tasks and
// learns how they end. It follows the Bistro worker protocol and its worker set
// consensus; names in "quotes" below are sections of that paper, and the code uses the
// paper's words. The code is in
//
//   - protocol: messages with their codec, worker states, timeouts
//   - scheduler: the scheduler half, run by the leader of the controllers
//   - executor: the worker half, run by the agent beside each worker, with the agent's
//     side towards its worker, which polls the agent or is called by it
//
// # What differs from the paper
//
//   - The scheduler is one of several controllers, and another may take over at any time.
//     Each of its messages carries its term, and an agent drops those of a lower one.
//   - Every permission to run ends by itself: an agent has a lease on its own clock, and
//     its worker one within that, on the worker's clock. So the scheduler knows when
//     all that ran on an unreachable worker has stopped.
//   - Which attempts were assigned, and how they ended, is in the replicated log. The
//     workers remain the only source of what runs; but an attempt that the log has must be
//     confirmed, or counted as lost, before its task is assigned again, and an end counts
//     once committed.
//   - A worker is reached through its agent, so an agent that restarts as a new
//     instance does not mean that the worker's process has ended.
//
// # Worker states at the scheduler
//
// Silence is the time since the latest heartbeat of a healthy worker arrived.
//
//	           +-------------------(5)-----------------+
//	           |                                       v
//	--(1)--> NEW ---(2)---> UNHEALTHY -----(5)----> MUST_DIE --(6)--> NEW, another instance
//	                          |    ^                   ^
//	                         (3)  (4)                  |
//	                          v    |                   |
//	                         HEALTHY ------(5)---------+
//
//	(1) the first heartbeat of a shard: "Health state"
//	(2) the reply to getRunningTasks: "Health state". The attempts that it holds run; the
//	    others of the log on that worker have ended: "Scheduler startup and initial wait"
//	(3) a healthy heartbeat, if the worker has been healthy before or the consensus
//	    permits it: "It can be unsafe to start running tasks before enough consensus
//	    emerges"
//	(4) silence for UnhealthyAfter: "Worker state transitions"
//	(5) silence for LostAfter: "Worker state transitions". The attempts there end, and the
//	    instance is sent requestSuicide: "Non-core calls". The paper goes there by
//	    UNHEALTHY only; lack of consensus alone never leads there
//	(6) the first heartbeat of another instance: "Worker state transitions". The instance
//	    before is remembered, and sent requestSuicide if it reappears. It may also be
//	    replaced in another state if the worker itself names it as the one before, or if
//	    the other stands at its address and it has gone silent
//
// # Worker states at the agent
//
// The agent keeps the same states by the same timeouts (protocol.HeartbeatPace has how they
// depend on the number of workers), so that it stops its attempts
// before the scheduler counts them as lost. Silence is the time since it sent the latest
// heartbeat whose reply renewed its lease. The agent accepts a RunTask only while HEALTHY.
//
//	------> NEW ---(1)---> UNHEALTHY -----(4)----> MUST_DIE --(6)--> NEW, as another instance
//	         ^               |    ^                   ^
//	         |              (2)  (3)                  |
//	         |               v    |                   |
//	         +-----(5)----- HEALTHY ------(4)---------+
//
//	(1) the reply to a heartbeat that the scheduler received after getRunningTasks
//	    succeeded: "Health state"
//	(2) a lease for a heartbeat not older than UnhealthyAfter: "Health state"
//	(3) silence for UnhealthyAfter: "Worker state transitions"
//	(4) silence for LostAfter, or requestSuicide in any state: "Worker state
//	    transitions", "Non-core calls"
//	(5) a message of a scheduler of a higher term, also when UNHEALTHY. The sequence
//	    number of notifyIfTasksNotRunning begins anew: "Task-related state"
//	(6) once all attempts have ended. The paper's worker exits instead
//
// # An attempt's life at the scheduler
//
// The attempt counts as possibly running, with its resources reserved, from before
// runTask is sent until its end is committed: "Core calls".
//
//	--(1)--> order sent ---(2)---> running ---(5)---> unconfirmed
//	             |                  ^    ^                 |
//	            (3)                 |    +-------(6)-------+
//	             v                  |
//	        unsure if running --(4)-+
//
//	(1) sent once, to a HEALTHY worker: "runTask interactions"
//	(2) the agent accepts it
//	(3) no reply for RetryInterval: "Tracking the 'unsure if running' state"
//	(4) notifyIfTasksNotRunning succeeds, from which on it runs until further notice: the
//	    same section
//	(5) another instance replaces the agent's, in any phase; an attempt of an earlier
//	    leadership begins here: "Scheduler startup and initial wait"
//	(6) the reply to getRunningTasks holds it: the same section
//
// From every phase the attempt's end is proposed to the log: when the agent rejects it
// (it never ran); on updateStatus, which says "task ended" or "was not running"
// ("updateStatus interactions"); when the reply to getRunningTasks does not hold it; when
// its worker is lost; and when the initial wait ends without its agent. Once the end is
// committed, the attempt is forgotten and the end acknowledged to the agent.
//
// # An attempt's life at the agent
//
//	--(1)--> waiting ---(2)---> running ---(4)---> ended ---(5)---> forgotten
//	            |                  |                 ^
//	            +--------+---------+                 |
//	                    (3)                          |
//	                     v                           |
//	                  stopping ---------(4)----------+
//
//	(1) accepted; a late RunTask, one from before the latest notifyIfTasksNotRunning, is
//	    rejected: "Interactions on the worker"
//	(2) the worker reports that it runs. It was given the attempt once, under a lease
//	(3) killTask, the time limit, the end of the agent's lease, or MUST_DIE:
//	    "Non-core calls", "Worker state transitions". An attempt that the worker was not
//	    given ends at once
//	(4) the worker reports its end, or no longer lists it, or its lease has ended, or while
//	    waiting it got too late to start it. The end is reported by updateStatus until it
//	    is committed: "updateStatus interactions". Lost is not final: the worker may
//	    still report the true end
//	(5) the end is committed and the worker has dropped it
package dispatch
