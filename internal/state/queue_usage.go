package state

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// queueUsage is the usage of a queue's unfinished jobs.
type queueUsage struct{ jobs, tasks, bytes int }

// UnfinishedJobs returns the number of unfinished jobs of a queue.
func (s *State) UnfinishedJobs(queue types.QueueName) int { return s.index.usage[queue].jobs }

// UnfinishedOverRate returns the number of unfinished jobs of a tenant that were submitted
// over its rate.
func (s *State) UnfinishedOverRate(tenant types.TenantName) int {
	return s.index.tenants[tenant].overRate
}

// budget is one of the limits on the unfinished work of all queues.
type budget struct {
	unit  string
	limit int
	added int                  // by the job to be accepted
	used  func(queueUsage) int // by a queue's unfinished jobs
}

// checkBudget rejects a job that would raise the unfinished work above the table's limits.
func (s *State) checkBudget(spec Spec) *apierror.Error {
	tasks := budget{
		unit:  "tasks",
		limit: s.Table.TaskLimit(),
		added: spec.TotalTasks(),
		used:  func(usage queueUsage) int { return usage.tasks },
	}
	if rejection := s.checkOneBudget(spec.Queue, tasks); rejection != nil {
		return rejection
	}
	bytes := budget{
		unit:  "bytes",
		limit: s.Table.ByteLimit(),
		added: spec.ApproxBytes(),
		used:  func(usage queueUsage) int { return usage.bytes },
	}
	return s.checkOneBudget(spec.Queue, bytes)
}

// checkOneBudget rejects a job that would exceed one limit. Half of the limit is reserved in
// equal parts for the queues of the table, so that an overloaded queue leaves capacity for the
// first jobs of every other one; the other half is first come, first served.
func (s *State) checkOneBudget(name types.QueueName, b budget) *apierror.Error {
	shared := b.limit / 2
	reserved := b.limit / 2 / max(1, len(s.Table.Queues))
	own := b.used(s.index.usage[name]) + b.added
	if own <= reserved {
		return nil
	}
	sharedUse := own - reserved
	for queue, usage := range s.index.usage {
		if queue != name {
			sharedUse += max(0, b.used(usage)-reserved)
		}
	}
	if sharedUse <= shared {
		return nil
	}
	return apierror.New(apierror.QueueFull, "queue", fmt.Sprintf(
		"the cluster is at its limit of unfinished %s (%d), and the queue exceeds its reserved part (%d)",
		b.unit, b.limit, reserved))
}
