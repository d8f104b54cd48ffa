package controller

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// describe returns this controller's information for the membership.
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

// Ready reports whether the platform may send callers here: this controller leads, or
// knows who does.
func (c *Controller) Ready() bool {
	if c.shutdown.inProgress() || c.diskError != nil || c.log.isLoading() || c.raft.ClusterName() == "" {
		return false
	}
	if c.raft.IsLeader() {
		return c.raft.HoldsReadLease()
	}
	return c.raft.LeaderAddr() != ""
}

// discoveredPeers lists the controllers that were discovered and may be members of a cluster.
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

// foundersInOtherRoles lists, while no cluster is known, the founders that turn out to be
// other daemons than controllers; bootstrap does not wait for those.
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
