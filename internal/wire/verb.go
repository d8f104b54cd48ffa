package wire

// Verb says what a request asks for. The shell derives it from a request's path and method,
// and the machine that handles the request finds its handler by it.
type Verb string

// The verbs of callers. A gateway forwards them to the leader.
const (
	VerbSubmitJob  Verb = "job.put"     // Arg is the job's id, Body a state.Spec
	VerbGetJob     Verb = "job.get"     // Arg is the job's id
	VerbCancelJob  Verb = "job.cancel"  // Arg is the job's id
	VerbCountQueue Verb = "queue.count" // how many jobs of a queue have not started; Arg is its name
)

// The verbs of operators. A gateway forwards them to the leader, except VerbListPeers.
const (
	VerbPutTable       Verb = "table.put"  // replaces the queue table; Body is the new one
	VerbGetTable       Verb = "table.get"  // the queue table in force
	VerbListQueues     Verb = "queues"     // the queues with their jobs and tasks
	VerbListWorkers    Verb = "workers"    // the workers as the leader sees them
	VerbWorkerGone     Verb = "gone"       // states that a lost worker never comes back; Arg is its shard
	VerbStartDrain     Verb = "drain.put"  // Arg is what to drain, a kind and an id; Body is a config.Drain
	VerbCancelDrain    Verb = "drain.drop" // Arg is what was drained, a kind and an id
	VerbListDrains     Verb = "drains"     // what is drained, and what still runs there
	VerbPutCalendar    Verb = "plan.put"   // Arg names a maintenance calendar; Body is a state.Calendar
	VerbDeleteCalendar Verb = "plan.drop"  // Arg names a maintenance calendar
	VerbListCalendars  Verb = "plans"      // the maintenance calendars
	VerbStatus         Verb = "status"     // the status of the leader
	VerbListPeers      Verb = "mates"      // the daemons that a gateway knows; it answers itself
)

// The verbs of workers, which their agent answers.
const (
	VerbPoll       Verb = "poll"  // Body is a protocol.Poll
	VerbHeartbeat  Verb = "beat"  // Body is a WorkerHeartbeat
	VerbDeregister Verb = "leave" // Arg is the incarnation of the worker that leaves
)
