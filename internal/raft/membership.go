package raft

import "time"

const (
	maxVoters  = 9
	maxMembers = 12 // voters and learners
	// promotionGap is how many entries a member may lack to be promoted: a part of what the
	// next message brings.
	promotionGap = maxEntriesPerMessage / 4
	// longSilenceFactor times ReplaceAfter is when a silent learner is removed, and when a
	// voter may be replaced by a member of another zone.
	longSilenceFactor = 6
	// provisionalPeriod is how long a provisional member votes beside all others until it is
	// a regular one. No bound rests on it: it only tells an addition from a replacement.
	provisionalPeriod = 30 * time.Second
)

// membershipRules are the changes that a leader makes of its own accord, the most urgent
// first. Each proposes a configuration and returns true, or finds nothing to do.
//
// An empty controller joins as a learner and is promoted once it has caught up. One that
// was not there at the first start is provisional until it has replaced a member that is
// gone or stops, or has stayed long enough beside all others. No voter is removed except
// by a replacement, however long it is silent; one that was removed and is back asks to
// join again.
var membershipRules = []func(*Node) bool{
	(*Node).replaceWiped,
	(*Node).replaceStopping,
	(*Node).replaceSilent,
	(*Node).promoteLearner,
	(*Node).restoreOddVoters,
	(*Node).confirmProvisional,
}

// maintainMembership makes at most one change of the configuration.
func (n *Node) maintainMembership() {
	if !n.canChangeConfiguration() {
		return
	}
	for _, applies := range membershipRules {
		if applies(n) {
			return
		}
	}
}

// replaceWiped replaces a member whose disk was lost, as soon as its successor at the
// same address has caught up.
func (n *Node) replaceWiped() bool {
	for _, successor := range n.log.config {
		if former, ok := n.predecessorAtAddress(successor); ok && n.isCaughtUp(successor) {
			n.replaceMember(successor, former)
			return true
		}
	}
	return false
}

// replaceStopping replaces a voter that is about to stop by a provisional member of its
// zone, while it still is there to agree.
func (n *Node) replaceStopping() bool {
	for _, voter := range n.log.config {
		if !voter.Voter || voter.ID == n.self.ID || !n.progressOf(voter.ID).stopping {
			continue
		}
		for _, member := range n.log.config {
			mayReplace := member.Provisional && member.Zone == voter.Zone && member.ID != voter.ID
			if mayReplace && n.isCaughtUp(member) && !n.progressOf(member.ID).stopping {
				n.replaceMember(member, voter)
				return true
			}
		}
	}
	return false
}

// replaceSilent replaces a voter that has been silent for long by a provisional member, and
// removes a learner that has been silent for much longer.
func (n *Node) replaceSilent() bool {
	for _, member := range n.log.config {
		if !member.Voter && n.silentFor(member) > n.learnerTimeout(member) {
			n.proposeConfiguration(n.log.config.without(member.ID))
			return true
		}
		if former, ok := n.replaceableVoter(member); ok && member.Provisional && n.isCaughtUp(member) {
			n.replaceMember(member, former)
			return true
		}
	}
	return false
}

// promoteLearner gives a learner that has caught up its vote. A provisional one waits
// while a voter of its zone may be gone: it replaces that one instead.
func (n *Node) promoteLearner() bool {
	for _, learner := range n.log.config {
		if learner.Voter || learner.Demoted || !n.isCaughtUp(learner) || !n.log.config.canAddVoter(learner) {
			continue
		}
		if learner.Provisional && n.zoneHasSilentVoter(learner) {
			continue
		}
		learner.Voter = true
		n.updateMembers(learner)
		return true
	}
	return false
}

// restoreOddVoters makes the number of voters odd again after a provisional member was
// promoted. An even number needs one voter more for a quorum and tolerates no more losses,
// so that the voter which the new one came to replace could not go without warning. A
// demoted member gets its vote back, or else the only other voter of the zone is demoted.
func (n *Node) restoreOddVoters() bool {
	if n.log.config.Voters()%2 == 1 {
		return false
	}
	for _, member := range n.log.config {
		promoted := member.Voter && member.Provisional && n.isCaughtUp(member)
		if promoted && (n.promoteDemoted() || n.demotePredecessor(member)) {
			return true
		}
	}
	return false
}

// promoteDemoted gives a demoted member its vote back.
func (n *Node) promoteDemoted() bool {
	for _, member := range n.log.config {
		if member.Demoted && n.isCaughtUp(member) && n.log.config.Voters() < maxVoters {
			member.Voter, member.Demoted = true, false
			n.updateMembers(member)
			return true
		}
	}
	return false
}

// demotePredecessor demotes the only other voter of a provisional member's zone and makes
// that member a regular one. A leader transfers leadership before it is demoted itself.
func (n *Node) demotePredecessor(successor Member) bool {
	former, ok := n.log.config.onlyOtherVoterInZone(successor)
	if !ok {
		return false
	}
	if former.ID == n.self.ID {
		return n.TransferLeadership(n.now)
	}
	former.Voter, former.Provisional, former.Demoted = false, true, true
	successor.Provisional = false
	n.updateMembers(former, successor)
	return true
}

// confirmProvisional makes a provisional member that has long voted beside all others,
// with none of them silent, a regular one. In an even number of voters it stays one that
// may replace another.
func (n *Node) confirmProvisional() bool {
	for _, member := range n.log.config {
		if member.Voter && n.silentFor(member) > n.timeouts.StallTimeout {
			n.leadership.allVotersHeardSince = n.now.Mono
		}
	}
	if n.now.Mono.Sub(n.leadership.allVotersHeardSince) < provisionalPeriod || n.log.config.Voters()%2 == 0 {
		return false
	}
	for _, member := range n.log.config {
		if member.Voter && member.Provisional {
			member.Provisional = false
			n.updateMembers(member)
			return true
		}
	}
	return false
}
