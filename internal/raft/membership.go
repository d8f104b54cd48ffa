// Configurations and their changes, one vote at a time. An empty controller joins as a
// learner and is promoted once it has caught up. One that was not there at the first
// start is provisional until it has replaced a member that is gone, or has stayed long
// enough beside all others. No member is removed except by a replacement, however
// long it is silent. Also the table of message handlers.
package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	maxVoters   = 9  // voters
	maxMembers  = 12 // members
	catchUpGap  = 64
	longSilence = 30 * time.Second
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
	if ok && n.role != removed {
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
	for _, m := range n.config {
		if o, ok := n.predecessorAtAddr(m); ok && n.caughtUp(m) {
			n.replaceMember(m, o)
			return
		}
	}
	for _, m := range n.config {
		if !m.Voter && n.silence(m) > longSilence {
			n.changeConfig(n.configWithout(m.ID))
			return
		}
		if v, ok := n.replaceableVoter(m); ok && m.Provisional && n.caughtUp(m) {
			n.replaceMember(m, v)
			return
		}
	}
	for i, m := range n.config {
		if m.Voter || !n.caughtUp(m) || n.config.Voters() >= maxVoters || m.Provisional && n.zoneHasSilentVoter(m) {
			continue
		}
		r := slices.Clone(n.config)
		r[i].Voter = true
		n.changeConfig(r)
		return
	}
	n.confirmProvisional()
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
		gone := v.Zone == m.Zone && q > n.timeouts.ReplaceAfter || full && q > longSilence
		if v.Voter && v.ID != m.ID && gone && (!ok || q > n.silence(worst)) {
			worst, ok = v, true
		}
	}
	return
}

// zoneHasSilentVoter is true while a voter of a provisional member's zone is silent: it
// may be the one to replace, or be back soon.
func (n *Node) zoneHasSilentVoter(m Member) bool {
	return slices.ContainsFunc(n.config, func(v Member) bool { return v.Voter && v.Zone == m.Zone && n.silence(v) > n.timeouts.ElectionMin })
}

// replaceMember removes a member that is gone in favour of one that is not provisional
// from then on. The vote of the new one, where it has none, comes with the next change.
func (n *Node) replaceMember(m, gone Member) {
	r := n.configWithout(gone.ID)
	for i := range r {
		if r[i].ID == m.ID {
			r[i].Provisional = m.Provisional && (gone.Provisional || !gone.Voter)
		}
	}
	n.changeConfig(r)
}

// confirmProvisional makes a provisional member that has long voted beside all others,
// with none of them silent, a regular one.
func (n *Node) confirmProvisional() {
	for _, m := range n.config {
		if m.Voter && n.silence(m) > n.timeouts.Stall {
			n.votersHeardSince = n.now.Mono
		}
	}
	if n.now.Mono.Sub(n.votersHeardSince) < longSilence {
		return
	}
	r := slices.Clone(n.config)
	for i := range r {
		if r[i].Voter && r[i].Provisional {
			r[i].Provisional = false
			n.changeConfig(r)
			return
		}
	}
}
