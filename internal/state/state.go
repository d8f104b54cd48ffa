package state

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// State is the whole replicated state. Snapshots hold the header, the jobs and the
// tombstones; everything else is derived from them.
type State struct {
	header
	Jobs       map[types.JobID]*Job // live jobs, and ended jobs that have no tombstone yet
	tombstones tombstones           // of jobs that ended longer ago
	index      jobIndex

	snapshot       *snapshotWriter // the snapshot in progress, or nil
	snapshotNumber uint64          // number of snapshots begun so far
}

// header is the part of the state that a snapshot writes as a single part.
type header struct {
	Time         types.ClusterTime                `json:"tick"`
	WallOffset   types.WallTime                   `json:"off"` // wall time minus cluster time
	Table        config.Table                     `json:"table"`
	WorkerShapes map[types.Shard]WorkerShape      `json:"shapes"`
	LastSeq      uint64                           `json:"seq"` // Job.Seq of the last accepted job
	History      History                          `json:"past"`
	QueueCounts  map[types.QueueName]*QueueCounts `json:"count"`
	Drains       []Drain                          `json:"drains,omitempty"`
	Calendars    []Calendar                       `json:"plans,omitempty"`
	// RemovedQueues holds the last settings of queues that a table omitted while they had
	// unfinished jobs.
	RemovedQueues map[types.QueueName]config.Queue `json:"retired,omitempty"`
	// RemovedTenants holds the tenants that a table omitted and that have unfinished jobs or
	// were removed within removedTenantAge.
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

// buildIndexes derives from the jobs the indexes that snapshots don't hold.
func (s *State) buildIndexes() { s.index = newJobIndex(s.Jobs) }

// LiveJobs returns the jobs that have not ended, oldest first. The list is valid until the
// next command is applied.
func (s *State) LiveJobs() []*Job { return s.index.liveInOrder() }

// Find returns a job by its id: the full record, or one with the contents of its tombstone,
// or nil if the id is unknown.
func (s *State) Find(id types.JobID) *Job {
	if job := s.Jobs[id]; job != nil {
		return job
	}
	return s.tombstones.find(id)
}
