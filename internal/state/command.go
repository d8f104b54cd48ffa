package state

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Command is the content of one log entry. At most one of Table, Job, Cancel, Drain,
// Calendar and ExitedWorker is set; any of the lists may be set in addition.
type Command struct {
	Time         types.ClusterTime `json:"tick"`          // when the leader proposed the command
	WallOffset   *types.WallTime   `json:"off,omitempty"` // new offset of wall time from cluster time
	Table        *config.Table     `json:"table,omitempty"`
	Job          *Submission       `json:"job,omitempty"`
	Cancel       types.JobID       `json:"cancel,omitempty"`
	Assignments  []Assignment      `json:"legs,omitempty"`
	Ends         []AttemptEnd      `json:"ends,omitempty"`
	WorkerShapes []WorkerShape     `json:"shapes,omitempty"`
	Withdrawals  []Withdrawal      `json:"backs,omitempty"`
	Drain        *Drain            `json:"drain,omitempty"`
	Calendar     *Calendar         `json:"plan,omitempty"`
	ExitedWorker types.Shard       `json:"gone,omitempty"` // known to have exited, with all attempts lost on it
}

// Apply applies one command. It returns the assignments that were made, with their attempt
// numbers, and the rejection to return to the proposer of the command, or nil. For the kinds
// of rejection see CheckTable, CheckJob and CheckCancel; a drain is rejected as NotDrained, a
// calendar as NoSuchCalendar, and either as QueueFull.
func (s *State) Apply(command Command) (assigned []Assignment, rejection *apierror.Error) {
	s.Time = max(s.Time, command.Time)
	if command.WallOffset != nil {
		s.WallOffset = *command.WallOffset
	}
	rejection = s.applyRequest(command)
	for _, withdrawal := range command.Withdrawals {
		s.applyWithdrawal(withdrawal)
	}
	assigned = s.applyAssignments(command.Assignments)
	for _, end := range command.Ends {
		s.applyEnd(end)
	}
	for _, shape := range command.WorkerShapes {
		s.applyWorkerShape(shape)
	}
	s.expireEndedJobs()
	return assigned, rejection
}

// applyRequest applies the caller's or operator's request in a command, if there is one.
func (s *State) applyRequest(command Command) *apierror.Error {
	switch {
	case command.Table != nil:
		return s.applyTable(*command.Table)
	case command.Job != nil:
		return s.applySubmission(*command.Job)
	case command.Cancel != "":
		return s.applyCancel(command.Cancel)
	case command.Drain != nil:
		return s.applyDrain(*command.Drain)
	case command.Calendar != nil:
		return s.applyCalendar(*command.Calendar)
	case command.ExitedWorker != "":
		s.applyWorkerExit(command.ExitedWorker)
	}
	return nil
}
