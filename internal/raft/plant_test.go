// Bugs that are put in on purpose, each by one name: what lies between the real nodes
// and their surroundings is made to lie. A check counts only if it catches one.
package raft

import (
	"slices"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	plantLeaseFromReceipt  = "lease counted from the receipt of an answer"
	plantVoteBeforeSync    = "vote told before it is synced"
	plantCommitBeforeSync  = "commit counted before sync"
	plantCountedTwice      = "a member counted twice"
	plantWipedKeepsVote    = "a wiped member keeps its vote"
	plantRemovedEarly      = "removal before the successor has caught up"
	plantOldTermByCount    = "commit of an entry of an older term by count"
	plantVoteWhileLeader   = "a vote though a leader is heard"
	plantVoteForShorterLog = "a vote for a shorter log"
	plantNoReplacement     = "nobody who is gone is ever replaced"
)

// injectBeforeStep lies to a node before its step.
func (w *world) injectBeforeStep(m *machine) {
	n := m.node
	switch w.plantedBug {
	case plantVoteWhileLeader:
		n.leader.heardAt, n.startedAt = never, never
	case plantRemovedEarly:
		for _, v := range n.log.config {
			if n.role == roleLeader && !v.Voter {
				n.progressOf(v.ID).match = n.log.commitIndex
			}
		}
	case plantNoReplacement:
		n.leading.electedAt = n.now.Mono
		for _, p := range n.leading.progress {
			p.lastHeardAt = n.now.Mono
		}
	}
}

// injectAfterStep lies about the outcome of a step.
func (w *world) injectAfterStep(m *machine) {
	n := m.node
	switch w.plantedBug {
	case plantVoteBeforeSync:
		n.outbox.awaitingSync = slices.DeleteFunc(n.outbox.awaitingSync, func(h pendingMessage) bool {
			if h.message.Message.Kind == wire.VoteReply || h.message.Message.Kind == wire.RequestVote {
				n.outbox.ready = append(n.outbox.ready, h.message)
				return true
			}
			return false
		})
	case plantCommitBeforeSync:
		n.outbox.awaitingSync = slices.DeleteFunc(n.outbox.awaitingSync, func(h pendingMessage) bool {
			if h.message.Message.Kind == wire.AppendReply {
				n.outbox.ready = append(n.outbox.ready, h.message)
				return true
			}
			return false
		})
		n.log.syncedIndex = n.log.lastIndex()
		if n.role == roleLeader {
			n.advanceCommit()
		}
	case plantCountedTwice:
		if n.role == roleLeader && n.log.config.Voters() > 0 && n.log.commitIndex >= n.leading.termStartIndex {
			own := n.log.syncedIndex
			if t, ok := n.log.term(own); ok && t == n.hardState.Term && own > n.log.commitIndex && n.votersHolding(own)+1 > n.log.config.Voters()/2 {
				n.log.commitIndex = own
			}
		}
	case plantOldTermByCount:
		if n.role == roleLeader {
			n.log.commitIndex = max(n.log.commitIndex, n.quorumSyncedIndex())
		}
	}
}

// votersHolding is how many voters have an entry synced, as the leader knows.
func (n *Node) votersHolding(i types.Index) (count int) {
	for _, v := range n.log.config {
		if v.Voter && (v.ID == n.self.ID && n.log.syncedIndex >= i || v.ID != n.self.ID && n.progressOf(v.ID).match >= i) {
			count++
		}
	}
	return
}

// injectIntoMessage lies about a message on its way.
func (w *world) injectIntoMessage(m *machine, x wire.Message) wire.Message {
	switch {
	case w.plantedBug == plantLeaseFromReceipt && x.Kind == wire.AppendReply:
		if a, ok := wire.DecodeBody[appendReply](x); ok && a.Term == m.node.hardState.Term {
			a.Round = m.clock().Mono
			x.Body = wire.EncodeBody(a)
		}
	case w.plantedBug == plantVoteForShorterLog && x.Kind == wire.RequestVote:
		if b, ok := wire.DecodeBody[requestVote](x); ok {
			b.LastLogIndex, b.LastLogTerm = 1<<40, 1<<40
			x.Body = wire.EncodeBody(b)
		}
	}
	return x
}
