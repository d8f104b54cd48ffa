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
	// catchUpGap is how many entries a member may lack to be promoted: a part of what the
	// next message brings.
	catchUpGap = maxBatch / 4
	// longSilences times ReplaceAfter is when a silent learner is forgotten.
	longSilences = 6
	// confirmAfter is how long a provisional member votes beside all others until it is a
	// regular one. No bound rests on it: it only tells an addition from a replacement.
	confirmAfter = 30 * time.Second
)

var handlers = map[string]func(*Node, wire.Message){
	wire.Found:   wire.On((*Node).onBootstrap),
	wire.Join:    wire.On((*Node).onJoinRequest),
	wire.Ballot:  wire.On((*Node).onRequestVote),
	wire.Vote:    wire.On((*Node).onVoteReply),
	wire.Append:  wire.On((*Node).onAppendEntries),
	wire.Append2: wire.On((*Node).onAppendReply),
	wire.Snap:    wire.On((*Node).onInstallSnapshot),
	wire.Heir:    wire.On((*Node).onTimeoutNow),
	wire.Gone:    wire.On((*Node).onRemoved),
}

// Receive handles a message; false when its kind is not one of this package's.
func (n *Node) Receive(now types.Now, message wire.Message) bool {
	n.now = now
	f, ok := handlers[message.Kind]
	if ok && (n.role != removed || message.Kind == wire.Append || message.Kind == wire.Snap) {
		f(n, message)
	}
	return ok
}

func (n *Node) onRemoved(_ types.Addr, g removedNotice) {
	if g.Name == n.name && g.ID == n.self.ID && n.role != leader && g.CommitIndex >= n.commitIndex {
		n.role, n.reason = removed, "struck off the config; empty the data folder to come back as a new member"
	}
}

// mayChangeConfig is true for a leader whose configuration and an entry of whose own
// term are committed.
func (n *Node) mayChangeConfig() bool {
	return n.commitIndex >= n.termStart && n.commitIndex >= n.configIndex && n.transferTarget == ""
}

func (n *Node) onJoinRequest(from types.Addr, j joinRequest) {
	if n.role != leader || j.Name != n.name || !n.mayChangeConfig() {
		return
	}
	_, ok := n.config.Find(j.Member.ID)
	if !ok && j.WasVoter && n.HoldsLease() {
		n.send(from, wire.Gone, removedNotice{n.name, j.Member.ID, n.commitIndex})
	}
	if ok || j.WasVoter || len(n.config) >= maxMembers {
		return
	}
	j.Member.Voter = false
	n.changeConfig(append(n.config[:len(n.config):len(n.config)], j.Member))
}

func (n *Node) changeConfig(r Configuration) {
	n.appendEntry(Entry{Config: r})
	for _, m := range r {
		n.progressOf(m.ID)
	}
}

func (n *Node) configWithout(id types.ID) (r Configuration) {
	for _, m := range n.config {
		if m.ID != id {
			r = append(r, m)
		}
	}
	return
}

// silence is how long a member has not been heard.
func (n *Node) silence(m Member) time.Duration {
	if m.ID == n.self.ID {
		return 0
	}
	return n.now.Mono.Sub(n.progressOf(m.ID).heardAt)
}

// caughtUp is true for a member that answers now and has nearly all of the log.
func (n *Node) caughtUp(m Member) bool {
	if m.ID == n.self.ID {
		return true
	}
	t := n.progressOf(m.ID)
	return n.silence(m) < n.timeouts.Stall && t.match+catchUpGap >= n.commitIndex && t.match > 0
}

// maintainMembers makes at most one change of the configuration.
func (n *Node) maintainMembers() {
	if !n.mayChangeConfig() {
		return
	}
	for _, change := range []func() bool{n.replaceWiped, n.replaceLeaving, n.replaceSilent, n.promoteLearner, n.keepOdd, n.confirmProvisional} {
		if change() {
			return
		}
	}
}

// replaceWiped replaces a member whose disk was lost, as soon as its successor at the
// same address has caught up.
func (n *Node) replaceWiped() bool {
	for _, m := range n.config {
		if o, ok := n.predecessorAtAddr(m); ok && n.caughtUp(m) {
			n.replaceMember(m, o)
			return true
		}
	}
	return false
}

// replaceLeaving replaces a voter that is about to stop by a provisional member of its
// zone, while it still is there to agree.
func (n *Node) replaceLeaving() bool {
	for _, v := range n.config {
		if !v.Voter || v.ID == n.self.ID || !n.progressOf(v.ID).leaving {
			continue
		}
		for _, m := range n.config {
			if m.Provisional && m.Zone == v.Zone && m.ID != v.ID && n.caughtUp(m) && !n.progressOf(m.ID).leaving {
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
		if !m.Voter && n.silence(m) > n.patience(m) {
			n.changeConfig(n.configWithout(m.ID))
			return true
		}
		if v, ok := n.replaceableVoter(m); ok && m.Provisional && n.caughtUp(m) {
			n.replaceMember(m, v)
			return true
		}
	}
	return false
}

// patience is how long a learner may be silent: a standby, which has been replaced already,
// as long as a voter that is replaced.
func (n *Node) patience(m Member) time.Duration {
	if m.Standby {
		return n.timeouts.ReplaceAfter
	}
	return longSilences * n.timeouts.ReplaceAfter
}

// promoteLearner gives a learner that has caught up its vote.
func (n *Node) promoteLearner() bool {
	for _, m := range n.config {
		if m.Voter || m.Standby || !n.caughtUp(m) || !n.roomFor(m) || m.Provisional && n.zoneHasSilentVoter(m) {
			continue
		}
		m.Voter = true
		n.changeMember(m)
		return true
	}
	return false
}

// roomFor is true while a member more may vote. A provisional one may do so beside as many
// as may be, until it has replaced one of them.
func (n *Node) roomFor(m Member) bool {
	voters := n.config.Voters()
	return voters < maxVoters || voters == maxVoters && m.Provisional && len(n.config) == maxVoters+1
}

// keepOdd makes the number of voters odd again after a provisional member was promoted.
// An even number asks for one more voter and bears no more losses, so that the voter
// which the new one came to replace could not go without warning. A standby gets its
// vote back, or else the only other voter of the zone becomes one.
func (n *Node) keepOdd() bool {
	if n.config.Voters()%2 == 1 {
		return false
	}
	for _, m := range n.config {
		if m.Voter && m.Provisional && n.caughtUp(m) && (n.recallStandby() || n.standDown(m)) {
			return true
		}
	}
	return false
}

// recallStandby gives a standby its vote back.
func (n *Node) recallStandby() bool {
	for _, m := range n.config {
		if m.Standby && n.caughtUp(m) && n.config.Voters() < maxVoters {
			m.Voter, m.Standby = true, false
			n.changeMember(m)
			return true
		}
	}
	return false
}

// standDown makes the only other voter of a provisional member's zone a standby, and that
// member a regular one. A leader hands over before it stands down itself.
func (n *Node) standDown(successor Member) bool {
	former, ok := n.onlyOtherVoter(successor)
	if !ok {
		return false
	}
	if former.ID == n.self.ID {
		return n.TransferLeadership(n.now)
	}
	former.Voter, former.Provisional, former.Standby = false, true, true
	successor.Provisional = false
	n.changeMember(former, successor)
	return true
}

// onlyOtherVoter is the voter beside a member in its zone, if there is just one.
func (n *Node) onlyOtherVoter(m Member) (other Member, ok bool) {
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

// predecessorAtAddr is an earlier member at the same address: its disk was lost, since
// another identity answers there.
func (n *Node) predecessorAtAddr(m Member) (Member, bool) {
	for _, o := range n.config {
		if o.Addr == m.Addr && o.ID != m.ID && n.silence(o) > n.silence(m) {
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
		q := n.silence(v)
		gone := v.Zone == m.Zone && q > n.timeouts.ReplaceAfter || full && q > longSilences*n.timeouts.ReplaceAfter
		if v.Voter && v.ID != m.ID && gone && (!ok || q > n.silence(worst)) {
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
		return n.progressOf(v.ID).round == never || n.silence(v) > n.timeouts.ElectionMin
	})
}

// replaceMember removes a member that is gone in favour of one that is not provisional
// from then on. The vote of the new one, where it has none, comes with the next change.
func (n *Node) replaceMember(m, gone Member) {
	r := n.configWithout(gone.ID)
	for i := range r {
		if r[i].ID == m.ID {
			r[i].Provisional = m.Provisional && (gone.Provisional || !gone.Voter)
			r[i].Standby = m.Standby && !gone.Voter
		}
	}
	n.changeConfig(r)
}

// changeMember changes members that the configuration has.
func (n *Node) changeMember(list ...Member) {
	r := slices.Clone(n.config)
	for _, m := range list {
		r[slices.IndexFunc(r, func(o Member) bool { return o.ID == m.ID })] = m
	}
	n.changeConfig(r)
}

// confirmProvisional makes a provisional member that has long voted beside all others,
// with none of them silent, a regular one. In an even number of voters it stays one that
// may replace another.
func (n *Node) confirmProvisional() bool {
	for _, m := range n.config {
		if m.Voter && n.silence(m) > n.timeouts.Stall {
			n.votersHeardSince = n.now.Mono
		}
	}
	if n.now.Mono.Sub(n.votersHeardSince) < confirmAfter || n.config.Voters()%2 == 0 {
		return false
	}
	for _, m := range n.config {
		if m.Voter && m.Provisional {
			m.Provisional = false
			n.changeMember(m)
			return true
		}
	}
	return false
}
