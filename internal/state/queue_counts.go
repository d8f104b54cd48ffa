package state

import "coppercourse/internal/types"

// QueueCounts are a queue's totals since its first job.
type QueueCounts struct {
	Accepted          uint64 `json:"accepted"`
	Done              uint64 `json:"done"`
	Failed            uint64 `json:"failed"`
	Cancelled         uint64 `json:"cancelled"`
	FailedAttempts    uint64 `json:"legs_failed"`
	LostAttempts      uint64 `json:"legs_lost"`
	WithdrawnAttempts uint64 `json:"legs_taken_back"`
}

// queueCounts returns the counts of a queue, to be changed.
func (s *State) queueCounts(queue types.QueueName) *QueueCounts {
	counts := s.QueueCounts[queue]
	if counts == nil {
		counts = &QueueCounts{}
		s.QueueCounts[queue] = counts
	}
	return counts
}

// countEnded counts a job that has ended.
func (qc *QueueCounts) countEnded(status JobStatus) {
	switch status {
	case JobDone:
		qc.Done++
	case JobFailed:
		qc.Failed++
	case JobCancelled:
		qc.Cancelled++
	}
}
