package scheduler

import (
	"maps"
	"slices"

	"coppercourse/internal/types"
)

func compareOutstanding(a, b *OutstandingAttempt) int { return a.ID.Compare(b.ID) }

// shardAttempts are the attempts on one shard.
type shardAttempts struct {
	list        []*OutstandingAttempt // in the attempts' order
	reserved    types.Resources       // of all together
	unconfirmed int
	unsure      int
	revision    uint64 // a number that no other list had before
}

// attemptIndex holds all attempts that possibly run, by shard and by phase, so that an
// event costs what it touches. Lists are in the attempts' order, and shards in the order
// of their names.
type attemptIndex struct {
	byID         map[types.AttemptID]*OutstandingAttempt
	byShard      map[types.Shard]*shardAttempts // those with any
	unconfirmed  int
	unsureShards map[types.Shard]bool // those with unsure attempts
	// sentQueue are those whose order was sent, in order of time: RunTask stamps each with
	// the time of its step, which never goes back, and nothing else puts an attempt into this
	// phase. Some of them may have ended or changed their phase since.
	sentQueue    []*OutstandingAttempt
	lastRevision uint64 // of any shard's list
	// notInLog are those that an agent reported and the log did not have as assigned.
	notInLog map[types.AttemptID]*OutstandingAttempt
}

func newAttemptIndex() attemptIndex {
	return attemptIndex{
		byID:         map[types.AttemptID]*OutstandingAttempt{},
		byShard:      map[types.Shard]*shardAttempts{},
		unsureShards: map[types.Shard]bool{},
		notInLog:     map[types.AttemptID]*OutstandingAttempt{},
	}
}

// add puts an attempt in, in place of one with its id.
func (a *attemptIndex) add(attempt *OutstandingAttempt) {
	a.remove(attempt.ID)
	onShard := a.byShard[attempt.Shard]
	if onShard == nil {
		onShard = &shardAttempts{}
		a.byShard[attempt.Shard] = onShard
	}
	i, _ := slices.BinarySearchFunc(onShard.list, attempt, compareOutstanding)
	onShard.list = slices.Insert(onShard.list, i, attempt)
	onShard.reserved = onShard.reserved.Add(attempt.Resources)
	a.byID[attempt.ID] = attempt
	a.bumpRevision(onShard)
	if attempt.Stage == StageUnknown {
		a.notInLog[attempt.ID] = attempt
	}
	a.adjustCounts(attempt, 1)
}

func (a *attemptIndex) remove(id types.AttemptID) {
	attempt := a.byID[id]
	if attempt == nil {
		return
	}
	a.adjustCounts(attempt, -1)
	delete(a.byID, id)
	delete(a.notInLog, id)
	onShard := a.byShard[attempt.Shard]
	a.bumpRevision(onShard)
	i, _ := slices.BinarySearchFunc(onShard.list, attempt, compareOutstanding)
	onShard.list = slices.Delete(onShard.list, i, i+1)
	onShard.reserved = onShard.reserved.Sub(attempt.Resources)
	if len(onShard.list) == 0 {
		delete(a.byShard, attempt.Shard)
	}
}

// revise gives a shard's list the next revision.
func (a *attemptIndex) bumpRevision(onShard *shardAttempts) {
	a.lastRevision++
	onShard.revision = a.lastRevision
}

// revision returns a number that changes whenever the list of a shard does; 0 for an empty
// list.
func (a *attemptIndex) revision(shard types.Shard) uint64 {
	if onShard := a.byShard[shard]; onShard != nil {
		return onShard.revision
	}
	return 0
}

func (a *attemptIndex) setPhase(attempt *OutstandingAttempt, phase attemptPhase) {
	a.adjustCounts(attempt, -1)
	attempt.phase = phase
	a.adjustCounts(attempt, 1)
}

func (a *attemptIndex) setPhaseOnShard(shard types.Shard, phase attemptPhase) {
	for _, attempt := range a.onShard(shard) {
		a.setPhase(attempt, phase)
	}
}

// adjustCounts adds an attempt to the counts of its phase (by 1), or removes it (by -1).
func (a *attemptIndex) adjustCounts(attempt *OutstandingAttempt, by int) {
	onShard := a.byShard[attempt.Shard]
	switch attempt.phase {
	case unconfirmed:
		onShard.unconfirmed += by
		a.unconfirmed += by
	case unsureIfRunning:
		onShard.unsure += by
		if onShard.unsure > 0 {
			a.unsureShards[attempt.Shard] = true
		} else {
			delete(a.unsureShards, attempt.Shard)
		}
	case runTaskSent:
		if by > 0 {
			a.sentQueue = append(a.sentQueue, attempt)
		}
	}
}

// takeOverdue lists the attempts whose order was sent before a time and that are still
// in that phase. It drops them from sentQueue, and with them those before that are no
// longer in it.
func (a *attemptIndex) takeOverdue(before types.MonoTime) []*OutstandingAttempt {
	var overdue []*OutstandingAttempt
	for len(a.sentQueue) > 0 {
		first := a.sentQueue[0]
		isSent := first.phase == runTaskSent && a.byID[first.ID] == first
		if isSent && first.DispatchedAt >= before {
			break
		}
		if isSent {
			overdue = append(overdue, first)
		}
		a.sentQueue = a.sentQueue[1:]
	}
	return overdue
}

// onShard lists the attempts on a shard; the list is a copy.
func (a *attemptIndex) onShard(shard types.Shard) []*OutstandingAttempt {
	if onShard := a.byShard[shard]; onShard != nil {
		return slices.Clone(onShard.list)
	}
	return nil
}

// unsureOn lists the unsure attempts on a shard.
func (a *attemptIndex) unsureOn(shard types.Shard) []types.AttemptID {
	onShard := a.byShard[shard]
	if onShard == nil {
		return nil
	}
	var list []types.AttemptID
	for _, attempt := range onShard.list {
		if attempt.phase == unsureIfRunning {
			list = append(list, attempt.ID)
		}
	}
	return list
}

// reservedOn returns the resources of all attempts on a shard together.
func (a *attemptIndex) reservedOn(shard types.Shard) types.Resources {
	if onShard := a.byShard[shard]; onShard != nil {
		return onShard.reserved
	}
	return types.Resources{}
}

// unconfirmedWithoutWorker lists the unconfirmed attempts on shards that have no worker.
func (a *attemptIndex) unconfirmedWithoutWorker(workers map[types.Shard]*RemoteWorker) []*OutstandingAttempt {
	if a.unconfirmed == 0 {
		return nil
	}
	var list []*OutstandingAttempt
	for _, shard := range sortedShards(a.byShard) {
		onShard := a.byShard[shard]
		if onShard.unconfirmed == 0 || workers[shard] != nil {
			continue
		}
		for _, attempt := range onShard.list {
			if attempt.phase == unconfirmed {
				list = append(list, attempt)
			}
		}
	}
	return list
}

// all lists every attempt, by shard.
func (a *attemptIndex) all() []*OutstandingAttempt {
	list := make([]*OutstandingAttempt, 0, len(a.byID))
	for _, shard := range sortedShards(a.byShard) {
		list = append(list, a.byShard[shard].list...)
	}
	return list
}

func sortedShards[T any](m map[types.Shard]T) []types.Shard { return slices.Sorted(maps.Keys(m)) }
