package wire

// Class is how urgent an event is; a lower one goes first. What the safety of the cluster
// depends on goes before what only serves callers.
type Class uint8

// The classes, most urgent first.
const (
	ClassConsensus     Class = iota // messages of raft, disk completions, shutdown
	ClassConfiguration              // watches of the queue table
	ClassLeases                     // workers' health and permissions to run, attempts' starts and stops
	ClassReports                    // ends of attempts, replies to forwarded requests
	ClassOperators                  // requests of operators
	ClassCallers                    // requests of callers
	ClassBackground                 // unknown kinds
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

// String returns the name of the class, as metrics show it.
func (c Class) String() string { return classNames[c] }

// classOfKind gives the class of each kind of message.
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

// classOfVerb gives the class of each verb that is not an operator's.
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

// SubmitsWork reports whether a verb brings new work. Only that is rejected when a loop
// falls behind: queries, cancels and what operators ask are served as long as they can be.
func SubmitsWork(verb Verb) bool { return verb == VerbSubmitJob || verb == VerbCountQueue }
