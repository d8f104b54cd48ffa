package state

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Backoff after the loss of a task's worker, where the queue sets none.
const (
	lossBackoffBase    = 100 * time.Millisecond // doubled with each loss, the first included
	maxLossBackoff     = 5 * time.Minute
	maxLossBackoffBits = 12 // doublings, so that the shift can't overflow
)

// OutstandingAttempt is an attempt that was assigned and has not ended.
type OutstandingAttempt struct {
	Number     int               `json:"leg"`
	Shard      types.Shard       `json:"shard"`
	AssignedAt types.ClusterTime `json:"at"`
	Withdrawn  WithdrawReason    `json:"back,omitempty"` // why it was withdrawn, if it was
}

// Task is the record of one task. Done and Failed are never set together, and both may
// be reached while attempts are outstanding or unresolved. It has more than 15 fields
// because it is a record of the snapshot.
type Task struct {
	LastAttempt int                 `json:"leg"` // number assigned last, or 0
	Primary     *OutstandingAttempt `json:"out,omitempty"`
	Hedge       *OutstandingAttempt `json:"copy,omitempty"` // only beside a primary one
	Done        bool                `json:"done,omitempty"`
	Failed      bool                `json:"dead,omitempty"`      // it may have no further attempt, and fails its job
	Failures    int                 `json:"fails,omitempty"`     // up to config.Queue.MaxFailures
	Losses      int                 `json:"lost,omitempty"`      // with a worker, up to config.Queue.MaxLosses
	Stops       int                 `json:"stopped,omitempty"`   // attempts that were stopped or never ran
	Preemptions int                 `json:"displaced,omitempty"` // up to config.Queue.MaxPreemptions
	AvoidWorker types.Shard         `json:"shun,omitempty"`      // where an attempt failed or straggled last
	ReadyAt     types.ClusterTime   `json:"ready"`               // no attempt is assigned before

	// UnresolvedOn is the worker on which the last attempt was lost, as long as the
	// attempt may still turn out to have ended well.
	UnresolvedOn       types.Shard `json:"doubt,omitempty"`
	UnresolvedAttempts []int       `json:"limbo,omitempty"` // lost ones whose true end is not known
	ExpiredThrough     int         `json:"shut,omitempty"`  // the lease of this and all earlier ones has expired
	LastFailedAttempt  int         `json:"bad,omitempty"`   // the last one that was counted as a failure
	Checkpoint         string      `json:"ref,omitempty"`   // what the last attempt saved, to go on from
}

// Outstanding returns the outstanding attempts, the primary one first.
func (t *Task) Outstanding() (list []*OutstandingAttempt) {
	for _, attempt := range [...]*OutstandingAttempt{t.Primary, t.Hedge} {
		if attempt != nil {
			list = append(list, attempt)
		}
	}
	return list
}

// FindOutstanding returns the outstanding attempt with a number, or nil.
func (t *Task) FindOutstanding(number int) *OutstandingAttempt {
	for _, attempt := range [...]*OutstandingAttempt{t.Primary, t.Hedge} {
		if attempt != nil && attempt.Number == number {
			return attempt
		}
	}
	return nil
}

// removeOutstanding removes an attempt that has ended. A hedge takes the place of the
// primary one.
func (t *Task) removeOutstanding(number int) {
	if t.Primary.Number == number {
		t.Primary = t.Hedge
	}
	t.Hedge = nil
}

// lossBackoff returns how long the task waits after a loss. By default the wait doubles
// with each loss, since the task itself may be what brings its workers down.
func (t *Task) lossBackoff(step *Step, queue *config.Queue) time.Duration {
	switch {
	case step.AlwaysRestart:
		return queue.Backoff(1)
	case queue.InitialBackoffMillis > 0:
		return queue.Backoff(t.Losses)
	}
	return min(maxLossBackoff, lossBackoffBase<<min(t.Losses, maxLossBackoffBits))
}

// exhausted reports whether the task may have no further attempt.
func (t *Task) exhausted(queue config.Queue) bool {
	return t.Failures >= queue.MaxFailures || queue.MaxLosses > 0 && t.Losses >= queue.MaxLosses
}

// EndIsRedundant reports whether an end of an attempt would change nothing.
func (t *Task) EndIsRedundant(attempt int, outcome Outcome) bool {
	switch {
	case t.FindOutstanding(attempt) != nil:
		return false
	case attempt <= t.ExpiredThrough:
		return true
	case slices.Contains(t.UnresolvedAttempts, attempt):
		return outcome.unresolved()
	}
	return outcome != OutcomeOK || t.Done
}
