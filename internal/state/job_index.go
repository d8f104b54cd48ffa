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
	EndedJobLimit = 20_000 // jobs
)

// compactionSlack is by how many jobs the ordered list of live jobs may exceed twice their
// number before the ended ones are removed from it.
const compactionSlack = 1024

// jobIndex lists the jobs that are remembered in full, the live ones apart from those that
// have ended. It is derived from the jobs and not stored.
type jobIndex struct {
	live    map[types.JobID]*Job
	inOrder []*Job                          // the live ones, oldest first, and some that have ended since
	ended   []*Job                          // in the order of their ends
	usage   map[types.QueueName]queueUsage  // what the live jobs of each queue hold
	tenants map[types.TenantName]tenantJobs // the live jobs of each tenant; none without one
}

// tenantJobs counts the live jobs of one tenant.
type tenantJobs struct {
	unfinished int
	overRate   int // those of them over its rate; see Job.OverRate
}

// newJobIndex lists jobs.
func newJobIndex(jobs map[types.JobID]*Job) jobIndex {
	ji := jobIndex{
		live:    map[types.JobID]*Job{},
		usage:   map[types.QueueName]queueUsage{},
		tenants: map[types.TenantName]tenantJobs{},
	}
	for _, job := range jobs {
		if job.Ended() {
			ji.ended = append(ji.ended, job)
		} else {
			ji.add(job)
		}
	}
	slices.SortFunc(ji.inOrder, func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
	slices.SortFunc(ji.ended, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Seq, b.Seq))
	})
	return ji
}

// add adds a live job, the newest of all.
func (ji *jobIndex) add(job *Job) {
	ji.live[job.ID] = job
	ji.inOrder = append(ji.inOrder, job)
	ji.addUsage(job, 1)
}

// end moves a job that has just ended to the ended ones.
func (ji *jobIndex) moveToEnded(job *Job) {
	delete(ji.live, job.ID)
	ji.ended = append(ji.ended, job)
	ji.addUsage(job, -1)
}

// addUsage adds a job to the usage of its queue and of its tenant, or removes it with
// sign -1.
func (ji *jobIndex) addUsage(job *Job, sign int) {
	usage := ji.usage[job.Queue]
	usage.jobs += sign
	usage.tasks += sign * job.TaskCount
	usage.bytes += sign * job.ApproxBytes
	ji.usage[job.Queue] = usage
	if job.Tenant != "" {
		ji.addToTenant(job, sign)
	}
}

// addToTenant adds a job to its tenant's, or removes it with sign -1.
func (ji *jobIndex) addToTenant(job *Job, sign int) {
	jobs := ji.tenants[job.Tenant]
	jobs.unfinished += sign
	if job.OverRate {
		jobs.overRate += sign
	}
	ji.tenants[job.Tenant] = jobs
	if jobs.unfinished == 0 {
		delete(ji.tenants, job.Tenant)
	}
}

// liveInOrder returns the live jobs, oldest first. The list is valid until the next change.
func (ji *jobIndex) liveInOrder() []*Job {
	live := ji.inOrder[:0]
	for _, job := range ji.inOrder {
		if !job.Ended() {
			live = append(live, job)
		}
	}
	ji.inOrder = live
	return live
}

// compact removes ended jobs from the ordered list if there are many.
func (ji *jobIndex) compact() {
	if len(ji.inOrder) > 2*len(ji.live)+compactionSlack {
		ji.liveInOrder()
	}
}

// popExpired removes the job that ended first and returns it, if it is beyond the bounds
// on ended jobs; otherwise it returns nil.
func (ji *jobIndex) popExpired(now types.ClusterTime) *Job {
	if len(ji.ended) == 0 {
		return nil
	}
	oldest := ji.ended[0]
	if len(ji.ended) <= EndedJobLimit && now.Sub(oldest.EndedAt) <= EndedJobAge {
		return nil
	}
	ji.ended = ji.ended[1:]
	return oldest
}

// moveIfEnded moves a job that has just ended from the live jobs to the ended ones.
func (s *State) moveIfEnded(job *Job) {
	if !job.Ended() || s.index.live[job.ID] == nil {
		return
	}
	s.index.moveToEnded(job)
	s.queueCounts(job.Queue).countEnded(job.Status)
}

// expireEndedJobs replaces ended jobs beyond the bounds by tombstones and drops
// tombstones that are old enough.
func (s *State) expireEndedJobs() {
	for job := s.index.popExpired(s.Time); job != nil; job = s.index.popExpired(s.Time) {
		delete(s.Jobs, job.ID)
		s.tombstones.add(job)
	}
	s.tombstones.expire(s.Time)
	s.index.compact()
}
