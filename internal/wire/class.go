package wire

// The order of work: every event that a daemon's loop takes has a class, found by
// the kind of message or the verb of a request. What is urgent for the safety of
// the cluster goes before what only serves callers.

// Class is how urgent an event is; a lower one goes first.
type Class uint8

// The classes, most urgent first.
const (
	ClassConsensus     Class = iota // votes, heartbeats, entries, disk completions
	ClassConfiguration              // questions after the table in force, and their answers
	ClassLeases                     // health and permissions to run
	ClassReports                    // ends of attempts, and answers to what was handed over
	ClassOperators                  // what operators ask
	ClassCallers                    // what callers ask
	ClassBackground                 // whatever no class is known of
	NumClasses                      // how many there are
)

var classNames = [NumClasses]string{"consensus", "configuration", "leases", "reports", "operators", "callers", "background"}

// String returns the class's name in lower case.
func (c Class) String() string { return classNames[c] }

// messageClasses gives the class of each kind of message.
var messageClasses = map[Kind]Class{
	Bootstrap: ClassConsensus, JoinRequest: ClassConsensus, RequestVote: ClassConsensus, VoteReply: ClassConsensus, AppendEntries: ClassConsensus, AppendReply: ClassConsensus,
	InstallSnapshot: ClassConsensus, TimeoutNow: ClassConsensus, Removed: ClassConsensus,
	ConfigWatch: ClassConfiguration, ConfigWatchReply: ClassConfiguration,
	Hello: ClassLeases, Heartbeat: ClassLeases, HeartbeatReply: ClassLeases, RunningTasksQuery: ClassLeases, RunningTasksReply: ClassLeases, NotRunningQuery: ClassLeases, NotRunningReply: ClassLeases,
	RunTask: ClassLeases, RunTaskReply: ClassLeases, KillTask: ClassLeases, ReplaceInstance: ClassLeases,
	StatusReport: ClassReports, StatusAck: ClassReports, ForwardReply: ClassReports,
	ForwardRequest: ClassCallers,
}

// verbClasses gives the class of each verb that isn't an operator's.
var verbClasses = map[string]Class{
	"job.put": ClassCallers, "job.get": ClassCallers, "job.cancel": ClassCallers, "queue.count": ClassCallers,
	"poll": ClassLeases, "beat": ClassLeases, "leave": ClassLeases,
}

// ClassOfKind is the class of a kind of message.
func ClassOfKind(kind Kind) Class {
	if c, ok := messageClasses[kind]; ok {
		return c
	}
	return ClassBackground
}

// ClassOfVerb is the class of a request's verb.
func ClassOfVerb(verb string) Class {
	if c, ok := verbClasses[verb]; ok {
		return c
	}
	return ClassOperators
}

// Class is the class of an event.
func (e Event) Class() Class {
	switch {
	case e.Message != nil:
		return ClassOfKind(e.Message.Kind)
	case e.Request != nil:
		return ClassOfVerb(e.Request.Verb)
	case e.WorkerReply != nil:
		return ClassLeases
	}
	return ClassConsensus
}

// SubmitsWork tells whether a verb brings new work in. Only that is refused when a loop
// falls behind: reads, cancels and what operators ask are served as long as they can.
func SubmitsWork(verb string) bool { return verb == "job.put" || verb == "queue.count" }
