package wire

// Class is the priority class of an event; lower classes are processed first. Events that the
// safety of the cluster depends on precede those that only serve callers.
type Class uint8

// The classes, highest priority first.
const (
	ClassConsensus     Class = iota // raft messages, disk completions, shutdown
	ClassConfiguration              // watches of the queue table
	ClassLeases                     // health and leases of workers, starts and stops of attempts
	ClassReports                    // ends of attempts, replies to forwarded requests
	ClassOperators                  // requests of operators
	ClassCallers                    // requests of callers
	ClassBackground                 // messages of unknown kinds
	NumClasses                      // the number of classes
)

var classNames = [NumClasses]string{
	ClassConsensus:     "consensus",
	ClassConfiguration: "configuration",
	ClassLeases:        "leases",
	ClassReports:       "reports",
	ClassOperators:     "operators",
	ClassCallers:       "callers",
	ClassBackground:    "background",
}

// String returns the name of the class as used in metrics.
func (c Class) String() string { return classNames[c] }

// classOfKind maps each kind of message to its class.
var classOfKind = map[Kind]Class{
	Bootstrap:       ClassConsensus,
	JoinRequest:     ClassConsensus,
	RequestVote:     ClassConsensus,
	VoteReply:       ClassConsensus,
	AppendEntries:   ClassConsensus,
	AppendReply:     ClassConsensus,
	InstallSnapshot: ClassConsensus,
	TimeoutNow:      ClassConsensus,
	Removed:         ClassConsensus,

	ConfigWatch:      ClassConfiguration,
	ConfigWatchReply: ClassConfiguration,

	Hello:             ClassLeases,
	Heartbeat:         ClassLeases,
	HeartbeatReply:    ClassLeases,
	RunningTasksQuery: ClassLeases,
	RunningTasksReply: ClassLeases,
	NotRunningQuery:   ClassLeases,
	NotRunningReply:   ClassLeases,
	RunTask:           ClassLeases,
	RunTaskReply:      ClassLeases,
	KillTask:          ClassLeases,
	ReplaceInstance:   ClassLeases,

	StatusReport: ClassReports,
	StatusAck:    ClassReports,
	ForwardReply: ClassReports,

	ForwardRequest: ClassCallers,
}

// classOfVerb maps the verbs of callers and workers to their class; all others are operators' verbs.
var classOfVerb = map[Verb]Class{
	VerbSubmitJob:  ClassCallers,
	VerbGetJob:     ClassCallers,
	VerbCancelJob:  ClassCallers,
	VerbCountQueue: ClassCallers,

	VerbPoll:       ClassLeases,
	VerbHeartbeat:  ClassLeases,
	VerbDeregister: ClassLeases,
}

// ClassOfKind returns the class of a kind of message.
func ClassOfKind(kind Kind) Class {
	if class, ok := classOfKind[kind]; ok {
		return class
	}
	return ClassBackground
}

// ClassOfVerb returns the class of a request's verb.
func ClassOfVerb(verb Verb) Class {
	if class, ok := classOfVerb[verb]; ok {
		return class
	}
	return ClassOperators
}

// Class returns the class of an event.
func (e Event) Class() Class {
	switch {
	case e.Message != nil:
		return ClassOfKind(e.Message.Kind)
	case e.Request != nil:
		return ClassOfVerb(e.Request.Verb)
	case e.WorkerReply != nil:
		return ClassLeases
	default:
		return ClassConsensus
	}
}

// SubmitsWork reports whether a verb submits new work. An overloaded event loop sheds only such
// requests; it serves queries, cancellations and operators' requests as long as it can.
func SubmitsWork(verb Verb) bool { return verb == VerbSubmitJob || verb == VerbCountQueue }
