package raft

import (
	"encoding/json"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// The messages between members are named after the RPCs of the paper's Figures 2 and 13 and
// of the thesis; each reply is a message of its own. A message with another ClusterName is
// ignored. To, if present, identifies the member that the message is for, since another
// member may answer at its address after its disk was lost.

// requestVote requests a vote or, as a pre-vote (section 9.6 of the thesis), asks whether a vote
// would be granted.
type requestVote struct {
	ClusterName  string      `json:"name"`
	CandidateID  types.ID    `json:"id"`
	To           types.ID    `json:"to"`
	Term         types.Term  `json:"term"`
	LastLogIndex types.Index `json:"last_index"`
	LastLogTerm  types.Term  `json:"last_term"`
	PreVote      bool        `json:"pre_vote"`
	// LeadershipTransfer is set if the leader itself asked the candidate to campaign.
	LeadershipTransfer bool `json:"transfer"`
}

// voteReply answers a requestVote. In the reply to a pre-vote, Term is the requested term.
type voteReply struct {
	ClusterName string     `json:"name"`
	VoterID     types.ID   `json:"id"`
	Term        types.Term `json:"term"`
	PreVote     bool       `json:"pre_vote"`
	Granted     bool       `json:"granted"`
	// SilentMS is the minimum time in milliseconds for which the voter has heard no leader.
	SilentMS int64 `json:"silent_ms,omitempty"`
}

// appendEntries carries log entries. Without entries it is a heartbeat.
type appendEntries struct {
	ClusterName  string      `json:"name"`
	LeaderID     types.ID    `json:"id"`
	To           types.ID    `json:"to"`
	Term         types.Term  `json:"term"`
	PrevLogIndex types.Index `json:"prev_index"`
	PrevLogTerm  types.Term  `json:"prev_term"`
	Entries      []Entry     `json:"entries,omitempty"`
	LeaderCommit types.Index `json:"commit"`
	// Round is the send time on the leader's clock. The reply echoes it.
	Round       types.MonoTime    `json:"round"`
	ClusterTime types.ClusterTime `json:"tick"`
}

// appendReply answers appendEntries and installSnapshot. If Success is true, MatchIndex is the
// highest index up to which the log matches the leader's and is on disk. Otherwise it is the
// highest index at which the logs may match.
type appendReply struct {
	ClusterName   string         `json:"name"`
	FollowerID    types.ID       `json:"id"`
	Term          types.Term     `json:"term"`
	Success       bool           `json:"ok"`
	MatchIndex    types.Index    `json:"match"`
	Round         types.MonoTime `json:"round"` // echoed from the leader's message
	Wall          types.WallTime `json:"wall"`
	SnapshotParts int            `json:"parts,omitempty"` // parts received of an incomplete snapshot
	// LagMS is the event loop lag of the member's daemon for control work, in milliseconds.
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

// joinRequest asks to be added to the configuration or, from a voter, whether it is still a
// member.
type joinRequest struct {
	ClusterName string `json:"name"`
	Member      Member `json:"member"`
	WasVoter    bool   `json:"was_voter,omitempty"`
}

// removedNotice notifies a former member that the configuration in force at CommitIndex no longer
// contains it.
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

// handlers maps each message kind to its handler.
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

// Step handles a message. It returns false if the message's kind does not belong to this package.
// A removed member handles only messages from a leader, which has added it again.
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
