package placement

import (
	"sort"

	"coppercourse/internal/types"
)

// queueTurn is a queue that takes turns, with its requests in their order.
type queueTurn struct {
	usage    *QueueUsage
	requests []Request // still to be looked at
}

// groupByQueue returns the queues that have requests, in the order of their oldest ones.
// Within a queue the more urgent requests go first, then with a latency target those of
// the lower sort key, then the older ones. Without a target the jobs over their tenant's
// rate go behind all others, whose turn they must not delay.
func groupByQueue(requests []Request, usage map[types.QueueName]*QueueUsage) []*queueTurn {
	var turns []*queueTurn
	byQueue := map[types.QueueName]*queueTurn{}
	for i := range requests {
		request := &requests[i]
		if len(request.Tasks) == 0 || usage[request.Queue] == nil {
			continue
		}
		turn := byQueue[request.Queue]
		if turn == nil {
			turn = &queueTurn{usage: usage[request.Queue]}
			byQueue[request.Queue] = turn
			turns = append(turns, turn)
		}
		turn.requests = append(turn.requests, *request)
	}
	for _, turn := range turns {
		hasTarget := turn.usage.Queue.HasLatencyTarget()
		sort.SliceStable(turn.requests, func(i, k int) bool {
			a, b := &turn.requests[i], &turn.requests[k]
			if !hasTarget && a.Class != b.Class {
				return a.Class < b.Class
			}
			if a.Urgency != b.Urgency {
				return a.Urgency > b.Urgency
			}
			return hasTarget && a.SortKey < b.SortKey
		})
	}
	return turns
}

// nextQueue returns the queue whose turn it is, or nil if none has requests. Queues with
// a latency target take part as one, with the best priority among them; of these it is
// the one with the lowest sort key, which has their priorities in it.
func nextQueue(turns []*queueTurn, total types.MilliCores) *queueTurn {
	var withTarget, withoutTarget *queueTurn
	targetPriority := 0
	for _, turn := range turns {
		if len(turn.requests) == 0 {
			continue
		}
		priority := turn.priority()
		if !turn.usage.Queue.HasLatencyTarget() {
			if withoutTarget == nil || turn.precedes(withoutTarget, priority, withoutTarget.priority(), total) {
				withoutTarget = turn
			}
			continue
		}
		if withTarget == nil || priority < targetPriority {
			targetPriority = priority
		}
		if withTarget == nil || turn.requests[0].SortKey < withTarget.requests[0].SortKey {
			withTarget = turn
		}
	}
	switch {
	case withTarget == nil:
		return withoutTarget
	case withoutTarget == nil:
		return withTarget
	case withoutTarget.precedes(withTarget, withoutTarget.priority(), targetPriority, total):
		return withoutTarget
	}
	return withTarget
}

// priority returns the priority of the queue's first request.
func (q *queueTurn) priority() int { return q.requests[0].effectivePriority(q.usage) }

// precedes reports whether a queue goes before another: by priority; then queues below
// their share before others, those furthest below first; then the one that uses fewer
// cores for its weight.
func (q *queueTurn) precedes(other *queueTurn, priority, otherPriority int, total types.MilliCores) bool {
	if priority != otherPriority {
		return priority < otherPriority
	}
	below, use := q.usage.shareUse(total)
	otherBelow, otherUse := other.usage.shareUse(total)
	if below != otherBelow {
		return below
	}
	return use < otherUse
}
