package wire

// The order of work: every event that a daemon's loop takes has a class, found by
// the kind of message or the verb of a request. What is urgent for the safety of
// the cluster goes before what only serves callers.

// Class is how urgent an event is; a lower one goes first.
type Class uint8

// The classes, most urgent first.
const (
	Consensus     Class = iota // votes, heartbeats, entries, disk completions
	Configuration              // questions after the table in force, and their answers
	Leases                     // health and permissions to run
	Reports                    // ends of attempts, and answers to what was handed over
	Operators                  // what operators ask
	Callers                    // what callers ask
	Background                 // whatever no class is known of
	Classes                    // how many there are
)

var classNames = [Classes]string{"consensus", "configuration", "leases", "reports", "operators", "callers", "background"}

// String returns the class's name in lower case.
func (c Class) String() string { return classNames[c] }

// messageClasses gives the class of each kind of message.
var messageClasses = map[string]Class{
	Bootstrap: Consensus, JoinRequest: Consensus, RequestVote: Consensus, VoteReply: Consensus, AppendEntries: Consensus, AppendReply: Consensus,
	InstallSnapshot: Consensus, TimeoutNow: Consensus, Removed: Consensus,
	News: Configuration, Told: Configuration,
	Hello: Leases, Beat: Leases, Beaten: Leases, AskRun: Leases, Account: Leases, Query: Leases, Queried: Leases,
	Order: Leases, Ordered: Leases, Stop: Leases, Quit: Leases,
	Status: Reports, Settled: Reports, Reply: Reports,
	Call: Callers,
}

// verbClasses gives the class of each verb that isn't an operator's.
var verbClasses = map[string]Class{
	"job.put": Callers, "job.get": Callers, "job.cancel": Callers, "queue.count": Callers,
	"poll": Leases, "beat": Leases, "leave": Leases,
}

// ClassOf is the class of a kind of message.
func ClassOf(kind string) Class {
	if c, ok := messageClasses[kind]; ok {
		return c
	}
	return Background
}

// VerbClass is the class of a request's verb.
func VerbClass(verb string) Class {
	if c, ok := verbClasses[verb]; ok {
		return c
	}
	return Operators
}

// Class is the class of an event.
func (e Event) Class() Class {
	switch {
	case e.Message != nil:
		return ClassOf(e.Message.Kind)
	case e.Ask != nil:
		return VerbClass(e.Ask.Verb)
	case e.Reply != nil:
		return Leases
	}
	return Consensus
}

// Enters tells whether a verb brings new work in. Only that is refused when a loop
// falls behind: reads, cancels and what operators ask are served as long as they can.
func Enters(verb string) bool { return verb == "job.put" || verb == "queue.count" }
