package state

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// queueUsage is what a queue's unfinished jobs hold.
type queueUsage struct{ jobs, tasks, bytes int }

// UnfinishedJobs returns how many unfinished jobs a queue has.
func (s *State) UnfinishedJobs(queue types.QueueName) int { return s.index.usage[queue].jobs }

// UnfinishedOverRate returns how many unfinished jobs of a tenant are over its rate.
func (s *State) UnfinishedOverRate(tenant types.TenantName) int {
	return s.index.tenants[tenant].overRate
}

// budget is one of the limits on all unfinished work.
type budget struct {
	unit  string
	limit int
	added int                  // by the job that is to be accepted
	used  func(queueUsage) int // by a queue's unfinished jobs
}

// checkBudget rejects a job with which the unfinished work would exceed the table's
// limits.
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

// checkOneBudget keeps unfinished work within one limit. Half of the limit is reserved in
// equal parts for the queues of the table, so that a flooded queue leaves every other one
// capacity for its first jobs; the other half is first come, first served.
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
		"the cluster holds as many unfinished %s as it may (%d), and the queue has more than its own part (%d)",
		b.unit, b.limit, reserved))
}
