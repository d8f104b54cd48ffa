package state

import (
	"fmt"
	"maps"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// IsRepeat reports whether a table was accepted before, under its version and with the
// same content.
func (s *State) IsRepeat(table config.Table) bool { return s.History.contains(changeOf(table)) }

// CheckTable reports why a table is rejected, or nil if it may be put in force now or is
// a repeat. It is rejected as stale (StaleVersion) only where it surely was not accepted
// earlier; where that is forgotten, the kind is OutcomeUnknown. A version that is requested
// and not above the one in force is a BadField, a queue left out that has unfinished jobs
// is QueueInUse.
func (s *State) CheckTable(table config.Table) *apierror.Error {
	if s.IsRepeat(table) {
		return nil
	}
	if table.Version != s.Table.Version {
		if next := table.Accepted().Version; s.History.mayHaveTrimmed(next) {
			return apierror.New(apierror.OutcomeUnknown, "edition",
				fmt.Sprintf("edition %d is older than what is remembered; it may have been taken", next))
		}
		return apierror.New(apierror.StaleVersion, "edition",
			fmt.Sprintf("based on edition %d, but %d is in force", table.Version, s.Table.Version))
	}
	if table.RequestedVersion != 0 && table.RequestedVersion <= s.Table.Version {
		return apierror.New(apierror.BadField, "becomes", fmt.Sprintf("edition %d is in force", s.Table.Version))
	}
	if table.Orphans == config.FinishOrphans {
		return nil
	}
	return s.checkRemovedQueues(table)
}

// checkRemovedQueues rejects a table that leaves out a queue with unfinished jobs.
func (s *State) checkRemovedQueues(table config.Table) *apierror.Error {
	for i, queue := range s.Table.Queues {
		jobs := s.index.usage[queue.Name].jobs
		if _, ok := table.FindQueue(queue.Name); ok || jobs == 0 {
			continue
		}
		return apierror.New(apierror.QueueInUse, fmt.Sprintf("queues[%d].name", i),
			fmt.Sprintf("queue %s of the table in force has %d unfinished jobs and may not be left out",
				queue.Name, jobs))
	}
	return nil
}

// applyTable puts a table in force unless CheckTable rejects it. It is idempotent.
func (s *State) applyTable(table config.Table) *apierror.Error {
	if rejection := s.CheckTable(table); rejection != nil {
		return rejection
	}
	if s.IsRepeat(table) {
		return nil
	}
	s.retainRemovedQueues(table)
	s.retainRemovedTenants(table)
	s.Table = table.Accepted()
	s.History.add(changeOf(table))
	s.failExhaustedTasks()
	return nil
}

// retainRemovedQueues keeps the settings of queues that have unfinished jobs and are not in
// the next table.
func (s *State) retainRemovedQueues(next config.Table) {
	removed := maps.Clone(s.RemovedQueues)
	if removed == nil {
		removed = map[types.QueueName]config.Queue{}
	}
	for _, queue := range s.Table.Queues {
		removed[queue.Name] = queue
	}
	for name := range removed {
		if _, ok := next.FindQueue(name); ok || s.index.usage[name].jobs == 0 {
			delete(removed, name)
		}
	}
	s.RemovedQueues = removed
}

// failExhaustedTasks fails the tasks to which a new table leaves no further attempt.
func (s *State) failExhaustedTasks() {
	for _, job := range s.LiveJobs() {
		if job.Status != JobOpen {
			continue
		}
		s.beforeChange(job)
		queue := s.effectiveQueueConfig(job.Queue)
		for i := range job.Tasks {
			job.failIfExhausted(&job.Tasks[i], queue)
		}
		job.updateStatus(s.Time)
		s.moveIfEnded(job)
	}
}

// QueueConfig returns the settings by which a queue's jobs run: those of the table, or
// the last ones of a queue that was left out while it had unfinished jobs.
func (s *State) QueueConfig(name types.QueueName) (queue config.Queue, ok bool) {
	if queue, ok := s.Table.FindQueue(name); ok {
		return queue, true
	}
	queue, ok = s.RemovedQueues[name]
	return queue, ok
}

// effectiveQueueConfig is QueueConfig with settings for a queue that is not known: its
// tasks fail with their first failure.
func (s *State) effectiveQueueConfig(name types.QueueName) config.Queue {
	queue, ok := s.QueueConfig(name)
	if !ok {
		queue.MaxFailures = 1
	}
	return queue
}
