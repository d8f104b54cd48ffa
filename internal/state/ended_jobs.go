package state

import "time"

// Bounds on the jobs that are remembered in full after their end. Beyond them only a
// tombstone stays.
const (
	EndedJobAge   = 30 * time.Minute
	EndedJobLimit = 20_000
)

// listSlack is by how many jobs the ordered list of live jobs may exceed twice their
// number before the ended ones are removed from it.
const listSlack = 1024

// closeIfEnded moves a job that has just ended from the live jobs to the ended ones.
func (s *State) closeIfEnded(j *Job) {
	if !j.Ended() || s.liveJobs[j.ID] == nil {
		return
	}
	delete(s.liveJobs, j.ID)
	s.addUsage(j, -1)
	s.endedJobs = append(s.endedJobs, j)
	s.queueCounts(j.Queue).jobEnded(j.Status)
}

// expireEndedJobs replaces ended jobs beyond the bounds by tombstones and drops
// tombstones that are old enough.
func (s *State) expireEndedJobs() {
	for len(s.endedJobs) > 0 {
		oldest := s.endedJobs[0]
		if len(s.endedJobs) <= EndedJobLimit && s.Time.Sub(oldest.EndedAt) <= EndedJobAge {
			break
		}
		delete(s.Jobs, oldest.ID)
		s.tombstones.add(oldest)
		s.endedJobs = s.endedJobs[1:]
	}
	s.tombstones.expire(s.Time)
	if len(s.jobsInOrder) > 2*len(s.liveJobs)+listSlack {
		s.LiveJobs()
	}
}
