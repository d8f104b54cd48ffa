package raft

import (
	"time"

	"coppercourse/internal/types"
)

// progress is what a leader knows of one member: nextIndex and matchIndex of the paper's
// Figure 2, and what its replies say.
type progress struct {
	next  types.Index // the next entry to send
	match types.Index // highest entry known to be like the leader's and on the member's disk

	ackedRound  types.MonoTime // start of the newest round that the member has answered
	lastHeardAt types.MonoTime
	lastSentAt  types.MonoTime // of entries or a snapshot part; never once a part is answered
	window      sendWindow

	snapshotParts int            // parts of the snapshot that the member has
	wallOffset    types.WallTime // of its wall clock from the leader's cluster clock
	loopLag       time.Duration  // of the event loop of its daemon
	stopping      bool           // its process is about to stop
}

// hasInFlight tells whether entries were sent and not yet acknowledged.
func (p *progress) hasInFlight() bool { return p.match+1 < p.next }

// resendFromMatch makes all that is not acknowledged be sent again.
func (p *progress) resendFromMatch() { p.next = p.match + 1 }

// isWithinPromotionGap tells whether the member has all that is committed but for promotionGap
// entries.
func (p *progress) isWithinPromotionGap(commitIndex types.Index) bool {
	return p.match > 0 && p.match+promotionGap >= commitIndex
}

// onReply notes what a reply says of the member, whatever it answers; clusterTime is the
// leader's now.
func (p *progress) onReply(now types.MonoTime, clusterTime types.ClusterTime, reply *appendReply) {
	if reply.Round > p.ackedRound {
		p.ackedRound = reply.Round
		p.wallOffset = reply.Wall - types.WallTime(clusterTime)
	}
	p.lastHeardAt = now
	p.loopLag = time.Duration(reply.LagMS) * time.Millisecond
	p.stopping = reply.Stopping
}

// nextSnapshotPart returns which part of a snapshot to send now, and counts it as sent;
// false while the answer to the last one is still waited for, minimumWait at least.
func (p *progress) nextSnapshotPart(now types.MonoTime, partCount int, minimumWait time.Duration) (int, bool) {
	if now.Sub(p.lastSentAt) <= p.window.retryTimeout(minimumWait) || partCount == 0 {
		return 0, false
	}
	if p.lastSentAt != types.DistantPast {
		p.window.onTimeout()
	}
	p.lastSentAt = now
	p.window.onSend(now)
	p.snapshotParts = min(p.snapshotParts, partCount-1)
	return p.snapshotParts, true
}

// onSnapshotPart records how many parts the member has. A reply with the same number as the
// one before answers a part that was sent twice.
func (p *progress) onSnapshotPart(now types.MonoTime, parts int, minElectionTimeout time.Duration) {
	if parts == p.snapshotParts {
		return
	}
	p.window.onAcknowledged(now, minElectionTimeout)
	p.snapshotParts, p.lastSentAt = parts, types.DistantPast
}

// onRejected steps back to where the member's log may be like the leader's (section 3.5 of
// the thesis). A late rejection may step back too far, which only delays.
func (p *progress) onRejected(match types.Index) {
	p.snapshotParts, p.window.inFlightBytes = 0, 0
	p.match = min(p.match, match)
	p.next = match + 1
}

// onMatched notes how far the member's log is like the leader's and on its disk.
func (p *progress) onMatched(now types.MonoTime, match types.Index, minElectionTimeout time.Duration) {
	if match <= p.match {
		return
	}
	p.match = match
	p.next = max(p.next, match+1)
	if !p.hasInFlight() {
		p.window.onAcknowledged(now, minElectionTimeout)
	}
}
