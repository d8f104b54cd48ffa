package raft

import (
	"encoding/json"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// The messages between members, named for the RPCs of the paper's Figures 2 and 13 and of
// the thesis; each reply is a message of its own. ClusterName keeps clusters apart: a
// message of another cluster is ignored. To, where there is one, is the member that the
// message is for: another one may answer at its address after a loss of its disk.

// requestVote asks for a vote, or in a pre-vote (section 9.6 of the thesis) whether there
// would be one.
type requestVote struct {
	ClusterName  string      `json:"name"`
	CandidateID  types.ID    `json:"id"`
	To           types.ID    `json:"to"`
	Term         types.Term  `json:"term"`
	LastLogIndex types.Index `json:"last_index"`
	LastLogTerm  types.Term  `json:"last_term"`
	PreVote      bool        `json:"pre_vote"`
	// LeadershipTransfer is set by a candidate that the leader itself has named.
	LeadershipTransfer bool `json:"transfer"`
}

// voteReply answers a requestVote. In the answer to a pre-vote, Term is the one asked for.
type voteReply struct {
	ClusterName string     `json:"name"`
	VoterID     types.ID   `json:"id"`
	Term        types.Term `json:"term"`
	PreVote     bool       `json:"pre_vote"`
	Granted     bool       `json:"granted"`
	// SilentMS is how long, at the least, the voter has heard no leader, in milliseconds.
	SilentMS int64 `json:"silent_ms,omitempty"`
}

// appendEntries carries entries, or none as a heartbeat.
type appendEntries struct {
	ClusterName  string      `json:"name"`
	LeaderID     types.ID    `json:"id"`
	To           types.ID    `json:"to"`
	Term         types.Term  `json:"term"`
	PrevLogIndex types.Index `json:"prev_index"`
	PrevLogTerm  types.Term  `json:"prev_term"`
	Entries      []Entry     `json:"entries,omitempty"`
	LeaderCommit types.Index `json:"commit"`
	// Round is when this was sent, on the leader's clock. Its reply repeats it.
	Round       types.MonoTime    `json:"round"`
	ClusterTime types.ClusterTime `json:"tick"`
}

// appendReply answers appendEntries and installSnapshot. MatchIndex is how far the log is
// like the leader's and on disk, or where Success is false how far it may be like it.
type appendReply struct {
	ClusterName   string         `json:"name"`
	FollowerID    types.ID       `json:"id"`
	Term          types.Term     `json:"term"`
	Success       bool           `json:"ok"`
	MatchIndex    types.Index    `json:"match"`
	Round         types.MonoTime `json:"round"` // of the message that is answered
	Wall          types.WallTime `json:"wall"`
	SnapshotParts int            `json:"parts,omitempty"` // parts received of an incomplete snapshot
	// LagMS is how far the event loop of the member's daemon is behind with control work,
	// in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Stopping is set by a member whose process is about to stop.
	Stopping bool `json:"leaving,omitempty"`
}

// installSnapshot carries one part of a snapshot. PrevLogIndex is the snapshot's index.
type installSnapshot struct {
	appendEntries
	Snapshot   Snapshot        `json:"snapshot"`
	PartNumber int             `json:"part_no"`
	Part       json.RawMessage `json:"part"`
}

// timeoutNow asks the target of a leadership transfer to start an election at once
// (section 3.10 of the thesis).
type timeoutNow struct {
	ClusterName string     `json:"name"`
	To          types.ID   `json:"to"`
	Term        types.Term `json:"term"`
	// OverloadTransfers is how many leaders in a row, up to the sender, transferred
	// leadership because they were overloaded.
	OverloadTransfers int `json:"overload_transfers,omitempty"`
}

// joinRequest asks to be added to the configuration or, from a voter, whether it is still
// a member.
type joinRequest struct {
	ClusterName string `json:"name"`
	Member      Member `json:"member"`
	WasVoter    bool   `json:"was_voter,omitempty"`
}

// removedNotice notifies a former member that the configuration in force at CommitIndex
// lacks it.
type removedNotice struct {
	ClusterName string      `json:"name"`
	MemberID    types.ID    `json:"id"`
	CommitIndex types.Index `json:"commit"`
}

// bootstrapMessage is one step of a bootstrap.
type bootstrapMessage struct {
	Cluster  InitialCluster `json:"config"`
	SenderID types.ID       `json:"id"`
	Step     bootstrapStep  `json:"step"`
}

// handlers handle the messages of each kind.
var handlers = map[wire.Kind]func(*Node, wire.Message){
	wire.Bootstrap:       wire.HandlerFor((*Node).onBootstrap),
	wire.JoinRequest:     wire.HandlerFor((*Node).onJoinRequest),
	wire.RequestVote:     wire.HandlerFor((*Node).onRequestVote),
	wire.VoteReply:       wire.HandlerFor((*Node).onVoteReply),
	wire.AppendEntries:   wire.HandlerFor((*Node).onAppendEntries),
	wire.AppendReply:     wire.HandlerFor((*Node).onAppendReply),
	wire.InstallSnapshot: wire.HandlerFor((*Node).onInstallSnapshot),
	wire.TimeoutNow:      wire.HandlerFor((*Node).onTimeoutNow),
	wire.Removed:         wire.HandlerFor((*Node).onRemoved),
}

// Step handles a message; false when its kind is not one of this package's. A member that
// was removed listens only to a leader that has added it again.
func (n *Node) Step(now types.Now, message wire.Message) bool {
	n.now = now
	handle, ok := handlers[message.Kind]
	if !ok {
		return false
	}
	fromLeader := message.Kind == wire.AppendEntries || message.Kind == wire.InstallSnapshot
	if n.role != roleRemoved || fromLeader {
		handle(n, message)
	}
	return true
}
