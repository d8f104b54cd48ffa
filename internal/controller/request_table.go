package controller

import (
	"maps"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// MaxPendingRequests is how many changes may wait for their commit at once, and how many
// reads for the ends before them.
const MaxPendingRequests = 1024

// requestTable keeps the requests that this controller, as the leader, has taken and not
// yet answered, and how fast jobs complete, for the Retry-After of rejected submissions.
type requestTable struct {
	changes map[types.Index]pendingChange // by the index of the command proposed
	reads   readBarrier
	rates   completionRates
}

// pendingChange is a request whose command is in the log and not yet committed.
type pendingChange struct {
	caller caller
	term   types.Term // in which the command was proposed
}

func newRequestTable() *requestTable {
	return &requestTable{
		changes: map[types.Index]pendingChange{},
		reads:   newReadBarrier(),
		rates:   completionRates{},
	}
}

// full reports whether no more changes are taken.
func (t *requestTable) full() bool { return len(t.changes) >= MaxPendingRequests }

// idle reports whether no change waits for its commit.
func (t *requestTable) idle() bool { return len(t.changes) == 0 }

// await records a request whose command was proposed in a term.
func (t *requestTable) add(index types.Index, term types.Term, from caller) {
	t.changes[index] = pendingChange{from, term}
}

// takeCommitted removes the request that waits for an index, as that is committed. Its
// command is the one committed only if the terms are the same; otherwise another leader's
// entry took the place, which tells nothing of the request: its command may be
// committed there under another index.
func (t *requestTable) takeCommitted(index types.Index, term types.Term) (from caller, isOwn, ok bool) {
	change, ok := t.changes[index]
	delete(t.changes, index)
	return change.caller, change.term == term, ok
}

// abandon forgets all requests, as a leader that has stepped down does. It returns whose
// changes have an unknown outcome, in the order of the log, and whose reads were
// not answered.
func (t *requestTable) takeAll() (changes, reads []caller) {
	for _, index := range slices.Sorted(maps.Keys(t.changes)) {
		changes = append(changes, t.changes[index].caller)
	}
	clear(t.changes)
	return changes, t.reads.takeAll()
}

// holdRead keeps a read of a job back if it must wait for ends that were proposed; applied
// is the last index applied. It returns false for a read to be answered at once.
func (t *requestTable) holdRead(from caller, job types.JobID, applied types.Index) bool {
	return t.reads.hold(from, job, applied)
}

// releaseReads answers the reads whose index has been applied.
func (t *requestTable) releaseReads(applied types.Index, answer func(caller, types.JobID)) {
	t.reads.release(applied, answer)
}

// endProposed records that an end of an attempt of a job is proposed at an index.
func (t *requestTable) endProposed(job types.JobID, index types.Index) {
	t.reads.endProposed(job, index)
}

// endCommitted records that an end of an attempt of a job is applied, as all up to an
// index is.
func (t *requestTable) endCommitted(job types.JobID, applied types.Index) {
	t.reads.endCommitted(job, applied)
}

// jobCompleted records that a job of a queue has ended.
func (t *requestTable) jobCompleted(queue types.QueueName, now types.MonoTime) {
	t.rates.record(queue, now)
}

// retryAfter returns the Retry-After of a submission that a full queue rejects.
func (t *requestTable) retryAfter(queue types.QueueName, now types.MonoTime, waiting int) time.Duration {
	return t.rates.retryAfter(queue, now, waiting)
}

// errLeaderChanged is the reply to a request whose outcome is unknown.
func errLeaderChanged() *apierror.Error {
	return apierror.New(apierror.OutcomeUnknown, "", "the leader changed; send the same again")
}
