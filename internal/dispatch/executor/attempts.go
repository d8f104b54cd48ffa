package executor

import (
	"slices"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

type attemptState string

const (
	attemptWaiting  attemptState = "waiting" // ordered, not yet taken up by the worker
	attemptRunning  attemptState = "running"
	attemptStopping attemptState = "stopping"
	attemptEnded    attemptState = "ended"
)

type attempt struct {
	spec          protocol.AttemptSpec
	state         attemptState
	startBefore   types.MonoTime
	startedAt     types.MonoTime
	outcome       state.Outcome
	overTimeLimit bool // past its time limit: however it is stopped, it failed
	sentToWorker  bool
	committed     bool
	runsAfterEnd  bool // the worker runs it although it has ended here

	// of a worker that is called
	startFence        uint64         // under which it was started
	killAskedAt       types.MonoTime // when its stop was last asked for
	seenRunningAt     types.MonoTime // when the worker last said that it runs
	killAcceptedAt    types.MonoTime // when the worker took its stop
	startUnsure       bool           // its start had no clear answer
	endNumber         uint64         // the number of its end
	checkpoint        string         // what it has saved
	checkpointAt      types.MonoTime // when that last changed
	percentDone       float64        // how far it is, in percent
	progressReadAt    types.MonoTime // when that was told
	progressChangedAt types.MonoTime // when it last changed
	reportedDuration  time.Duration  // how long it takes in all, as was told last
}

// add takes an attempt into the account, forget out of it.
func (ex *Executor) add(l *attempt) {
	if ex.attempts[l.spec.Attempt] == nil {
		i, _ := slices.BinarySearchFunc(ex.sortedAttempts, l, compareAttempts)
		ex.sortedAttempts = slices.Insert(ex.sortedAttempts, i, l)
	}
	ex.attempts[l.spec.Attempt] = l
}

func (ex *Executor) remove(k types.AttemptID) {
	if l := ex.attempts[k]; l != nil {
		i, _ := slices.BinarySearchFunc(ex.sortedAttempts, l, compareAttempts)
		ex.sortedAttempts = slices.Delete(ex.sortedAttempts, i, i+1)
		delete(ex.attempts, k)
	}
}

func compareAttempts(a, b *attempt) int { return a.spec.Attempt.Compare(b.spec.Attempt) }

// attemptsInOrder lists the attempts in order; the list is a copy.
func (ex *Executor) attemptsInOrder() []*attempt { return slices.Clone(ex.sortedAttempts) }

// endAttempt ends an attempt in the account and has it told. Lost is not the last word:
// the attempt stays until the worker is heard again and says what became of it.
func (ex *Executor) endAttempt(l *attempt, f state.Outcome) {
	if l.overTimeLimit && f != state.OutcomeOK {
		f = state.OutcomeFailed
	}
	l.state, l.outcome, l.committed, l.startUnsure, ex.lastStatusAt = attemptEnded, f, false, false, never
}

// stopAttempt has an attempt stopped. One that the worker was never shown ends at once.
func (ex *Executor) stopAttempt(l *attempt) {
	switch {
	case l.state == attemptWaiting && !l.sentToWorker:
		ex.endAttempt(l, state.OutcomeNeverRan)
	case l.state == attemptWaiting || l.state == attemptRunning:
		l.state, ex.hasUpdate = attemptStopping, true
	}
}
