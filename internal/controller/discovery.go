package controller

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// describe returns this controller's entry in the member list.
func (c *Controller) describe() membership.MemberInfo {
	return membership.MemberInfo{
		Addr:        c.options.Addr,
		ID:          c.raft.ID(),
		Role:        membership.RoleController,
		Zone:        c.options.Zone,
		ClusterName: c.raft.ClusterName(),
		Term:        c.raft.Term(),
		Leads:       c.raft.IsLeader() && !c.shutdown.inProgress(),
		Detail:      c.raft.Role(),
		Ready:       c.Ready(),
		Build:       c.options.Build,
	}
}

// Ready reports whether callers may be routed to this controller: it leads with a read lease, or
// knows the leader.
func (c *Controller) Ready() bool {
	if c.shutdown.inProgress() || c.diskError != nil || c.log.isLoading() || c.raft.ClusterName() == "" {
		return false
	}
	if c.raft.IsLeader() {
		return c.raft.HoldsReadLease()
	}
	return c.raft.LeaderAddr() != ""
}

// discoveredPeers lists the discovered controllers that may be members of a cluster.
func (c *Controller) discoveredPeers() []raft.DiscoveredPeer {
	var peers []raft.DiscoveredPeer
	for _, info := range c.members.Controllers() {
		if info.ID != "" && info.Detail != raft.RoleRemoved {
			member := raft.Member{ID: info.ID, Addr: info.Addr, Zone: info.Zone}
			peers = append(peers, raft.DiscoveredPeer{Member: member, ClusterName: info.ClusterName})
		}
	}
	return peers
}

// foundersInOtherRoles lists the configured founders that have another role than controller;
// bootstrap does not wait for those. It returns nil once a cluster is known.
func (c *Controller) foundersInOtherRoles() []types.Addr {
	if c.raft.ClusterName() != "" {
		return nil
	}
	var others []types.Addr
	for _, addr := range c.options.Bootstrap.Founders {
		if role := c.members.RoleOf(addr); role != "" && role != membership.RoleController {
			others = append(others, addr)
		}
	}
	return others
}
