package wire

// Kind says what a message is for, and so how its body is read.
type Kind string

// The kinds of message, each with the package that handles it. Those of dispatch name the
// call of the paper that they carry. The texts go over the wire and never change.
const (
	Hello             Kind = "hello"   // membership: who is there
	Bootstrap         Kind = "found"   // raft: bootstrap of a cluster
	JoinRequest       Kind = "join"    // raft: a new member asks to join
	RequestVote       Kind = "ballot"  // raft: RequestVote
	VoteReply         Kind = "vote"    // raft: its reply
	AppendEntries     Kind = "append"  // raft: AppendEntries, with entries or none
	AppendReply       Kind = "taken"   // raft: its reply
	InstallSnapshot   Kind = "snap"    // raft: InstallSnapshot, one part
	TimeoutNow        Kind = "heir"    // raft: leadership transfer, to its target
	Removed           Kind = "gone"    // raft: tells a member that it was removed
	Heartbeat         Kind = "beat"    // dispatch: processHeartbeat
	HeartbeatReply    Kind = "beaten"  // dispatch: its reply
	RunningTasksQuery Kind = "ask"     // dispatch: getRunningTasks
	RunningTasksReply Kind = "account" // dispatch: its reply
	RunTask           Kind = "order"   // dispatch: runTask
	RunTaskReply      Kind = "ordered" // dispatch: its reply
	NotRunningQuery   Kind = "query"   // dispatch: notifyIfTasksNotRunning
	NotRunningReply   Kind = "queried" // dispatch: its reply
	StatusReport      Kind = "status"  // dispatch: updateStatus
	StatusAck         Kind = "settled" // dispatch: its reply, once committed
	KillTask          Kind = "stop"    // dispatch: killTask
	ReplaceInstance   Kind = "quit"    // dispatch: requestSuicide, for one instance
	ForwardRequest    Kind = "call"    // gateway: forwards a caller's request
	ForwardReply      Kind = "reply"   // controller: its reply
	ConfigWatch       Kind = "news"    // configwatch: asks for changes after a version
	ConfigWatchReply  Kind = "told"    // configwatch: its reply
)
