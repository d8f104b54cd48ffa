package controller

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// clusterState answers the scheduler from the replicated state and the membership; it
// is the controller's scheduler.ClusterState.
type clusterState struct {
	log     *commandLog
	members *membership.MemberList
}

// UnresolvedAttempts lists the attempts that were lost on a shard and whose true ends
// are still awaited.
func (c clusterState) UnresolvedAttempts(shard types.Shard) []types.AttemptID {
	return c.log.state().UnresolvedAttempts(shard)
}

// ZonePartitioned reports whether a shard is silent together with its whole zone.
func (c clusterState) ZonePartitioned(shard types.Shard) bool {
	return c.members.ZonePartitioned(string(shard))
}

// CalledByAgent reports whether a shard's worker is called by its agent.
func (c clusterState) CalledByAgent(shard types.Shard) bool {
	return c.log.state().WorkerShapes[shard].CalledByAgent
}

// EndRecorded reports whether the state already has an end, or has no use for it.
func (c clusterState) EndRecorded(end state.AttemptEnd) bool {
	return endRecorded(c.log.state(), end)
}
