package state

import (
	"cmp"
	"slices"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// State is the whole replicated state. The header, the jobs and the tombstones are what
// snapshots hold; all else is derived from them.
type State struct {
	header
	Jobs       map[types.JobID]*Job // all jobs that are remembered in full
	tombstones tombstones

	liveJobs    map[types.JobID]*Job           // those that have not ended
	jobsInOrder []*Job                         // the same, oldest first; some may have ended since
	endedJobs   []*Job                         // those that have ended, in the order of their ends
	usage       map[types.QueueName]queueUsage // what the live jobs of each queue hold

	snapshot       *snapshotWriter // the snapshot in progress, or nil
	snapshotNumber uint64          // how many snapshots were begun
}

// header is the part of the state that a snapshot holds in one piece.
type header struct {
	Time         types.ClusterTime                `json:"tick"`
	WallOffset   types.WallTime                   `json:"off"` // wall time minus cluster time
	Table        config.Table                     `json:"table"`
	WorkerShapes map[types.Shard]WorkerShape      `json:"shapes"`
	LastSeq      uint64                           `json:"seq"` // Seq of the job accepted last
	History      History                          `json:"past"`
	QueueCounts  map[types.QueueName]*QueueCounts `json:"count"`
	Drains       []Drain                          `json:"drains,omitempty"`
	Calendars    []Calendar                       `json:"plans,omitempty"`
	// RemovedQueues are the last settings of queues that a table left out while they
	// had unfinished jobs.
	RemovedQueues map[types.QueueName]config.Queue `json:"retired,omitempty"`
}

// New returns the state before the first command.
func New() *State {
	s := &State{
		header: header{
			WorkerShapes: map[types.Shard]WorkerShape{},
			QueueCounts:  map[types.QueueName]*QueueCounts{},
		},
		Jobs:       map[types.JobID]*Job{},
		tombstones: newTombstones(),
	}
	s.buildIndexes()
	return s
}

// buildIndexes derives the lists of live and ended jobs and the queues' usage.
func (s *State) buildIndexes() {
	s.liveJobs, s.usage = map[types.JobID]*Job{}, map[types.QueueName]queueUsage{}
	s.endedJobs, s.jobsInOrder = nil, nil
	for id, j := range s.Jobs {
		if j.Ended() {
			s.endedJobs = append(s.endedJobs, j)
			continue
		}
		s.liveJobs[id] = j
		s.jobsInOrder = append(s.jobsInOrder, j)
		s.addUsage(j, 1)
	}
	slices.SortFunc(s.endedJobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Seq, b.Seq))
	})
	slices.SortFunc(s.jobsInOrder, func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
}

// LiveJobs returns the jobs that have not ended, oldest first. The list holds until the
// next command is applied.
func (s *State) LiveJobs() []*Job {
	live := s.jobsInOrder[:0]
	for _, j := range s.jobsInOrder {
		if !j.Ended() {
			live = append(live, j)
		}
	}
	s.jobsInOrder = live
	return live
}

// Find returns a job by its id: in full, or as much as its tombstone tells, or nil if
// the id is not known.
func (s *State) Find(id types.JobID) *Job {
	if j := s.Jobs[id]; j != nil {
		return j
	}
	return s.tombstones.find(id)
}
