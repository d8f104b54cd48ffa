package state

import "coppercourse/internal/types"

// Withdrawal evicts an outstanding attempt: the worker is ordered to stop it, and its task is
// assigned again once the attempt has ended.
type Withdrawal struct {
	ID     types.AttemptID `json:"leg"`
	Reason WithdrawReason  `json:"why"`
}

// WithdrawReason is why an attempt is withdrawn.
type WithdrawReason string

// Reasons for withdrawing an attempt. The values are stored.
const (
	// WorkerDeparting means that the worker has announced its imminent shutdown.
	WorkerDeparting WithdrawReason = "its worker leaves"
	// WorkerDrained means that an operator's drain or a maintenance calendar applies.
	WorkerDrained WithdrawReason = "its worker is drained"
	// Straggling means that the attempt takes far longer than usual.
	Straggling WithdrawReason = "far beyond its usual time"
	// Preempted means that the attempt's resources are needed for more urgent work.
	Preempted WithdrawReason = "displaced by more urgent work"
	// GangPeerUnreachable means that another attempt of the gang is unreachable.
	GangPeerUnreachable WithdrawReason = "a mate of its gang is out of reach"
)

// applyWithdrawal withdraws an attempt if it is outstanding and its job is open.
func (s *State) applyWithdrawal(withdrawal Withdrawal) {
	job := s.index.live[withdrawal.ID.Job]
	if job == nil || job.Status != JobOpen {
		return
	}
	task := job.Task(withdrawal.ID.TaskNumber)
	if task == nil {
		return
	}
	attempt := task.FindOutstanding(withdrawal.ID.Attempt)
	if attempt == nil || attempt.Withdrawn != "" {
		return
	}
	s.beforeChange(job)
	attempt.Withdrawn = withdrawal.Reason
	switch withdrawal.Reason {
	case Straggling:
		task.AvoidWorker = attempt.Shard
	case Preempted:
		task.Preemptions++
	}
	s.queueCounts(job.Queue).WithdrawnAttempts++
}
