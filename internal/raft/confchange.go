package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
)

// Configurations change by one vote at a time (section 4.1 of the thesis): any majority of
// the old configuration and any majority of the new one then have a voter in common.

// canChangeConfiguration tells whether this leader may propose a configuration: the one in
// force and an entry of its own term are committed. Without the latter, changes of two terms
// could be in force at once (the fault of section 4.1 of the thesis that was found in 2015).
func (n *Node) canChangeConfiguration() bool {
	return !n.transfer.inProgress() &&
		n.log.commitIndex >= n.leadership.termStartIndex &&
		n.log.commitIndex >= n.log.configIndex
}

// proposeConfiguration appends a configuration, which is in force at once.
func (n *Node) proposeConfiguration(config Configuration) {
	n.appendEntry(Entry{Config: config})
	for _, member := range config {
		n.progressOf(member.ID)
	}
}

// updateMembers changes members that the configuration has.
func (n *Node) updateMembers(members ...Member) {
	n.proposeConfiguration(n.log.config.update(members...))
}

// replaceMember removes a member in favour of a successor, which is provisional no longer
// if the former was a regular voter. The successor's vote, where it has none, comes with
// the next change.
func (n *Node) replaceMember(successor, former Member) {
	config := n.log.config.without(former.ID)
	i := slices.IndexFunc(config, func(m Member) bool { return m.ID == successor.ID })
	config[i].Provisional = successor.Provisional && (former.Provisional || !former.Voter)
	config[i].Demoted = successor.Demoted && !former.Voter
	n.proposeConfiguration(config)
}

// isCaughtUp is true for a member that answers now and has nearly all of the log, so that
// its vote delays no commitment (section 4.2.1 of the thesis).
func (n *Node) isCaughtUp(member Member) bool {
	if member.ID == n.self.ID {
		return true
	}
	return n.silentFor(member) < n.timeouts.StallTimeout && n.progressOf(member.ID).isWithinPromotionGap(n.log.commitIndex)
}

// learnerTimeout is how long a learner may be silent before it is removed. A demoted one,
// which has been replaced already, has as long as a voter that is replaced.
func (n *Node) learnerTimeout(learner Member) time.Duration {
	if learner.Demoted {
		return n.timeouts.ReplaceAfter
	}
	return longSilenceFactor * n.timeouts.ReplaceAfter
}

// predecessorAtAddress is an earlier member at the same address: its disk was lost, since
// another identity answers there.
func (n *Node) predecessorAtAddress(member Member) (Member, bool) {
	for _, other := range n.log.config {
		if other.Addr == member.Addr && other.ID != member.ID && n.silentFor(other) > n.silentFor(member) {
			return other, true
		}
	}
	return Member{}, false
}

// replaceableVoter is the voter that a provisional member replaces: the one of its zone
// that has been silent longest, for long enough; and where there are maxVoters, any that
// has been silent for much longer.
func (n *Node) replaceableVoter(successor Member) (Member, bool) {
	var longestSilent Member
	found := false
	full := !successor.Voter && n.log.config.Voters() >= maxVoters
	for _, voter := range n.log.config {
		if !voter.Voter || voter.ID == successor.ID {
			continue
		}
		silentFor := n.silentFor(voter)
		goneFromZone := voter.Zone == successor.Zone && silentFor > n.timeouts.ReplaceAfter
		goneLong := full && silentFor > longSilenceFactor*n.timeouts.ReplaceAfter
		if (goneFromZone || goneLong) && (!found || silentFor > n.silentFor(longestSilent)) {
			longestSilent, found = voter, true
		}
	}
	return longestSilent, found
}

// zoneHasSilentVoter is true while a voter of a provisional member's zone is silent, or has
// not answered this leader yet: it may be the one to replace, or be back soon.
func (n *Node) zoneHasSilentVoter(member Member) bool {
	return slices.ContainsFunc(n.log.config, func(voter Member) bool {
		if !voter.Voter || voter.Zone != member.Zone || voter.ID == n.self.ID {
			return false
		}
		neverAnswered := n.progressOf(voter.ID).ackedRound == types.DistantPast
		return neverAnswered || n.silentFor(voter) > n.timeouts.MinElectionTimeout
	})
}
