package state

import (
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// MaxDrains is the maximum number of drains in force at once.
const MaxDrains = 100

// Target is the worker or the rack to which a drain or a calendar applies.
type Target struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
}

// Matches reports whether a worker is the target or is in the target's rack.
func (t Target) Matches(shard types.Shard, rack types.Rack) bool {
	return t.Shard != "" && t.Shard == shard || t.Rack != "" && t.Rack == rack
}

// Drain is an operator's order that no attempt may start on a target. Attempts that still
// run there at the Deadline are stopped; without a Deadline (0) they run to their end. With
// Cancel set, the command ends the target's drain instead.
type Drain struct {
	Target
	Deadline types.ClusterTime `json:"by,omitempty"`
	Cancel   bool              `json:"over,omitempty"`
}

// applyDrain adds, replaces or cancels the drain of a target. The rejection is of the kind
// NotDrained, or QueueFull at MaxDrains.
func (s *State) applyDrain(drain Drain) *apierror.Error {
	sameTarget := func(other Drain) bool { return other.Target == drain.Target }
	if drain.Cancel && !slices.ContainsFunc(s.Drains, sameTarget) {
		return apierror.New(apierror.NotDrained, "", "it is not drained")
	}
	return replaceInList(&s.Drains, drain, sameTarget, drain.Cancel, MaxDrains)
}

// replaceInList removes the items for which same is true and, unless remove is set, appends
// the new item. It replaces the list with a modified copy. It returns a rejection of the kind
// QueueFull if the list would exceed limit items.
func replaceInList[T any](list *[]T, item T, same func(T) bool, remove bool, limit int) *apierror.Error {
	next := slices.DeleteFunc(slices.Clone(*list), same)
	switch {
	case remove:
	case len(next) >= limit:
		return apierror.New(apierror.QueueFull, "", "the maximum number is reached").WithRetryAfter(time.Minute)
	default:
		next = append(next, item)
	}
	*list = next
	return nil
}
