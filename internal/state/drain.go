package state

import (
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// MaxDrains is how many drains may be in force at once.
const MaxDrains = 100

// Target is the worker or the rack that a drain or a calendar is for.
type Target struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
}

// Matches reports whether a worker is the target or stands in the target's rack.
func (t Target) Matches(shard types.Shard, rack types.Rack) bool {
	return t.Shard != "" && t.Shard == shard || t.Rack != "" && t.Rack == rack
}

// Drain is an operator's order that nothing may start on a target. What still runs there
// at the Deadline is stopped; without a Deadline (0) it may end by itself. With Cancel set
// the command ends the target's drain instead.
type Drain struct {
	Target
	Deadline types.ClusterTime `json:"by,omitempty"`
	Cancel   bool              `json:"over,omitempty"`
}

// applyDrain adds, replaces or cancels the drain of a target. The rejection is of the kind
// NotDrained, or QueueFull at the limit.
func (s *State) applyDrain(drain Drain) *apierror.Error {
	sameTarget := func(other Drain) bool { return other.Target == drain.Target }
	if drain.Cancel && !slices.ContainsFunc(s.Drains, sameTarget) {
		return apierror.New(apierror.NotDrained, "", "it is not drained")
	}
	return replaceInList(&s.Drains, drain, sameTarget, drain.Cancel, MaxDrains)
}

// replaceInList drops the items that are the same as the new one, and unless remove is
// set appends the new one. The list itself is not changed but replaced by another. It
// returns a rejection of the kind QueueFull if there would be more than limit items.
func replaceInList[T any](list *[]T, item T, same func(T) bool, remove bool, limit int) *apierror.Error {
	next := slices.DeleteFunc(slices.Clone(*list), same)
	switch {
	case remove:
	case len(next) >= limit:
		return apierror.New(apierror.QueueFull, "", "as many as there may be").WithRetryAfter(time.Minute)
	default:
		next = append(next, item)
	}
	*list = next
	return nil
}
