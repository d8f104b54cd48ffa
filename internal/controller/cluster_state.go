package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// clusterState answers the scheduler from the replicated state and the membership; it
// is the controller's scheduler.ClusterState.
type clusterState struct{ controller *Controller }

// UnresolvedAttempts lists the attempts that were lost on a shard and whose true ends
// are still awaited.
func (cl clusterState) UnresolvedAttempts(shard types.Shard) []types.AttemptID {
	return cl.controller.state.UnresolvedAttempts(shard)
}

// ZonePartitioned reports whether a shard is silent together with its whole zone.
func (cl clusterState) ZonePartitioned(shard types.Shard) bool {
	return cl.controller.members.ZonePartitioned(string(shard))
}

// CalledByAgent reports whether a shard's worker is called by its agent.
func (cl clusterState) CalledByAgent(shard types.Shard) bool {
	return cl.controller.state.WorkerShapes[shard].CalledByAgent
}

// EndRecorded reports whether the state already has an end, or has no use for it.
func (cl clusterState) EndRecorded(end state.AttemptEnd) bool {
	return cl.controller.endRecorded(end)
}
