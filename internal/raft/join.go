package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// DiscoveredPeer is a controller as the membership shows it; ClusterName is empty when it
// has no cluster.
type DiscoveredPeer struct {
	Member
	ClusterName string
}

// discovery is what a member knows of other daemons apart from the log.
type discovery struct {
	peers          []DiscoveredPeer
	nonControllers []types.Addr // daemons of other roles
	lastRequestAt  types.MonoTime
}

// sinceLastRequest is how long ago a cluster was last looked for.
func (d *discovery) sinceLastRequest(now types.MonoTime) time.Duration {
	return now.Sub(d.lastRequestAt)
}

// clusterExists tells whether some controller has a cluster.
func (d *discovery) clusterExists() bool {
	return slices.ContainsFunc(d.peers, func(p DiscoveredPeer) bool { return p.ClusterName != "" })
}

// SetDiscoveredPeers tells which other controllers are healthy now and, while there is no
// cluster, where daemons of other roles are.
func (n *Node) SetDiscoveredPeers(peers []DiscoveredPeer, nonControllers []types.Addr) {
	n.discovery.peers, n.discovery.nonControllers = peers, nonControllers
}

// joinRequestDue tells whether it is time to ask if this node still is a member, or to ask
// to be added again. A node that is about to stop asks sooner: it may stop once it has been
// removed, and the leader sends nothing to a member that it has removed.
func (n *Node) joinRequestDue() bool {
	wait := n.timeouts.ReplaceAfter / 2
	if n.daemon.stopping {
		wait = n.timeouts.MinElectionTimeout
	}
	switch {
	case n.role == roleEmpty || n.role == roleRemoved && n.daemon.stopping:
		return false
	case n.role != roleRemoved && n.leaderContact.silentFor(n.now.Mono) <= wait:
		return false
	}
	return n.discovery.sinceLastRequest(n.now.Mono) > min(wait, n.timeouts.StallTimeout)
}

// requestJoin asks every discovered controller that has a cluster to add this node; false
// if there is none. A voter that has heard no leader for long asks whether it still is a
// member, since all members that it knows of may have been replaced.
func (n *Node) requestJoin() bool {
	n.discovery.lastRequestAt = n.now.Mono
	self := n.self
	self.Provisional = self.Provisional || n.clusterName != ""
	wasVoter := n.role == roleFollower || n.role == roleCandidate
	clusterExists := false
	for _, peer := range n.discovery.peers {
		if peer.ClusterName == "" || n.clusterName != "" && n.clusterName != peer.ClusterName {
			continue
		}
		clusterExists = true
		n.send(peer.Addr, wire.JoinRequest, joinRequest{
			ClusterName: peer.ClusterName,
			Member:      self,
			WasVoter:    wasVoter,
		})
	}
	return clusterExists
}

// onJoinRequest adds a learner to the configuration, or tells a former voter that it was
// removed.
func (n *Node) onJoinRequest(from types.Addr, request joinRequest) {
	if n.role != roleLeader || request.ClusterName != n.clusterName || !n.canChangeConfiguration() {
		return
	}
	if request.WasVoter {
		n.notifyRemoved(from, request.Member.ID)
		return
	}
	if _, ok := n.log.config.Find(request.Member.ID); ok || len(n.log.config) >= maxMembers {
		return
	}
	request.Member.Voter = false
	n.proposeConfiguration(n.log.config.with(request.Member))
}

// notifyRemoved tells a daemon that it is no member, if it isn't and this leader can be
// sure of that: nobody else can lead now, and no change is under way.
func (n *Node) notifyRemoved(to types.Addr, id types.ID) bool {
	if _, ok := n.log.config.Find(id); ok || !n.HoldsReadLease() || !n.canChangeConfiguration() {
		return false
	}
	n.send(to, wire.Removed, removedNotice{ClusterName: n.clusterName, MemberID: id, CommitIndex: n.log.commitIndex})
	return true
}

// onRemoved makes this node take no part any more, unless it knows more than the sender.
func (n *Node) onRemoved(_ types.Addr, notice removedNotice) {
	meant := notice.ClusterName == n.clusterName && notice.MemberID == n.self.ID
	if !meant || n.role == roleLeader || notice.CommitIndex < n.log.commitIndex {
		return
	}
	n.role = roleRemoved
	n.roleReason = "removed from the configuration; asking to join again"
}
