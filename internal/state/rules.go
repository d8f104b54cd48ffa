package state

// What may be taken: the rules for tables, jobs and cancels, each told without
// changing anything, and the budget that all queues share.

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Known tells whether a table is a repeat: it was taken under its version, and
// said just the same.
func (s *State) Known(t config.Table) bool { return s.Past.taken(changeOf(t)) }

// CheckTable tells whether a table may be put now, or is a repeat. It is refused
// only where it surely was not taken earlier.
func (s *State) CheckTable(t config.Table) *apierror.Error {
	if s.Known(t) {
		return nil
	}
	if t.Version != s.Table.Version {
		if next := t.Next().Version; s.Past.forgotten(next) {
			return apierror.New(apierror.Unsure, "edition", fmt.Sprintf("edition %d is older than what is remembered; it may have been taken", next))
		}
		return apierror.New(apierror.Stale, "edition", fmt.Sprintf("based on edition %d, but %d is in force", t.Version, s.Table.Version))
	}
	if t.Becomes != 0 && t.Becomes <= s.Table.Version {
		return apierror.New(apierror.BadField, "becomes", fmt.Sprintf("edition %d is in force", s.Table.Version))
	}
	for i, r := range s.Table.Rows {
		if t.Orphans == config.Finish {
			break
		}
		if _, ok := t.Find(r.Name); !ok && s.held[r.Name].jobs > 0 {
			return apierror.New(apierror.InUse, fmt.Sprintf("queues[%d].name", i),
				fmt.Sprintf("queue %s of the table in force has %d unfinished jobs and may not be left out", r.Name, s.held[r.Name].jobs))
		}
	}
	return nil
}

// CheckJob tells whether a job may be accepted now; known is an earlier one of
// the same id and body.
func (s *State) CheckJob(id types.JobID, spec Spec) (known *Job, bad *apierror.Error) {
	if j := s.Find(id); j != nil {
		if j.Hash != spec.Hash() {
			return nil, apierror.New(apierror.Conflict, "id", "another job has this id")
		}
		return j, nil
	}
	row, ok := s.Table.Find(spec.Queue)
	if !ok {
		return nil, apierror.New(apierror.NoQueue, "queue", "no queue is called "+string(spec.Queue))
	}
	if n := s.held[spec.Queue].jobs; n >= row.Waiting {
		return nil, apierror.New(apierror.Full, "queue", fmt.Sprintf("%d unfinished jobs, as many as the queue may hold", n))
	}
	if bad = s.full(); bad != nil {
		return nil, bad
	}
	return nil, s.afford(spec)
}

// CheckCancel tells whether a job may be cancelled now; repeat is true when it
// already is, which is fine. One that ended otherwise can't be.
func (s *State) CheckCancel(id types.JobID) (repeat bool, bad *apierror.Error) {
	j := s.Find(id)
	switch {
	case j == nil:
		return false, apierror.New(apierror.NoJob, "id", "no such job")
	case j.State == Stopped || j.Halt && !j.Over():
		return true, nil
	case j.Over():
		return false, apierror.New(apierror.Ended, "id", "the job has ended: "+string(j.State))
	}
	return false, nil
}

// held is what a queue's unfinished jobs hold.
type held struct{ jobs, tasks, bytes int }

func (s *State) hold(j *Job, by int) {
	h := s.held[j.Queue]
	s.held[j.Queue] = held{h.jobs + by, h.tasks + by*j.Size, h.bytes + by*j.Bytes}
}

// Held is how many unfinished jobs a queue has.
func (s *State) Held(q types.Queue) int { return s.held[q].jobs }

// afford keeps all unfinished work within the table's budget. Half of it is
// kept apart in equal parts, one a queue, so that a flooded queue leaves every
// other room for its first jobs; the other half is first come, first served.
func (s *State) afford(spec Spec) *apierror.Error {
	for _, c := range []struct {
		what string
		most int
		add  int
		of   func(held) int
	}{
		{"tasks", s.Table.MostTasks(), spec.Total(), func(h held) int { return h.tasks }},
		{"bytes", s.Table.MostBytes(), spec.Bytes(), func(h held) int { return h.bytes }},
	} {
		part := c.most / 2 / max(1, len(s.Table.Rows))
		own := c.of(s.held[spec.Queue]) + c.add
		over := max(0, own-part)
		for q, h := range s.held {
			if q != spec.Queue {
				over += max(0, c.of(h)-part)
			}
		}
		if own > part && over > c.most/2 {
			return apierror.New(apierror.Full, "queue", fmt.Sprintf("the cluster holds as many unfinished %s as it may (%d), and the queue has more than its own part (%d)", c.what, c.most, part))
		}
	}
	return nil
}
