package wire

// Verb names what a client's request asks for.
type Verb string

// The verbs of callers and operators, which the leading controller serves.
const (
	VerbSubmitJob      Verb = "job.put"
	VerbGetJob         Verb = "job.get"
	VerbCancelJob      Verb = "job.cancel"
	VerbPutTable       Verb = "table.put"
	VerbGetTable       Verb = "table.get"
	VerbListQueues     Verb = "queues"
	VerbCountQueue     Verb = "queue.count"
	VerbListWorkers    Verb = "workers"
	VerbWorkerGone     Verb = "gone" // a lost worker is declared gone for good
	VerbStartDrain     Verb = "drain.put"
	VerbCancelDrain    Verb = "drain.drop"
	VerbListDrains     Verb = "drains"
	VerbPutCalendar    Verb = "plan.put"
	VerbDeleteCalendar Verb = "plan.drop"
	VerbListCalendars  Verb = "plans"
	VerbStatus         Verb = "status"
)

// VerbListPeers is the only verb that a gateway serves itself.
const VerbListPeers Verb = "mates"

// The verbs of workers, which their agent serves.
const (
	VerbPoll       Verb = "poll"
	VerbHeartbeat  Verb = "beat"
	VerbDeregister Verb = "leave"
)
