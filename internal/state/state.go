package state

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// State is the whole replicated state. The header, the jobs and the tombstones are what
// snapshots hold; all else is derived from them.
type State struct {
	header
	Jobs       map[types.JobID]*Job // live ones, and ended ones that have no tombstone yet
	tombstones tombstones           // of jobs that ended longer ago
	index      jobIndex

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
	// RemovedTenants are the tenants that a table left out while they had unfinished jobs, or
	// lately.
	RemovedTenants map[types.TenantName]RemovedTenant `json:"retired_tenants,omitempty"`
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

// buildIndexes derives from the jobs what snapshots don't hold.
func (s *State) buildIndexes() { s.index = newJobIndex(s.Jobs) }

// LiveJobs returns the jobs that have not ended, oldest first. The list is valid until the
// next command is applied.
func (s *State) LiveJobs() []*Job { return s.index.liveInOrder() }

// Find returns a job by its id: the complete job, or what its tombstone holds, or nil if
// the id is not known.
func (s *State) Find(id types.JobID) *Job {
	if job := s.Jobs[id]; job != nil {
		return job
	}
	return s.tombstones.find(id)
}
