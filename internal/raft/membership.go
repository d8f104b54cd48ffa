// Configurations and their changes, one vote at a time. An empty controller joins as a
// learner and is promoted once it has caught up. One that was not there at the first
// start is provisional until it has replaced a member that is gone or leaves, or has
// stayed long enough beside all others. No voter is removed except by a replacement,
// however long it is silent; one that was removed and is back asks to be let in again.
// Also the table of message handlers.
package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	maxVoters  = 9  // voters
	maxMembers = 12 // members
	// promotionGap is how many entries a member may lack to be promoted: a part of what the
	// next message brings.
	promotionGap = maxEntriesPerMessage / 4
	// longSilenceFactor times ReplaceAfter is when a silent learner is forgotten.
	longSilenceFactor = 6
	// provisionalPeriod is how long a provisional member votes beside all others until it is a
	// regular one. No bound rests on it: it only tells an addition from a replacement.
	provisionalPeriod = 30 * time.Second
)

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

// Step handles a message; false when its kind is not one of this package's.
func (n *Node) Step(now types.Now, message wire.Message) bool {
	n.now = now
	f, ok := handlers[message.Kind]
	if ok && (n.role != roleRemoved || message.Kind == wire.AppendEntries || message.Kind == wire.InstallSnapshot) {
		f(n, message)
	}
	return ok
}

func (n *Node) onRemoved(_ types.Addr, notice removedNotice) {
	if notice.ClusterName == n.clusterName && notice.MemberID == n.self.ID && n.role != roleLeader && notice.CommitIndex >= n.commitIndex {
		n.role, n.reason = roleRemoved, "struck off the config; empty the data folder to come back as a new member"
	}
}

// canChangeConfiguration is true for a leader whose configuration and an entry of whose own
// term are committed.
func (n *Node) canChangeConfiguration() bool {
	return n.commitIndex >= n.termStartIndex && n.commitIndex >= n.configIndex && n.transferTarget == ""
}

func (n *Node) onJoinRequest(from types.Addr, request joinRequest) {
	if n.role != roleLeader || request.ClusterName != n.clusterName || !n.canChangeConfiguration() {
		return
	}
	_, ok := n.config.Find(request.Member.ID)
	if !ok && request.WasVoter && n.HoldsReadLease() {
		n.send(from, wire.Removed, removedNotice{n.clusterName, request.Member.ID, n.commitIndex})
	}
	if ok || request.WasVoter || len(n.config) >= maxMembers {
		return
	}
	request.Member.Voter = false
	n.proposeConfiguration(append(n.config[:len(n.config):len(n.config)], request.Member))
}

func (n *Node) proposeConfiguration(config Configuration) {
	n.appendEntry(Entry{Config: config})
	for _, m := range config {
		n.progressOf(m.ID)
	}
}

func (n *Node) configurationWithout(id types.ID) (config Configuration) {
	for _, m := range n.config {
		if m.ID != id {
			config = append(config, m)
		}
	}
	return
}

// silentFor is how long a member has not been heard.
func (n *Node) silentFor(member Member) time.Duration {
	if member.ID == n.self.ID {
		return 0
	}
	return n.now.Mono.Sub(n.progressOf(member.ID).lastHeardAt)
}

// caughtUp is true for a member that answers now and has nearly all of the log.
func (n *Node) caughtUp(m Member) bool {
	if m.ID == n.self.ID {
		return true
	}
	t := n.progressOf(m.ID)
	return n.silentFor(m) < n.timeouts.StallTimeout && t.match+promotionGap >= n.commitIndex && t.match > 0
}

// maintainMembership makes at most one change of the configuration.
func (n *Node) maintainMembership() {
	if !n.canChangeConfiguration() {
		return
	}
	for _, change := range []func() bool{n.replaceWiped, n.replaceStopping, n.replaceSilent, n.promoteLearner, n.restoreOddVoters, n.confirmProvisional} {
		if change() {
			return
		}
	}
}

// replaceWiped replaces a member whose disk was lost, as soon as its successor at the
// same address has caught up.
func (n *Node) replaceWiped() bool {
	for _, m := range n.config {
		if o, ok := n.predecessorAtAddress(m); ok && n.caughtUp(m) {
			n.replaceMember(m, o)
			return true
		}
	}
	return false
}

// replaceStopping replaces a voter that is about to stop by a provisional member of its
// zone, while it still is there to agree.
func (n *Node) replaceStopping() bool {
	for _, v := range n.config {
		if !v.Voter || v.ID == n.self.ID || !n.progressOf(v.ID).stopping {
			continue
		}
		for _, m := range n.config {
			if m.Provisional && m.Zone == v.Zone && m.ID != v.ID && n.caughtUp(m) && !n.progressOf(m.ID).stopping {
				n.replaceMember(m, v)
				return true
			}
		}
	}
	return false
}

// replaceSilent replaces a voter that has been silent for long, and forgets a learner
// that has been so for much longer.
func (n *Node) replaceSilent() bool {
	for _, m := range n.config {
		if !m.Voter && n.silentFor(m) > n.learnerTimeout(m) {
			n.proposeConfiguration(n.configurationWithout(m.ID))
			return true
		}
		if v, ok := n.replaceableVoter(m); ok && m.Provisional && n.caughtUp(m) {
			n.replaceMember(m, v)
			return true
		}
	}
	return false
}

// learnerTimeout is how long a learner may be silent: a standby, which has been replaced already,
// as long as a voter that is replaced.
func (n *Node) learnerTimeout(m Member) time.Duration {
	if m.Demoted {
		return n.timeouts.ReplaceAfter
	}
	return longSilenceFactor * n.timeouts.ReplaceAfter
}

// promoteLearner gives a learner that has caught up its vote.
func (n *Node) promoteLearner() bool {
	for _, m := range n.config {
		if m.Voter || m.Demoted || !n.caughtUp(m) || !n.canAddVoter(m) || m.Provisional && n.zoneHasSilentVoter(m) {
			continue
		}
		m.Voter = true
		n.updateMembers(m)
		return true
	}
	return false
}

// canAddVoter is true while a member more may vote. A provisional one may do so beside as many
// as may be, until it has replaced one of them.
func (n *Node) canAddVoter(m Member) bool {
	voters := n.config.Voters()
	return voters < maxVoters || voters == maxVoters && m.Provisional && len(n.config) == maxVoters+1
}

// restoreOddVoters makes the number of voters odd again after a provisional member was promoted.
// An even number asks for one more voter and bears no more losses, so that the voter
// which the new one came to replace could not go without warning. A standby gets its
// vote back, or else the only other voter of the zone becomes one.
func (n *Node) restoreOddVoters() bool {
	if n.config.Voters()%2 == 1 {
		return false
	}
	for _, m := range n.config {
		if m.Voter && m.Provisional && n.caughtUp(m) && (n.promoteDemoted() || n.demotePredecessor(m)) {
			return true
		}
	}
	return false
}

// promoteDemoted gives a standby its vote back.
func (n *Node) promoteDemoted() bool {
	for _, m := range n.config {
		if m.Demoted && n.caughtUp(m) && n.config.Voters() < maxVoters {
			m.Voter, m.Demoted = true, false
			n.updateMembers(m)
			return true
		}
	}
	return false
}

// demotePredecessor makes the only other voter of a provisional member's zone a standby, and that
// member a regular one. A leader hands over before it stands down itself.
func (n *Node) demotePredecessor(successor Member) bool {
	former, ok := n.onlyOtherVoterInZone(successor)
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

// onlyOtherVoterInZone is the voter beside a member in its zone, if there is just one.
func (n *Node) onlyOtherVoterInZone(m Member) (other Member, ok bool) {
	for _, v := range n.config {
		if v.Voter && v.Zone == m.Zone && v.ID != m.ID {
			if ok {
				return Member{}, false
			}
			other, ok = v, true
		}
	}
	return
}

// predecessorAtAddress is an earlier member at the same address: its disk was lost, since
// another identity answers there.
func (n *Node) predecessorAtAddress(m Member) (Member, bool) {
	for _, o := range n.config {
		if o.Addr == m.Addr && o.ID != m.ID && n.silentFor(o) > n.silentFor(m) {
			return o, true
		}
	}
	return Member{}, false
}

// replaceableVoter is the voter that a provisional member replaces: the one of its zone
// that has been silent longest, for long enough; and where there are as many voters as
// may be, any that has been silent for much longer.
func (n *Node) replaceableVoter(m Member) (worst Member, ok bool) {
	full := !m.Voter && n.config.Voters() >= maxVoters
	for _, v := range n.config {
		q := n.silentFor(v)
		gone := v.Zone == m.Zone && q > n.timeouts.ReplaceAfter || full && q > longSilenceFactor*n.timeouts.ReplaceAfter
		if v.Voter && v.ID != m.ID && gone && (!ok || q > n.silentFor(worst)) {
			worst, ok = v, true
		}
	}
	return
}

// zoneHasSilentVoter is true while a voter of a provisional member's zone is silent, or has
// not answered this leader yet: it may be the one to replace, or be back soon.
func (n *Node) zoneHasSilentVoter(m Member) bool {
	return slices.ContainsFunc(n.config, func(v Member) bool {
		if !v.Voter || v.Zone != m.Zone || v.ID == n.self.ID {
			return false
		}
		return n.progressOf(v.ID).ackedRound == never || n.silentFor(v) > n.timeouts.MinElectionTimeout
	})
}

// replaceMember removes a member that is gone in favour of one that is not provisional
// from then on. The vote of the new one, where it has none, comes with the next change.
func (n *Node) replaceMember(successor, former Member) {
	config := n.configurationWithout(former.ID)
	for i := range config {
		if config[i].ID == successor.ID {
			config[i].Provisional = successor.Provisional && (former.Provisional || !former.Voter)
			config[i].Demoted = successor.Demoted && !former.Voter
		}
	}
	n.proposeConfiguration(config)
}

// updateMembers changes members that the configuration has.
func (n *Node) updateMembers(members ...Member) {
	config := slices.Clone(n.config)
	for _, m := range members {
		config[slices.IndexFunc(config, func(o Member) bool { return o.ID == m.ID })] = m
	}
	n.proposeConfiguration(config)
}

// confirmProvisional makes a provisional member that has long voted beside all others,
// with none of them silent, a regular one. In an even number of voters it stays one that
// may replace another.
func (n *Node) confirmProvisional() bool {
	for _, m := range n.config {
		if m.Voter && n.silentFor(m) > n.timeouts.StallTimeout {
			n.allVotersHeardSince = n.now.Mono
		}
	}
	if n.now.Mono.Sub(n.allVotersHeardSince) < provisionalPeriod || n.config.Voters()%2 == 0 {
		return false
	}
	for _, m := range n.config {
		if m.Voter && m.Provisional {
			m.Provisional = false
			n.updateMembers(m)
			return true
		}
	}
	return false
}
