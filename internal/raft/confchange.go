package raft

import (
	"slices"
	"time"
)

// Configurations change by one vote at a time (section 4.1 of the thesis): any majority of
// the old configuration and any majority of the new one then have a voter in common.

// canChangeConfiguration tells whether this leader may propose a configuration: the one in
// force and an entry of its own term are committed. Without the latter, changes of two terms
// could be in force at once (the fault of the thesis's single-server changes that was found
// in 2015).
func (n *Node) canChangeConfiguration() bool {
	return !n.transfer.inProgress() &&
		n.log.commitIndex >= n.leadership.termStartIndex &&
		n.log.commitIndex >= n.log.configIndex
}

// proposeConfiguration appends a configuration, which is in force at once.
func (n *Node) proposeConfiguration(config Configuration) {
	n.appendEntry(Entry{Config: config})
	for _, m := range config {
		n.progressOf(m.ID)
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
func (n *Node) isCaughtUp(m Member) bool {
	if m.ID == n.self.ID {
		return true
	}
	p := n.progressOf(m.ID)
	return n.silentFor(m) < n.timeouts.StallTimeout && p.match > 0 && p.match+promotionGap >= n.log.commitIndex
}

// learnerTimeout is how long a learner may be silent before it is removed. A demoted one,
// which has been replaced already, has as long as a voter that is replaced.
func (n *Node) learnerTimeout(m Member) time.Duration {
	if m.Demoted {
		return n.timeouts.ReplaceAfter
	}
	return longSilenceFactor * n.timeouts.ReplaceAfter
}

// canAddVoter is true while one member more may vote. Beside maxVoters a provisional one
// still may, until it has replaced one of them.
func (n *Node) canAddVoter(m Member) bool {
	voters := n.log.config.Voters()
	return voters < maxVoters || voters == maxVoters && m.Provisional && len(n.log.config) == maxVoters+1
}

// onlyOtherVoterInZone is the voter beside a member in its zone, if there is just one.
func (n *Node) onlyOtherVoterInZone(m Member) (Member, bool) {
	var other Member
	count := 0
	for _, v := range n.log.config {
		if v.Voter && v.Zone == m.Zone && v.ID != m.ID {
			other = v
			count++
		}
	}
	return other, count == 1
}

// predecessorAtAddress is an earlier member at the same address: its disk was lost, since
// another identity answers there.
func (n *Node) predecessorAtAddress(m Member) (Member, bool) {
	for _, o := range n.log.config {
		if o.Addr == m.Addr && o.ID != m.ID && n.silentFor(o) > n.silentFor(m) {
			return o, true
		}
	}
	return Member{}, false
}

// replaceableVoter is the voter that a provisional member replaces: the one of its zone
// that has been silent longest, for long enough; and where there are maxVoters, any that
// has been silent for much longer.
func (n *Node) replaceableVoter(m Member) (Member, bool) {
	var worst Member
	found := false
	full := !m.Voter && n.log.config.Voters() >= maxVoters
	for _, v := range n.log.config {
		if !v.Voter || v.ID == m.ID {
			continue
		}
		silence := n.silentFor(v)
		goneFromZone := v.Zone == m.Zone && silence > n.timeouts.ReplaceAfter
		goneLong := full && silence > longSilenceFactor*n.timeouts.ReplaceAfter
		if (goneFromZone || goneLong) && (!found || silence > n.silentFor(worst)) {
			worst, found = v, true
		}
	}
	return worst, found
}

// zoneHasSilentVoter is true while a voter of a provisional member's zone is silent, or has
// not answered this leader yet: it may be the one to replace, or be back soon.
func (n *Node) zoneHasSilentVoter(m Member) bool {
	return slices.ContainsFunc(n.log.config, func(v Member) bool {
		if !v.Voter || v.Zone != m.Zone || v.ID == n.self.ID {
			return false
		}
		return n.progressOf(v.ID).ackedRound == never || n.silentFor(v) > n.timeouts.MinElectionTimeout
	})
}
