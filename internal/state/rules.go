package state

// What may be taken: the rules for tables, jobs and cancels, each told without
// changing anything, and the budget that all queues share.

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// IsRepeat tells whether a table is a repeat: it was taken under its version, and
// said just the same.
func (s *State) IsRepeat(table config.Table) bool { return s.History.contains(changeOf(table)) }

// CheckTable tells whether a table may be put now, or is a repeat. It is refused
// only where it surely was not taken earlier.
func (s *State) CheckTable(table config.Table) *apierror.Error {
	if s.IsRepeat(table) {
		return nil
	}
	if table.Version != s.Table.Version {
		if next := table.Accepted().Version; s.History.mayHaveForgotten(next) {
			return apierror.New(apierror.OutcomeUnknown, "edition", fmt.Sprintf("edition %d is older than what is remembered; it may have been taken", next))
		}
		return apierror.New(apierror.StaleVersion, "edition", fmt.Sprintf("based on edition %d, but %d is in force", table.Version, s.Table.Version))
	}
	if table.RequestedVersion != 0 && table.RequestedVersion <= s.Table.Version {
		return apierror.New(apierror.BadField, "becomes", fmt.Sprintf("edition %d is in force", s.Table.Version))
	}
	for i, queue := range s.Table.Queues {
		if table.Orphans == config.FinishOrphans {
			break
		}
		if _, ok := table.FindQueue(queue.Name); !ok && s.usage[queue.Name].jobs > 0 {
			return apierror.New(apierror.QueueInUse, fmt.Sprintf("queues[%d].name", i),
				fmt.Sprintf("queue %s of the table in force has %d unfinished jobs and may not be left out", queue.Name, s.usage[queue.Name].jobs))
		}
	}
	return nil
}

// CheckJob tells whether a job may be accepted now; known is an earlier one of
// the same id and body.
func (s *State) CheckJob(id types.JobID, spec Spec) (known *Job, refusal *apierror.Error) {
	if j := s.Find(id); j != nil {
		if j.Hash != spec.Hash() {
			return nil, apierror.New(apierror.IDInUse, "id", "another job has this id")
		}
		return j, nil
	}
	queue, ok := s.Table.FindQueue(spec.Queue)
	if !ok {
		return nil, apierror.New(apierror.NoSuchQueue, "queue", "no queue is called "+string(spec.Queue))
	}
	if n := s.usage[spec.Queue].jobs; n >= queue.MaxUnfinished {
		return nil, apierror.New(apierror.QueueFull, "queue", fmt.Sprintf("%d unfinished jobs, as many as the queue may hold", n))
	}
	if refusal = s.checkIDLimit(); refusal != nil {
		return nil, refusal
	}
	return nil, s.checkBudget(spec)
}

// CheckCancel tells whether a job may be cancelled now; repeat is true when it
// already is, which is fine. One that ended otherwise can't be.
func (s *State) CheckCancel(id types.JobID) (repeat bool, refusal *apierror.Error) {
	j := s.Find(id)
	switch {
	case j == nil:
		return false, apierror.New(apierror.NoSuchJob, "id", "no such job")
	case j.Status == JobCancelled || j.CancelRequested && !j.Ended():
		return true, nil
	case j.Ended():
		return false, apierror.New(apierror.AlreadyEnded, "id", "the job has ended: "+string(j.Status))
	}
	return false, nil
}

// queueUsage is what a queue's unfinished jobs hold.
type queueUsage struct{ jobs, tasks, bytes int }

func (s *State) addUsage(j *Job, sign int) {
	usage := s.usage[j.Queue]
	s.usage[j.Queue] = queueUsage{usage.jobs + sign, usage.tasks + sign*j.TaskCount, usage.bytes + sign*j.ApproxBytes}
}

// UnfinishedJobs is how many unfinished jobs a queue has.
func (s *State) UnfinishedJobs(queue types.QueueName) int { return s.usage[queue].jobs }

// checkBudget keeps all unfinished work within the table's budget. Half of it is
// kept apart in equal parts, one a queue, so that a flooded queue leaves every
// other room for its first jobs; the other half is first come, first served.
func (s *State) checkBudget(spec Spec) *apierror.Error {
	for _, budget := range []struct {
		what string
		most int
		add  int
		of   func(queueUsage) int
	}{
		{"tasks", s.Table.TaskLimit(), spec.TotalTasks(), func(usage queueUsage) int { return usage.tasks }},
		{"bytes", s.Table.ByteLimit(), spec.ApproxBytes(), func(usage queueUsage) int { return usage.bytes }},
	} {
		reserved := budget.most / 2 / max(1, len(s.Table.Queues))
		own := budget.of(s.usage[spec.Queue]) + budget.add
		beyondReserved := max(0, own-reserved)
		for queue, usage := range s.usage {
			if queue != spec.Queue {
				beyondReserved += max(0, budget.of(usage)-reserved)
			}
		}
		if own > reserved && beyondReserved > budget.most/2 {
			return apierror.New(apierror.QueueFull, "queue", fmt.Sprintf("the cluster holds as many unfinished %s as it may (%d), and the queue has more than its own part (%d)", budget.what, budget.most, reserved))
		}
	}
	return nil
}
