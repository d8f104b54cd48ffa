package wire

// Verb identifies the operation that a request asks for. The HTTP layer derives it from the request's
// path and method, and the machine selects the request's handler by it.
type Verb string

// The verbs of callers. A gateway forwards these requests to the leader.
const (
	VerbSubmitJob  Verb = "job.put"     // Arg is the job's id, Body a state.Spec
	VerbGetJob     Verb = "job.get"     // Arg is the job's id
	VerbCancelJob  Verb = "job.cancel"  // Arg is the job's id
	VerbCountQueue Verb = "queue.count" // number of jobs of a queue that have not started; Arg is the name of the queue
)

// The verbs of operators. A gateway forwards these requests to the leader, except VerbListPeers.
const (
	VerbPutTable       Verb = "table.put"  // replaces the queue table; Body is the new table
	VerbGetTable       Verb = "table.get"  // the current queue table
	VerbListQueues     Verb = "queues"     // the queues with their jobs and tasks
	VerbListWorkers    Verb = "workers"    // the workers as the leader sees them
	VerbWorkerGone     Verb = "gone"       // confirms that a lost worker will not return; Arg is its shard
	VerbStartDrain     Verb = "drain.put"  // Arg is the kind and id of the target; Body is a config.Drain
	VerbCancelDrain    Verb = "drain.drop" // Arg is the kind and id of the target
	VerbListDrains     Verb = "drains"     // the drains, with the attempts that still run on their targets
	VerbPutCalendar    Verb = "plan.put"   // Arg is the name of a maintenance calendar; Body is a state.Calendar
	VerbDeleteCalendar Verb = "plan.drop"  // Arg is the name of a maintenance calendar
	VerbListCalendars  Verb = "plans"      // the maintenance calendars
	VerbStatus         Verb = "status"     // the status of the leader
	VerbListPeers      Verb = "mates"      // the daemons known to a gateway; answered by the gateway itself
)

// The verbs of workers, answered by their agent.
const (
	VerbPoll       Verb = "poll"  // Body is a protocol.Poll
	VerbHeartbeat  Verb = "beat"  // Body is a WorkerHeartbeat
	VerbDeregister Verb = "leave" // Arg is the incarnation of the worker that deregisters
)
