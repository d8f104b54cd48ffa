// Package dispatch documents the dispatcher, which runs attempts of tasks on workers and
// collects their outcomes. It follows the Bistro worker protocol and its worker set
// consensus; names in "quotes" below are sections of that paper, and the code uses the
// paper's terms. The code is in
//
//   - protocol: messages with their codec, worker states, timeouts
//   - scheduler: the scheduler half, run by the leader of the controllers
//   - executor: the worker half, run by the agent of each worker. It includes the agent's
//     protocol with the worker itself, which either polls the agent or is called by it
//
// # What differs from the paper
//
//   - The scheduler is one of several controllers, and another may take over at any time.
//     Each of its messages carries its term, and an agent drops those of a lower one.
//   - Every permission to run attempts is a lease: the agent holds one on its own clock, and
//     its worker holds one within it, on the worker's clock. The scheduler can therefore
//     compute when everything that ran on an unreachable worker has stopped.
//   - The replicated log records which attempts were assigned and how they ended. The
//     workers remain the only source of truth for what is running, but an attempt in the log
//     must be confirmed or declared lost before its task is assigned again, and an end takes
//     effect once it is committed.
//   - A worker is reached through its agent, so an agent that restarts as a new
//     instance does not imply that the worker process has ended.
//
// # Worker states at the scheduler
//
// Silence is the time since the last healthy heartbeat arrived.
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
//	(2) the reply to getRunningTasks: "Health state". The attempts that it lists are running;
//	    all others that the log assigns to that worker have ended: "Scheduler startup and
//	    initial wait"
//	(3) a healthy heartbeat, if the worker has been healthy before or the consensus
//	    permits it: "It can be unsafe to start running tasks before enough consensus
//	    emerges"
//	(4) silence for UnhealthyAfter: "Worker state transitions"
//	(5) silence for LostAfter: "Worker state transitions". The worker's attempts end, and the
//	    instance is sent requestSuicide: "Non-core calls". In the paper only UNHEALTHY leads
//	    to MUST_DIE; lack of consensus alone never does
//	(6) the first heartbeat of another instance: "Worker state transitions". The scheduler
//	    remembers the replaced instance and sends it requestSuicide if it reappears. An
//	    instance can also be replaced in another state, if the worker itself names it as the
//	    previous one, or if it is silent and the other one has the same address
//
// # Worker states at the agent
//
// The agent tracks the same states with the same timeouts (protocol.HeartbeatPace describes
// how they scale with the number of workers), so that it stops its attempts before the
// scheduler declares them lost. Silence is the time since the agent sent the latest heartbeat
// whose reply renewed its lease. The agent accepts a RunTask only while HEALTHY.
//
//	------> NEW ---(1)---> UNHEALTHY -----(4)----> MUST_DIE --(6)--> NEW, as another instance
//	         ^               |    ^                   ^
//	         |              (2)  (3)                  |
//	         |               v    |                   |
//	         +-----(5)----- HEALTHY ------(4)---------+
//
//	(1) the reply to a heartbeat that the scheduler received after getRunningTasks
//	    succeeded: "Health state"
//	(2) a lease granted for a heartbeat not older than UnhealthyAfter: "Health state"
//	(3) silence for UnhealthyAfter: "Worker state transitions"
//	(4) silence for LostAfter, or requestSuicide in any state: "Worker state
//	    transitions", "Non-core calls"
//	(5) a message from a scheduler of a higher term, also when UNHEALTHY. The sequence
//	    number of notifyIfTasksNotRunning is reset: "Task-related state"
//	(6) all attempts have ended. The paper's worker exits instead
//
// # Attempt states at the scheduler
//
// From before runTask is sent until its end is committed, an attempt is treated as possibly
// running and its resources are reserved: "Core calls".
//
//	--(1)--> RunTask sent -(2)---> running ---(5)---> unconfirmed
//	             |                  ^    ^                 |
//	            (3)                 |    +-------(6)-------+
//	             v                  |
//	        unsure if running --(4)-+
//
//	(1) sent once, to a HEALTHY worker: "runTask interactions"
//	(2) the agent accepts it
//	(3) no reply for RetryInterval: "Tracking the 'unsure if running' state"
//	(4) notifyIfTasksNotRunning succeeds; the attempt is taken to be running until its end
//	    is reported: the same section
//	(5) another instance replaces the agent's, in any state. Attempts of an earlier leader
//	    start in this state: "Scheduler startup and initial wait"
//	(6) the reply to getRunningTasks lists it: the same section
//
// In every state the scheduler proposes the attempt's end to the log when the agent rejects
// the attempt (it never ran), when updateStatus reports "task ended" or "was not running"
// ("updateStatus interactions"), when the reply to getRunningTasks does not list it, when its
// worker is lost, or when the initial wait ends before its agent has connected. Once the end
// is committed, the scheduler deletes the attempt and acknowledges the end to the agent.
//
// # Attempt states at the agent
//
//	--(1)--> waiting ---(2)---> running ---(4)---> ended ---(5)---> deleted
//	            |                  |                 ^
//	            +--------+---------+                 |
//	                    (3)                          |
//	                     v                           |
//	                  stopping ---------(4)----------+
//
//	(1) accepted. A late RunTask, sent before the latest notifyIfTasksNotRunning, is
//	    rejected: "Interactions on the worker"
//	(2) the worker reports that the attempt is running. The agent sends it to the worker
//	    once, under a lease
//	(3) killTask, the time limit, expiry of the agent's lease, or MUST_DIE:
//	    "Non-core calls", "Worker state transitions". An attempt that was not sent to the
//	    worker ends at once
//	(4) the worker reports its end or no longer lists it, the worker's lease has expired, or
//	    a waiting attempt has passed its start deadline. The agent repeats updateStatus until
//	    the end is committed: "updateStatus interactions". The outcome "lost" is not final:
//	    the worker may still report the true end
//	(5) the end is committed and the worker no longer lists it
package dispatch
