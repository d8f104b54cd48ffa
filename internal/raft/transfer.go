package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// minOverloadedTenure is how long a leader leads at least before it transfers leadership
	// because it is overloaded.
	minOverloadedTenure = 10 * time.Second
	// maxOverloadDoublings bounds how often that time doubles as leader after leader transfers
	// for that reason. Where all are as busy, or the work itself is too much for any of them,
	// leadership does not go round.
	maxOverloadDoublings = 5
	// targetLagDivisor: the target's loop may be behind at most by this part of the leader's.
	targetLagDivisor = 2
)

// leadershipTransfer is a transfer of leadership (section 3.10 of the thesis). From its
// start the leader takes no proposals and holds no read lease. It ends when the target has
// the whole log and is asked to campaign, or with the leader stepping down at the deadline.
type leadershipTransfer struct {
	target   types.ID // empty when there is none
	deadline types.MonoTime
	// overloadCount is how many leaders in a row, before this one, transferred leadership
	// because they were overloaded.
	overloadCount int
	// nextOverloadCount is the overloadCount of the leader that follows: what a leader announces
	// to its target, and what a target has received.
	nextOverloadCount int
}

// inProgress tells whether a transfer was begun and has not ended.
func (t *leadershipTransfer) inProgress() bool { return t.target != "" }

// PrepareStop makes this node take no leadership from now on and transfer what it holds.
func (n *Node) PrepareStop(now types.Now) {
	n.daemon.stopping = true
	n.TransferLeadership(now)
}

// MayStop reports whether a node that prepares to stop has nothing left to do for the
// cluster. While a provisional member of its zone is there, a voter that stops waits until
// that one has replaced it.
func (n *Node) MayStop() bool {
	switch n.role {
	case roleLeader:
		return false
	case roleFollower, roleCandidate:
		return !slices.ContainsFunc(n.log.config, func(m Member) bool {
			return m.Provisional && m.Zone == n.self.Zone && m.ID != n.self.ID
		})
	}
	return true
}

// TransferLeadership starts a transfer to the reachable voter with the longest log; false
// if there is none, or this node doesn't lead, or a transfer is in progress.
func (n *Node) TransferLeadership(now types.Now) bool {
	n.transfer.nextOverloadCount = 0
	return n.transferTo(now, func(*progress) bool { return true })
}

// TransferWhenOverloaded starts a transfer from a leader whose daemon can't keep up, if it
// has led for long enough: to a voter that has all that is committed and whose event loop
// is clearly less behind. After a transfer of this kind the next one comes later.
func (n *Node) TransferWhenOverloaded(now types.Now, led time.Duration) bool {
	if led < minOverloadedTenure<<min(n.transfer.overloadCount, maxOverloadDoublings) {
		return false
	}
	n.transfer.nextOverloadCount = n.transfer.overloadCount + 1
	return n.transferTo(now, func(p *progress) bool {
		return p.match >= n.log.commitIndex && p.loopLag <= n.daemon.loopLag/targetLagDivisor
	})
}

// transferTo picks the eligible reachable voter with the longest log as the target.
func (n *Node) transferTo(now types.Now, eligible func(*progress) bool) bool {
	n.now = now
	if n.role != roleLeader || n.transfer.inProgress() {
		return false
	}
	var best *progress
	for _, member := range n.log.config {
		p := n.progressOf(member.ID)
		reachable := now.Mono.Sub(p.lastHeardAt) < n.timeouts.MinElectionTimeout
		if !member.Voter || member.ID == n.self.ID || !reachable || !eligible(p) {
			continue
		}
		if best == nil || p.match > best.match {
			best, n.transfer.target = p, member.ID
		}
	}
	n.transfer.deadline = now.Mono.Add(n.timeouts.MinElectionTimeout)
	return n.transfer.inProgress()
}

// completeTransfer tells the target to campaign once it has the whole log; false if it has
// not, or there is no transfer.
func (n *Node) completeTransfer() bool {
	if !n.transfer.inProgress() || n.progressOf(n.transfer.target).match != n.log.lastIndex() {
		return false
	}
	target, _ := n.log.config.Find(n.transfer.target)
	n.send(target.Addr, wire.TimeoutNow, timeoutNow{
		ClusterName:       n.clusterName,
		To:                n.transfer.target,
		Term:              n.hardState.Term,
		OverloadTransfers: n.transfer.nextOverloadCount,
	})
	n.stepDown()
	return true
}

// onTimeoutNow has the target of a transfer campaign at once, without a pre-vote.
func (n *Node) onTimeoutNow(_ types.Addr, message timeoutNow) {
	meant := message.ClusterName == n.clusterName && message.To == n.self.ID && message.Term == n.hardState.Term
	if !meant || n.role != roleFollower || !n.mayLead() {
		return
	}
	n.transfer.nextOverloadCount = message.OverloadTransfers
	n.campaign(campaignTransfer)
}

// SetLoopLag tells the node how far its daemon's event loop is behind with control work.
func (n *Node) SetLoopLag(lag time.Duration) { n.daemon.loopLag = lag }

// MaxLoopLag is how far a leader's loop may be behind for long: half of the shortest
// election timeout, beyond which its heartbeats are hardly in time.
func (n *Node) MaxLoopLag() time.Duration { return n.timeouts.MinElectionTimeout / 2 }
