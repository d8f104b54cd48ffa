package controller

import (
	"encoding/json"
	"fmt"
	"maps"

	"coppercourse/internal/apierror"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// commandLog is the replicated log as the controller sees it: commands go in, and the
// replicated state is what the committed ones have made of it. It also compacts the log
// into snapshots and restores the state from them, both a bounded part a step.
type commandLog struct {
	raft         *raft.Node
	replicated   *state.State
	appliedIndex types.Index
	proposals    map[types.Index]proposedCommand
	snapshots    snapshotSchedule
	loader       snapshotLoader
}

// proposedCommand is a command that this controller proposed. It is kept until its entry is
// committed, so that the leader need not decode what it has just encoded. An entry of
// the same index and term is this very command, for a term has one leader.
type proposedCommand struct {
	term    types.Term
	command state.Command
}

// newCommandLog returns the log of a Raft node with the state that its snapshot holds;
// a large snapshot is loaded by later calls of loadPart.
func newCommandLog(node *raft.Node, snapshotThreshold types.Index) *commandLog {
	l := &commandLog{
		raft:       node,
		replicated: state.New(),
		proposals:  map[types.Index]proposedCommand{},
		snapshots:  newSnapshotSchedule(snapshotThreshold),
	}
	l.startLoading()
	l.loadPart()
	return l
}

// state returns the replicated state at the index applied. While a snapshot is being loaded
// it is the state before that.
func (l *commandLog) state() *state.State { return l.replicated }

// applied returns the index of the last entry applied.
func (l *commandLog) applied() types.Index { return l.appliedIndex }

// isLoading reports whether a snapshot is being loaded.
func (l *commandLog) isLoading() bool { return l.loader.active() }

// isLagging reports whether the state lacks something that is committed.
func (l *commandLog) isLagging() bool {
	return l.loader.active() || l.appliedIndex < l.raft.CommittedIndex()
}

// propose appends a command to the log, stamped with the cluster's time. It returns the
// command's index, and false if this controller may not append to the log.
func (l *commandLog) propose(command state.Command) (types.Index, bool) {
	command.Time = max(l.raft.Clock(), l.replicated.Time)
	index, ok := l.raft.Propose(wire.EncodeBody(command))
	if ok && roundTripsThroughJSON(&command) {
		l.proposals[index] = proposedCommand{l.raft.Term(), command}
	}
	return index, ok
}

// roundTripsThroughJSON reports whether a command is the same before and after it was encoded
// and decoded, as one that consists of plain values is. Commands with documents in them
// are always decoded from their entries, for the state keeps the documents.
func roundTripsThroughJSON(c *state.Command) bool {
	return c.Job == nil && c.Table == nil && c.WallOffset == nil && c.WorkerShapes == nil &&
		c.Drain == nil && c.Calendar == nil
}

// next advances to the next committed entry and returns it, or false if all are applied.
// The caller must apply its command.
func (l *commandLog) next() (raft.Entry, bool) {
	if l.appliedIndex >= l.raft.CommittedIndex() {
		return raft.Entry{}, false
	}
	l.appliedIndex++
	return l.raft.Entry(l.appliedIndex), true
}

// command returns the command in an entry, and false for one that holds none, as a new
// leader's first entry does not. An entry that can't be decoded is a fault of this program
// and panics.
func (l *commandLog) command(e raft.Entry) (command state.Command, ok bool) {
	own, isOwn := l.proposals[e.Index]
	delete(l.proposals, e.Index)
	if e.Data == nil {
		return state.Command{}, false
	}
	if isOwn && own.term == e.Term {
		return own.command, true
	}
	if err := json.Unmarshal(e.Data, &command); err != nil {
		panic(fmt.Errorf("decode the command of log entry %d: %w", e.Index, err))
	}
	return command, true
}

// apply applies a command to the state. It returns the assignments that took effect, and
// the rejection of a command that did not.
func (l *commandLog) apply(command state.Command) ([]state.Assignment, *apierror.Error) {
	assignments, rejection := l.replicated.Apply(command)
	l.raft.AdvanceClock(l.replicated.Time)
	return assignments, rejection
}

// installSnapshot starts to load a snapshot that a leader has sent in place of entries
// which this member lacks.
func (l *commandLog) installSnapshot() {
	if l.raft.Snapshot().Index <= max(l.appliedIndex, l.loader.lastIndex()) {
		return
	}
	l.startLoading()
	l.loadPart() // all of a small one
	maps.DeleteFunc(l.proposals, func(index types.Index, _ proposedCommand) bool { return index <= l.loader.lastIndex() })
}

// startLoading starts to load the snapshot that the log begins with. Until it is loaded
// nothing is applied, and this member does not stand for election.
func (l *commandLog) startLoading() {
	l.loader.start(l.raft.Snapshot())
	l.raft.SetStateLoading(true)
}

// loadPart loads the next part of a snapshot that is being loaded, and takes its state
// over once it is complete.
func (l *commandLog) loadPart() {
	if !l.loader.active() {
		return
	}
	loaded := l.loader.loadPart()
	if loaded == nil {
		return
	}
	l.replicated, l.appliedIndex = loaded, l.loader.lastIndex()
	l.snapshots.completed(l.appliedIndex, totalBytes(l.raft.Snapshot().Parts))
	l.raft.AdvanceClock(loaded.Time)
	l.raft.SetStateLoading(false)
}

// writeSnapshotPart writes the next part of a snapshot if the log is due to be compacted,
// and compacts the log once the snapshot is complete.
func (l *commandLog) writeSnapshotPart() {
	if l.loader.active() {
		return
	}
	if !l.replicated.SnapshotInProgress() {
		if !l.snapshots.due(l.appliedIndex, l.raft.LogBytes()) {
			return
		}
		l.snapshots.begin(l.appliedIndex)
		l.replicated.BeginSnapshot()
	}
	if parts := l.replicated.ContinueSnapshot(snapshotWriteBytesPerStep); parts != nil {
		index := l.snapshots.lastIndex()
		l.snapshots.completed(index, totalBytes(parts))
		l.raft.Compact(index, parts)
	}
}
