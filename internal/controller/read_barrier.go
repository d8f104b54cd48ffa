package controller

import (
	"coppercourse/internal/types"
)

// readBarrier holds reads of a job back until the ends of its attempts that the leader has
// proposed are committed. A caller who asks just as the last task has ended then sees the
// end, a few milliseconds later, rather than a running job. Nothing is shown that is not
// committed.
type readBarrier struct {
	proposedEnds map[types.JobID]types.Index // of each job the newest command with ends of it
	pending      []pendingRead
}

// pendingRead is a read of a job that waits until an index is applied.
type pendingRead struct {
	caller caller
	job    types.JobID
	index  types.Index
}

func newReadBarrier() readBarrier {
	return readBarrier{proposedEnds: map[types.JobID]types.Index{}}
}

// endProposed records that an end of an attempt of a job is proposed at an index.
func (b *readBarrier) endProposed(job types.JobID, index types.Index) {
	b.proposedEnds[job] = index
}

// endCommitted records that an end of an attempt of a job is applied, as all up to an
// index is.
func (b *readBarrier) endCommitted(job types.JobID, applied types.Index) {
	if b.proposedEnds[job] <= applied {
		delete(b.proposedEnds, job)
	}
}

// hold queues a read if it must wait. It returns false for a read to be answered at once:
// no end of the job is in flight, or too many reads wait.
func (b *readBarrier) hold(from caller, job types.JobID, applied types.Index) bool {
	index := b.proposedEnds[job]
	if index <= applied || len(b.pending) >= MaxPendingRequests {
		return false
	}
	b.pending = append(b.pending, pendingRead{from, job, index})
	return true
}

// release answers the reads whose index has been applied, in order of arrival.
func (b *readBarrier) release(applied types.Index, answer func(caller, types.JobID)) {
	kept := b.pending[:0]
	for _, read := range b.pending {
		if read.index > applied {
			kept = append(kept, read)
		} else {
			answer(read.caller, read.job)
		}
	}
	b.pending = kept
}

// abandon forgets everything and returns whose reads were not answered.
func (b *readBarrier) takeAll() []caller {
	var callers []caller
	for _, read := range b.pending {
		callers = append(callers, read.caller)
	}
	b.pending = nil
	clear(b.proposedEnds)
	return callers
}
