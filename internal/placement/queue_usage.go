package placement

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// QueueUsage is a queue's settings and its current usage.
type QueueUsage struct {
	Queue        config.Queue
	RunningTasks int
	CoresInUse   types.MilliCores
}

// allows reports whether the queue may run the next tasks of a request.
func (q *QueueUsage) allows(request *Request) bool {
	return q.hasQuota(request) && !q.exceedsCap(request)
}

// hasQuota reports whether the queue's limit on running tasks permits a request.
func (q *QueueUsage) hasQuota(request *Request) bool {
	return q.RunningTasks+request.MinTasks() <= q.Queue.MaxRunning
}

// exceedsCap reports whether a request would use cores that its queue must leave to queues of
// higher priority (Request.MaxQueueCores). A queue that uses no cores may always run one request.
func (q *QueueUsage) exceedsCap(request *Request) bool {
	added := types.MilliCores(request.MinTasks()) * request.Resources.Cores
	return request.MaxQueueCores > 0 && q.CoresInUse > 0 && q.CoresInUse+added > request.MaxQueueCores
}

// shareUse reports whether the queue uses less than its share of the total, and how much it uses:
// as a fraction of its share if so, and otherwise in milli-cores per unit of weight.
func (q *QueueUsage) shareUse(total types.MilliCores) (belowShare bool, use float64) {
	percent := 100 * float64(q.CoresInUse) / float64(max(total, 1))
	if share := float64(q.Queue.SharePercent); percent < share {
		return true, percent / share
	}
	return false, float64(q.CoresInUse) / float64(q.Queue.Weight)
}
