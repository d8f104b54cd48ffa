package state

// One task of a job: how its attempts ended, what is known of it, and whether it may
// have another.

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeOK           Outcome = "ok"
	OutcomeFailed       Outcome = "failed"
	OutcomeLost         Outcome = "lost"
	OutcomePartitioned  Outcome = "cut off" // lost with its whole locality, which may come back
	OutcomeWaitExpired  Outcome = "waited"  // a lost leg's end has been waited for long enough
	OutcomeStopped      Outcome = "stopped"
	OutcomeNeverRan     Outcome = "refused" // it never ran and never will
	OutcomeWorkerExited Outcome = "gone"    // its worker process is known to have ended
	OutcomeLeaseExpired Outcome = "lapsed"  // its lease ended unseen: nothing that it did counts any more
)

// unresolved outcomes are not the last word: the attempt may have ended well unseen.
func (o Outcome) unresolved() bool { return o == OutcomeLost || o == OutcomePartitioned }

// ReportedByWorker is true for what a worker did, whoever tells it.
func (o Outcome) ReportedByWorker() bool { return o == OutcomeOK || o == OutcomeFailed }

// FreesResources is true where somebody beside the worker knows that the attempt takes no room
// there any more.
func (o Outcome) FreesResources() bool {
	return o.ReportedByWorker() || o == OutcomeStopped || o == OutcomeNeverRan
}

// OutstandingAttempt is the attempt given out and not ended.
type OutstandingAttempt struct {
	Number     int               `json:"leg"`
	Shard      types.Shard       `json:"shard"`
	AssignedAt types.ClusterTime `json:"at"`
	Withdrawn  WithdrawReason    `json:"back,omitempty"` // it is being taken back
}

// Task is one task's account. Fails are what the queue's tries count.
type Task struct {
	LastAttempt int                 `json:"leg"`
	Primary     *OutstandingAttempt `json:"out,omitempty"`
	Hedge       *OutstandingAttempt `json:"copy,omitempty"` // a second one beside it, where the step allows that
	Done        bool                `json:"done,omitempty"`
	Failed      bool                `json:"dead,omitempty"`
	Failures    int                 `json:"fails,omitempty"`
	Losses      int                 `json:"lost,omitempty"`
	Stops       int                 `json:"stopped,omitempty"`
	Preemptions int                 `json:"displaced,omitempty"`
	AvoidWorker types.Shard         `json:"shun,omitempty"` // where a leg of it stalled or failed last
	ReadyAt     types.ClusterTime   `json:"ready"`
	// Doubt is the worker whose word is awaited: the last attempt was lost there,
	// and may yet turn out to have ended well.
	UnresolvedOn       types.Shard `json:"doubt,omitempty"`
	UnresolvedAttempts []int       `json:"limbo,omitempty"` // legs lost whose true end is not known
	ExpiredThrough     int         `json:"shut,omitempty"`  // legs up to this one have lapsed
	LastFailedAttempt  int         `json:"bad,omitempty"`   // the last leg of it that was counted failed
	Checkpoint         string      `json:"ref,omitempty"`   // what its last leg saved, to go on from
}

// Outstanding are the attempts given out and not ended.
func (t *Task) Outstanding() (list []*OutstandingAttempt) {
	for _, attempt := range [...]*OutstandingAttempt{t.Primary, t.Hedge} {
		if attempt != nil {
			list = append(list, attempt)
		}
	}
	return
}

// FindOutstanding is the attempt with a number, if it is out.
func (t *Task) FindOutstanding(number int) *OutstandingAttempt {
	for _, attempt := range [...]*OutstandingAttempt{t.Primary, t.Hedge} {
		if attempt != nil && attempt.Number == number {
			return attempt
		}
	}
	return nil
}

// removeOutstanding takes an attempt that has ended from those that are out.
func (t *Task) removeOutstanding(attempt int) {
	if t.Primary.Number == attempt {
		t.Primary = t.Hedge
	}
	t.Hedge = nil
}

// lossBackoff is how long a task waits after a loss, longer each time and up to five
// minutes, for it may be what takes its workers down; unless its queue's row says
// how it rests.
func lossBackoff(step *Step, t *Task, queue config.Queue) time.Duration {
	switch {
	case step.AlwaysRestart:
		return queue.Backoff(1)
	case queue.InitialBackoffMillis > 0:
		return queue.Backoff(t.Losses)
	}
	return min(5*time.Minute, 100*millisecond<<min(t.Losses, 12))
}

// exhausted tells whether a task may be given out no more.
func (t *Task) exhausted(queue config.Queue) bool {
	return t.Failures >= queue.MaxFailures || queue.MaxLosses > 0 && t.Losses >= queue.MaxLosses
}

// EndIsKnown tells whether an end of an attempt would change nothing any more.
func (t *Task) EndIsKnown(attempt int, outcome Outcome) bool {
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
