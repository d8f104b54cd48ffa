package executor

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// attemptState is the state of an attempt at the agent; package dispatch shows the
// transitions. The texts are part of the agent's status.
type attemptState string

const (
	attemptWaiting  attemptState = "waiting" // accepted, not yet known to run on the worker
	attemptRunning  attemptState = "running"
	attemptStopping attemptState = "stopping" // to be stopped, not yet known to have ended
	attemptEnded    attemptState = "ended"
)

// attemptRecord is the agent's record of an attempt.
type attemptRecord struct {
	spec          protocol.AttemptSpec
	state         attemptState
	startBefore   types.MonoTime // end of its order's lease: not to be started later
	startedAt     types.MonoTime // when it was first known to run, 0 if never
	outcome       state.Outcome  // once ended
	overTimeLimit bool           // unless it ends well, it has failed
	sentToWorker  bool           // the worker may have been given it
	committed     bool           // its end is committed to the log
	// runsAfterEnd is set for one that the worker still runs although it has ended here.
	runsAfterEnd bool
	checkpoint   string // reference of the last one
	checkpointAt types.MonoTime

	// Of a worker that is called:
	calls    attemptCalls
	progress progress
}

// attemptCalls is what the calls to the worker have shown of an attempt.
type attemptCalls struct {
	startFence     uint64         // fencing token under which it was started
	startUnsure    bool           // the start got no reply
	seenRunningAt  types.MonoTime // when the worker last said that it runs
	stopCalledAt   types.MonoTime
	stopAcceptedAt types.MonoTime
	endNumber      uint64 // number of its end at the worker, 0 if not reported
}

func (ar *attemptRecord) id() types.AttemptID { return ar.spec.Attempt }

func compareAttempts(a, b *attemptRecord) int { return a.id().Compare(b.id()) }

// attemptTable holds the records of attempts, and the ids of those accepted or rejected
// lately.
type attemptTable struct {
	byID   map[types.AttemptID]*attemptRecord
	sorted []*attemptRecord // the same, in order
	// seen are ids whose RunTask, should it come again or late, is ignored until a time.
	seen map[types.AttemptID]types.MonoTime
}

func newAttemptTable() attemptTable {
	return attemptTable{byID: map[types.AttemptID]*attemptRecord{}, seen: map[types.AttemptID]types.MonoTime{}}
}

// add adds an attempt, in place of one with its id.
func (at *attemptTable) add(attempt *attemptRecord) {
	if at.byID[attempt.id()] == nil {
		i, _ := slices.BinarySearchFunc(at.sorted, attempt, compareAttempts)
		at.sorted = slices.Insert(at.sorted, i, attempt)
	}
	at.byID[attempt.id()] = attempt
}

// addNeverRan adds an attempt that has not run here and never will.
func (at *attemptTable) addNeverRan(id types.AttemptID) {
	spec := protocol.AttemptSpec{Attempt: id}
	at.add(&attemptRecord{spec: spec, state: attemptEnded, outcome: state.OutcomeNeverRan})
}

func (at *attemptTable) remove(id types.AttemptID) {
	attempt := at.byID[id]
	if attempt == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(at.sorted, attempt, compareAttempts)
	at.sorted = slices.Delete(at.sorted, i, i+1)
	delete(at.byID, id)
}

// inOrder lists the attempts in order; the list is a copy.
func (at *attemptTable) inOrder() []*attemptRecord { return slices.Clone(at.sorted) }

func (at *attemptTable) expireSeen(now types.MonoTime) {
	for id, until := range at.seen {
		if now > until {
			delete(at.seen, id)
		}
	}
}

// allEnded reports whether no attempt can be running any more.
func (at *attemptTable) allEnded() bool {
	for _, attempt := range at.byID {
		if attempt.state != attemptEnded {
			return false
		}
	}
	return true
}

// runningResources returns the resources of all attempts that run, together.
func (at *attemptTable) runningResources() types.Resources {
	var sum types.Resources
	for _, attempt := range at.byID {
		if attempt.state == attemptRunning || attempt.state == attemptStopping {
			sum = sum.Add(attempt.spec.Resources)
		}
	}
	return sum
}

// endAttempt marks an attempt as ended and has its end reported at once. OutcomeLost is not
// final: the attempt stays until the worker is back and reports its true end.
func (ex *Executor) endAttempt(attempt *attemptRecord, outcome state.Outcome) {
	if attempt.overTimeLimit && outcome != state.OutcomeOK {
		outcome = state.OutcomeFailed
	}
	attempt.state, attempt.outcome = attemptEnded, outcome
	attempt.committed = false
	attempt.calls.startUnsure = false
	ex.reports.requestStatus()
}

// endAllAttempts ends the attempts of a worker process that has ended, and forgets
// those whose end is committed.
func (ex *Executor) endAllAttempts() {
	for _, attempt := range ex.attempts.inOrder() {
		if attempt.state != attemptEnded {
			ex.endAttempt(attempt, state.OutcomeWorkerExited)
		}
		if attempt.committed {
			ex.attempts.remove(attempt.id())
		}
	}
}

// stopAttempt has an attempt stopped. One that the worker was never given ends at once.
func (ex *Executor) stopAttempt(attempt *attemptRecord) {
	switch {
	case attempt.state == attemptWaiting && !attempt.sentToWorker:
		ex.endAttempt(attempt, state.OutcomeNeverRan)
	case attempt.state == attemptWaiting || attempt.state == attemptRunning:
		attempt.state = attemptStopping
		ex.polls.hasUpdate = true
	}
}
