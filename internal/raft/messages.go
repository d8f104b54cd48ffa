// Package raft is the replicated log of the controllers: elections with a pre-vote,
// entries that count only once synced, snapshots, a configuration changed by one vote
// at a time, a read lease, and transfer of leadership. This file has the types that
// cross the wire and the disk.
package raft

import (
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// Member is one controller of the configuration. Without a vote it is a learner. A
// provisional member came to a cluster that existed before it, and may replace a voter
// that is gone or leaves. A standby gave its vote to a successor in its zone, and gets
// one again only in place of a voter that is gone.
type Member struct {
	ID          types.ID   `json:"id"`
	Addr        types.Addr `json:"addr"`
	Zone        types.Zone `json:"zone"`
	Voter       bool       `json:"voter"`
	Provisional bool       `json:"provisional,omitempty"`
	Demoted     bool       `json:"standby,omitempty"`
}

// BootstrapOptions is what the settings say of the cluster's beginning: that this is the first
// start of the whole system, and which controllers found it. Where none are named, any
// three that see just each other do.
type BootstrapOptions struct {
	FirstStart bool
	Founders   []types.Addr
}

// Configuration is the list of members, in force from the moment it is in the log.
type Configuration []Member

func (c Configuration) Find(id types.ID) (Member, bool) {
	for _, m := range c {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (c Configuration) Voters() (n int) {
	for _, m := range c {
		if m.Voter {
			n++
		}
	}
	return n
}

// Entry is one entry of the log.
type Entry struct {
	Term   types.Term      `json:"term"`
	Index  types.Index     `json:"index"`
	Data   json.RawMessage `json:"data,omitempty"`
	Config Configuration   `json:"config,omitempty"`
}

// Snapshot is the state as of one entry, in parts, each a record and a message of its own.
type Snapshot struct {
	Index     types.Index   `json:"index"`
	Term      types.Term    `json:"term"`
	Config    Configuration `json:"config"`
	PartCount int           `json:"parts"`
	Parts     [][]byte      `json:"-"`
}

// Record is what one disk record holds; each field stands for itself.
type Record struct {
	Identity        *Identity       `json:"identity,omitempty"`
	AcceptedCluster *InitialCluster `json:"promise,omitempty"`
	Cluster         *InitialCluster `json:"bootstrap,omitempty"`
	HardState       *HardState      `json:"vote,omitempty"`
	Entries         []Entry         `json:"entries,omitempty"`
	Snapshot        *Snapshot       `json:"snapshot,omitempty"`
	snapshotPart    []byte          // in place of all else: a part of the snapshot before it
}

// Identity is created with an empty folder and never used again after its loss. First
// is true where that was the first start of the whole system.
type Identity struct {
	ID         types.ID `json:"id"`
	FirstStart bool     `json:"first,omitempty"`
}

// InitialCluster is a cluster's name and its initial configuration.
type InitialCluster struct {
	ClusterName string        `json:"name"`
	Config      Configuration `json:"config"`
}

// HardState is a term and whom this member voted for in it.
type HardState struct {
	Term     types.Term `json:"term"`
	VotedFor types.ID   `json:"voted_for"`
}

type requestVote struct {
	ClusterName        string      `json:"name"`
	CandidateID        types.ID    `json:"id"`
	To                 types.ID    `json:"to"`
	Term               types.Term  `json:"term"`
	LastLogIndex       types.Index `json:"last_index"`
	LastLogTerm        types.Term  `json:"last_term"`
	PreVote            bool        `json:"pre_vote"`
	LeadershipTransfer bool        `json:"transfer"`
}

type voteReply struct {
	ClusterName string     `json:"name"`
	VoterID     types.ID   `json:"id"`
	Term        types.Term `json:"term"`
	PreVote     bool       `json:"pre_vote"`
	Granted     bool       `json:"granted"`
	// SilentMS is how long, at the least, the voter has heard no leader.
	SilentMS int64 `json:"silent_ms,omitempty"`
}

type appendEntries struct {
	ClusterName  string            `json:"name"`
	LeaderID     types.ID          `json:"id"`
	To           types.ID          `json:"to"`
	Term         types.Term        `json:"term"`
	PrevLogIndex types.Index       `json:"prev_index"`
	PrevLogTerm  types.Term        `json:"prev_term"`
	Entries      []Entry           `json:"entries,omitempty"`
	LeaderCommit types.Index       `json:"commit"`
	Round        types.MonoTime    `json:"round"`
	ClusterTime  types.ClusterTime `json:"tick"`
}

type appendReply struct {
	ClusterName   string         `json:"name"`
	FollowerID    types.ID       `json:"id"`
	Term          types.Term     `json:"term"`
	Success       bool           `json:"ok"`
	MatchIndex    types.Index    `json:"match"`
	Round         types.MonoTime `json:"round"`
	Wall          types.WallTime `json:"wall"`
	SnapshotParts int            `json:"parts,omitempty"` // of a snapshot that is coming
	// LagMS is how far the loop of the member's daemon is behind with control work.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Leaving is set by a member whose process is about to stop.
	Stopping bool `json:"leaving,omitempty"`
}

type installSnapshot struct {
	appendEntries
	Snapshot   Snapshot        `json:"snapshot"`
	PartNumber int             `json:"part_no"`
	Part       json.RawMessage `json:"part"`
}

type timeoutNow struct {
	ClusterName string     `json:"name"`
	To          types.ID   `json:"to"`
	Term        types.Term `json:"term"`
	// OverloadTransfers is how many leaders in a row gave leadership away since they
	// were overloaded.
	OverloadTransfers int `json:"overload_transfers,omitempty"`
}

type joinRequest struct {
	ClusterName string `json:"name"`
	Member      Member `json:"member"`
	WasVoter    bool   `json:"was_voter,omitempty"` // it has been a voter and asks after its place
}

type removedNotice struct {
	ClusterName string      `json:"name"`
	MemberID    types.ID    `json:"id"`
	CommitIndex types.Index `json:"commit"`
}

type bootstrapMessage struct {
	Cluster  InitialCluster `json:"config"`
	SenderID types.ID       `json:"id"`
	Step     string         `json:"step"` // offer, promise, done
}

// Timeouts holds the timings; package settings checks how they hang together.
type Timeouts struct {
	HeartbeatInterval  time.Duration // between rounds of the leader
	MinElectionTimeout time.Duration // shortest election wait; the longest is twice that
	StallTimeout       time.Duration // a disk or majority silent for so long ends the duty
	ReplaceAfter       time.Duration // a voter silent for so long may be replaced; a member gets its vote well within twice that
	AuthorityLease     time.Duration // authority past the start of the last majority round
}

// DefaultTimeouts are the timings where the settings give no others.
var DefaultTimeouts = Timeouts{HeartbeatInterval: 100 * time.Millisecond, MinElectionTimeout: 500 * time.Millisecond,
	StallTimeout: time.Second, ReplaceAfter: 5 * time.Second, AuthorityLease: 2 * time.Second}
