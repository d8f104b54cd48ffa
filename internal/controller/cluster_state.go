package controller

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// clusterState implements scheduler.ClusterState on the replicated state and the member list.
type clusterState struct {
	log     *commandLog
	members *membership.MemberList
}

// UnresolvedAttempts lists the lost attempts of a shard whose actual ends are not known yet.
func (c clusterState) UnresolvedAttempts(shard types.Shard) []types.AttemptID {
	return c.log.state().UnresolvedAttempts(shard)
}

// ZonePartitioned reports whether the whole zone of a shard is silent.
func (c clusterState) ZonePartitioned(shard types.Shard) bool {
	return c.members.ZonePartitioned(string(shard))
}

// CalledByAgent reports whether the agent of a shard calls its worker, rather than being polled by it.
func (c clusterState) CalledByAgent(shard types.Shard) bool {
	return c.log.state().WorkerShapes[shard].CalledByAgent
}

// EndRecorded reports whether an end is already recorded in the state or no longer needed there.
func (c clusterState) EndRecorded(end state.AttemptEnd) bool {
	return endRecorded(c.log.state(), end)
}
