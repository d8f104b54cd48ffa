package wire

// Kind identifies the purpose of a message and the type of its body.
type Kind string

// The kinds of message, each with the package that handles it. For kinds of dispatch the comment
// names the corresponding call of the paper. The strings are encoded on the wire and never change.
const (
	Hello             Kind = "hello"   // membership: announces the sender and its view of the cluster
	Bootstrap         Kind = "found"   // raft: bootstrap of a cluster
	JoinRequest       Kind = "join"    // raft: request of a new member to join
	RequestVote       Kind = "ballot"  // raft: RequestVote
	VoteReply         Kind = "vote"    // raft: its reply
	AppendEntries     Kind = "append"  // raft: AppendEntries, possibly without entries
	AppendReply       Kind = "taken"   // raft: its reply
	InstallSnapshot   Kind = "snap"    // raft: one part of an InstallSnapshot
	TimeoutNow        Kind = "heir"    // raft: leadership transfer; sent to the target
	Removed           Kind = "gone"    // raft: notifies a member that it was removed
	Heartbeat         Kind = "beat"    // dispatch: processHeartbeat
	HeartbeatReply    Kind = "beaten"  // dispatch: its reply
	RunningTasksQuery Kind = "ask"     // dispatch: getRunningTasks
	RunningTasksReply Kind = "account" // dispatch: its reply
	RunTask           Kind = "order"   // dispatch: runTask
	RunTaskReply      Kind = "ordered" // dispatch: its reply
	NotRunningQuery   Kind = "query"   // dispatch: notifyIfTasksNotRunning
	NotRunningReply   Kind = "queried" // dispatch: its reply
	StatusReport      Kind = "status"  // dispatch: updateStatus
	StatusAck         Kind = "settled" // dispatch: its reply, sent after commit
	KillTask          Kind = "stop"    // dispatch: killTask
	ReplaceInstance   Kind = "quit"    // dispatch: requestSuicide, for one instance
	ForwardRequest    Kind = "call"    // gateway: a forwarded caller's request
	ForwardReply      Kind = "reply"   // controller: its reply
	ConfigWatch       Kind = "news"    // configwatch: request for changes after a version
	ConfigWatchReply  Kind = "told"    // configwatch: its reply
)
