package state

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// Bounds on the jobs that are remembered in full after their end. Beyond them only a
// tombstone stays.
const (
	EndedJobAge   = 30 * time.Minute
	EndedJobLimit = 20_000
)

// compactionSlack is by how many jobs the ordered list of live jobs may exceed twice their
// number before the ended ones are removed from it.
const compactionSlack = 1024

// jobIndex lists the jobs that are remembered in full, the live ones apart from those that
// have ended. It is derived from the jobs and not stored.
type jobIndex struct {
	live    map[types.JobID]*Job
	inOrder []*Job                         // the live ones, oldest first, and some that have ended since
	ended   []*Job                         // in the order of their ends
	usage   map[types.QueueName]queueUsage // what the live jobs of each queue hold
}

// newJobIndex lists jobs.
func newJobIndex(jobs map[types.JobID]*Job) jobIndex {
	x := jobIndex{live: map[types.JobID]*Job{}, usage: map[types.QueueName]queueUsage{}}
	for _, j := range jobs {
		if j.Ended() {
			x.ended = append(x.ended, j)
		} else {
			x.add(j)
		}
	}
	slices.SortFunc(x.inOrder, func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
	slices.SortFunc(x.ended, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Seq, b.Seq))
	})
	return x
}

// add adds a live job, the newest of all.
func (x *jobIndex) add(j *Job) {
	x.live[j.ID] = j
	x.inOrder = append(x.inOrder, j)
	x.addUsage(j, 1)
}

// end moves a job that has just ended to the ended ones.
func (x *jobIndex) end(j *Job) {
	delete(x.live, j.ID)
	x.ended = append(x.ended, j)
	x.addUsage(j, -1)
}

// addUsage adds a job to its queue's usage, or removes it with sign -1.
func (x *jobIndex) addUsage(j *Job, sign int) {
	usage := x.usage[j.Queue]
	usage.jobs += sign
	usage.tasks += sign * j.TaskCount
	usage.bytes += sign * j.ApproxBytes
	x.usage[j.Queue] = usage
}

// liveInOrder returns the live jobs, oldest first. The list is valid until the next change.
func (x *jobIndex) liveInOrder() []*Job {
	live := x.inOrder[:0]
	for _, j := range x.inOrder {
		if !j.Ended() {
			live = append(live, j)
		}
	}
	x.inOrder = live
	return live
}

// compact removes ended jobs from the ordered list if there are many.
func (x *jobIndex) compact() {
	if len(x.inOrder) > 2*len(x.live)+compactionSlack {
		x.liveInOrder()
	}
}

// popExpired removes the job that ended first and returns it, if it is beyond the bounds
// on ended jobs; otherwise it returns nil.
func (x *jobIndex) popExpired(now types.ClusterTime) *Job {
	if len(x.ended) == 0 {
		return nil
	}
	oldest := x.ended[0]
	if len(x.ended) <= EndedJobLimit && now.Sub(oldest.EndedAt) <= EndedJobAge {
		return nil
	}
	x.ended = x.ended[1:]
	return oldest
}

// closeIfEnded moves a job that has just ended from the live jobs to the ended ones.
func (s *State) closeIfEnded(j *Job) {
	if !j.Ended() || s.index.live[j.ID] == nil {
		return
	}
	s.index.end(j)
	s.queueCounts(j.Queue).jobEnded(j.Status)
}

// expireEndedJobs replaces ended jobs beyond the bounds by tombstones and drops
// tombstones that are old enough.
func (s *State) expireEndedJobs() {
	for j := s.index.popExpired(s.Time); j != nil; j = s.index.popExpired(s.Time) {
		delete(s.Jobs, j.ID)
		s.tombstones.add(j)
	}
	s.tombstones.expire(s.Time)
	s.index.compact()
}
