package placement

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// QueueUsage is a queue's settings and what it has in use.
type QueueUsage struct {
	Queue        config.Queue
	RunningTasks int
	CoresInUse   types.MilliCores
}

// allows reports whether the queue may run the next tasks of a request.
func (q *QueueUsage) allows(request *Request) bool {
	return q.hasQuota(request) && !q.exceedsCap(request)
}

// hasQuota reports whether the queue's limit on running tasks allows a request.
func (q *QueueUsage) hasQuota(request *Request) bool {
	return q.RunningTasks+request.MinTasks() <= q.Queue.MaxRunning
}

// exceedsCap reports whether a request would take cores that its queue must leave to
// queues of higher priority. A queue that runs nothing may always run something.
func (q *QueueUsage) exceedsCap(request *Request) bool {
	added := types.MilliCores(request.MinTasks()) * request.Resources.Cores
	return request.MaxQueueCores > 0 && q.CoresInUse > 0 && q.CoresInUse+added > request.MaxQueueCores
}

// shareUse returns whether the queue has less than its share of the total in use, and how
// much it uses: as a part of its share if so, and else as milli-cores per weight.
func (q *QueueUsage) shareUse(total types.MilliCores) (belowShare bool, use float64) {
	percent := 100 * float64(q.CoresInUse) / float64(max(total, 1))
	if share := float64(q.Queue.SharePercent); percent < share {
		return true, percent / share
	}
	return false, float64(q.CoresInUse) / float64(q.Queue.Weight)
}
