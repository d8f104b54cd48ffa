// Whose turn it is: queues without aims by priority, share and weight; work of
// queues whose jobs have aims by what it gains.
package placement

import (
	"sort"

	"coppercourse/internal/types"
)

func groupByQueue(requests []Request, usage map[types.QueueName]*QueueUsage) (turns []*queueTurn) {
	byQueue := map[types.QueueName]*queueTurn{}
	for _, request := range requests {
		if len(request.Tasks) == 0 {
			continue
		}
		t := byQueue[request.Queue]
		if t == nil {
			queueUsage := usage[request.Queue]
			if queueUsage == nil {
				continue
			}
			t = &queueTurn{usage: queueUsage}
			byQueue[request.Queue], turns = t, append(turns, t)
		}
		t.requests = append(t.requests, request)
	}
	for _, t := range turns {
		sort.SliceStable(t.requests, func(i, k int) bool {
			a, b := &t.requests[i], &t.requests[k]
			return a.Urgency > b.Urgency || a.Urgency == b.Urgency && t.usage.Queue.HasLatencyTarget() && smallerSortKey(a, b)
		})
	}
	return
}

// TargetClass is what a job can still be worth.
type TargetClass int

const (
	OnTarget     TargetClass = iota // it can be done within its aim
	Late                            // within three times that
	TargetMissed                    // it can't
)

// priorityPenalty is how far a class puts work behind that of other queues that is in aim.
var priorityPenalty = map[TargetClass]int{OnTarget: 0, Late: 2, TargetMissed: 6}

func (r *Request) effectivePriority(usage *QueueUsage) int {
	return usage.Queue.Priority + priorityPenalty[r.Class]
}

// smallerSortKey puts what can still meet its aim before what can't.
func smallerSortKey(a, b *Request) bool {
	return a.SortKey < b.SortKey
}

// nextQueue is the queue whose turn it is: by priority; then those below their share,
// the one furthest below before the others; then by cores in use for each weight.
// Queues whose jobs have aims stand together, at the place of the first of them, and
// of those it is the one with the lowest turn, which has their priority in it.
func nextQueue(turns []*queueTurn, total types.MilliCores) *queueTurn {
	var withoutTarget, withTarget *queueTurn
	bestPriority := 0 // the best rank of those with aims
	for _, t := range turns {
		if len(t.requests) == 0 {
			continue
		}
		if priority := t.requests[0].effectivePriority(t.usage); t.usage.Queue.HasLatencyTarget() {
			if withTarget == nil || priority < bestPriority {
				bestPriority = priority
			}
			if withTarget == nil || smallerSortKey(&t.requests[0], &withTarget.requests[0]) {
				withTarget = t
			}
		} else if withoutTarget == nil || t.goesBefore(withoutTarget, priority, withoutTarget.requests[0].effectivePriority(withoutTarget.usage), total) {
			withoutTarget = t
		}
	}
	if withTarget == nil || withoutTarget != nil && withoutTarget.goesBefore(withTarget, withoutTarget.requests[0].effectivePriority(withoutTarget.usage), bestPriority, total) {
		return withoutTarget
	}
	return withTarget
}

// goesBefore compares two queues by the ranks that they have.
func (q *queueTurn) goesBefore(o *queueTurn, priority, otherPriority int, total types.MilliCores) bool {
	if priority != otherPriority {
		return priority < otherPriority
	}
	a, x := q.usage.shareDeficit(total)
	b, y := o.usage.shareDeficit(total)
	return a && !b || a == b && x < y
}

// shareDeficit tells whether a queue is below its share, and how little it has.
func (q *QueueUsage) shareDeficit(total types.MilliCores) (bool, float64) {
	percent := 100 * float64(q.CoresInUse) / float64(max(total, 1))
	if s := float64(q.Queue.SharePercent); percent < s {
		return true, percent / s
	}
	return false, float64(q.CoresInUse) / float64(q.Queue.Weight)
}
