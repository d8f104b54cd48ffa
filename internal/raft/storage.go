package raft

import (
	"time"

	"coppercourse/internal/types"
)

// diskState is what has been given to the disk and what is known to be on it. The records
// of one step are one batch. Batches are numbered in the order in which they are written
// and synced in that order.
type diskState struct {
	records     []Record // the batch that is being collected
	replaceFile bool     // that batch replaces the whole file
	// fallback is what the step would have appended without its compaction, for a disk
	// without room for a second file; nil if the file must be replaced, or is not.
	fallback []Record

	writtenBatch   uint64 // newest batch, also while it is being collected
	syncedBatch    uint64 // newest batch that is on disk
	hardStateBatch uint64 // the batch with the newest term and vote
	// answeredAt is when the disk last synced a batch, or when it was given the oldest one
	// that it has not synced, if that is later.
	answeredAt types.MonoTime
}

// write adds a record to the batch that is being collected, and begins one if need be.
func (d *diskState) write(now types.MonoTime, record Record) {
	if len(d.records) == 0 {
		d.writtenBatch++
		if d.writtenBatch == d.syncedBatch+1 {
			d.answeredAt = now
		}
	}
	d.records = append(d.records, record)
	if d.fallback != nil {
		d.fallback = append(d.fallback, record)
	}
}

// replace gives up what was collected: the file is written anew from the next record on.
func (d *diskState) startFileReplacement() {
	d.records, d.fallback = nil, nil
	d.replaceFile = true
}

// onSynced notes that all batches up to a number are on disk.
func (d *diskState) onSynced(now types.MonoTime, batch uint64) {
	d.syncedBatch = max(d.syncedBatch, batch)
	d.answeredAt = now
}

// hasUnsynced tells whether a batch waits for the disk.
func (d *diskState) hasUnsynced() bool { return d.writtenBatch > d.syncedBatch }

// silentFor is how long the disk has not answered; 0 if nothing waits for it.
func (d *diskState) silentFor(now types.MonoTime) time.Duration {
	if !d.hasUnsynced() {
		return 0
	}
	return now.Sub(d.answeredAt)
}

// takeBatch hands out the batch that was collected, and the records of its fallback.
func (d *diskState) takeBatch() (records, fallback []Record, replaceFile bool) {
	records, fallback, replaceFile = d.records, d.fallback, d.replaceFile
	d.records, d.fallback, d.replaceFile = nil, nil, false
	return records, fallback, replaceFile
}

// writeRecord adds a record to the batch of this step.
func (n *Node) writeRecord(record Record) { n.disk.write(n.now.Mono, record) }

// setHardState adopts a term and a vote. Whatever is sent from now on waits until they are
// on disk (section 3.8 of the thesis), so that no member votes twice in one term.
func (n *Node) setHardState(state HardState) {
	n.hardState = state
	n.writeRecord(Record{HardState: &state})
	n.disk.hardStateBatch = n.disk.writtenBatch
}

// Synced reports that all batches up to a number are on disk.
func (n *Node) Synced(now types.Now, batch uint64) {
	n.now = now
	n.disk.onSynced(now.Mono, batch)
	n.log.onSynced(n.disk.syncedBatch)
	n.outbox.release(n.disk.syncedBatch, n.hardState.Term)
	if n.role == roleLeader {
		n.advanceCommit()
	}
}

// DiskStalled tells whether the disk holds this member up: something was written and the
// disk has not answered for StallTimeout. Such a member neither leads nor campaigns.
func (n *Node) DiskStalled() bool {
	return n.disk.silentFor(n.now.Mono) > n.timeouts.StallTimeout
}

// DiskFailed reports that the disk has refused what it was given and that the write is
// being retried. That counts as a wait that has already been too long.
func (n *Node) DiskFailed(now types.Now) {
	n.now = now
	if !n.disk.hasUnsynced() {
		return
	}
	n.disk.answeredAt = now.Mono.Add(-n.timeouts.StallTimeout - 1)
	if n.role == roleLeader {
		n.tickLeader()
	}
}

// SetStateLoading tells whether the state machine is still being read back. A member
// without its state could lead and serve nobody, so it does not stand for election.
func (n *Node) SetStateLoading(loading bool) { n.daemon.stateLoading = loading }
