// The attempts that possibly run, kept by shard and by what is open about them, so
// that an event costs what it touches. Lists are in the attempts' own order, and
// shards in order of their names.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// OutstandingAttempt is an attempt that possibly runs.
type OutstandingAttempt struct {
	Attempt      types.AttemptID
	Shard        types.Shard
	Stage        types.Stage // or -1, where the log does not have it
	Resources    types.Resources
	Phase        attemptPhase
	BaselineName string // what its time is compared with
	TimeLimit    time.Duration
	OrderedAt    types.MonoTime
	Checkpoint   string         // what it has saved
	StragglerEnd types.MonoTime // by when it will have ended, where it is far behind its like
	killSentAt   types.MonoTime
}

// shardAttempts is what possibly runs on one shard.
type shardAttempts struct {
	list        []*OutstandingAttempt
	reserved    types.Resources
	unconfirmed int
	unsure      int
}

// attemptIndex is all of them.
type attemptIndex struct {
	byID         map[types.AttemptID]*OutstandingAttempt
	byShard      map[types.Shard]*shardAttempts
	unconfirmed  int
	unsureShards map[types.Shard]bool  // those with unsure attempts
	sentInOrder  []*OutstandingAttempt // in order of time; some are not any more
	// revisions counts, for each shard, how often its list has changed.
	revisions    map[types.Shard]uint64
	unknownToLog map[types.AttemptID]*OutstandingAttempt // told by an agent, and not given out as far as the log says
}

func newAttemptIndex() attemptIndex {
	return attemptIndex{byID: map[types.AttemptID]*OutstandingAttempt{}, byShard: map[types.Shard]*shardAttempts{}, unsureShards: map[types.Shard]bool{}, unknownToLog: map[types.AttemptID]*OutstandingAttempt{},
		revisions: map[types.Shard]uint64{}}
}

func compareOutstanding(a, b *OutstandingAttempt) int { return a.Attempt.Compare(b.Attempt) }

func (a *attemptIndex) add(o *OutstandingAttempt) {
	a.remove(o.Attempt)
	x := a.byShard[o.Shard]
	if x == nil {
		x = &shardAttempts{}
		a.byShard[o.Shard] = x
	}
	i, _ := slices.BinarySearchFunc(x.list, o, compareOutstanding)
	x.list = slices.Insert(x.list, i, o)
	x.reserved = x.reserved.Add(o.Resources)
	a.byID[o.Attempt] = o
	a.revisions[o.Shard]++
	if o.Stage < 0 {
		a.unknownToLog[o.Attempt] = o
	}
	a.adjustCounts(o, 1)
}

func (a *attemptIndex) remove(l types.AttemptID) {
	o := a.byID[l]
	if o == nil {
		return
	}
	a.adjustCounts(o, -1)
	delete(a.byID, l)
	a.revisions[o.Shard]++
	delete(a.unknownToLog, l)
	x := a.byShard[o.Shard]
	i, _ := slices.BinarySearchFunc(x.list, o, compareOutstanding)
	x.list = slices.Delete(x.list, i, i+1)
	x.reserved = x.reserved.Sub(o.Resources)
	if len(x.list) == 0 {
		delete(a.byShard, o.Shard)
	}
}

func (a *attemptIndex) setPhase(o *OutstandingAttempt, p attemptPhase) {
	a.adjustCounts(o, -1)
	o.Phase = p
	a.adjustCounts(o, 1)
}

func (a *attemptIndex) adjustCounts(o *OutstandingAttempt, by int) {
	x := a.byShard[o.Shard]
	switch o.Phase {
	case unconfirmed:
		x.unconfirmed += by
		a.unconfirmed += by
	case unsureIfRunning:
		if x.unsure += by; x.unsure > 0 {
			a.unsureShards[o.Shard] = true
		} else {
			delete(a.unsureShards, o.Shard)
		}
	case orderSent:
		if by > 0 {
			a.sentInOrder = append(a.sentInOrder, o)
		}
	}
}

// takeOverdue takes from the sent ones those that are no longer, and gives the ones
// that have been since before a time.
func (a *attemptIndex) takeOverdue(by types.MonoTime) (list []*OutstandingAttempt) {
	for len(a.sentInOrder) > 0 && (a.sentInOrder[0].Phase != orderSent || a.byID[a.sentInOrder[0].Attempt] != a.sentInOrder[0] || a.sentInOrder[0].OrderedAt < by) {
		if o := a.sentInOrder[0]; o.Phase == orderSent && a.byID[o.Attempt] == o {
			list = append(list, o)
		}
		a.sentInOrder = a.sentInOrder[1:]
	}
	return
}

// onShard lists what possibly runs on a shard; the list is a copy.
func (a *attemptIndex) onShard(s types.Shard) []*OutstandingAttempt {
	if x := a.byShard[s]; x != nil {
		return slices.Clone(x.list)
	}
	return nil
}

func (a *attemptIndex) reservedOn(s types.Shard) (r types.Resources) {
	if x := a.byShard[s]; x != nil {
		r = x.reserved
	}
	return
}

// unconfirmedWithoutWorker lists the attempts not told of yet on shards that no agent has come for.
func (a *attemptIndex) unconfirmedWithoutWorker(came map[types.Shard]*RemoteWorker) (list []*OutstandingAttempt) {
	if a.unconfirmed == 0 {
		return nil
	}
	for _, s := range sortedShards(a.byShard) {
		if x := a.byShard[s]; x.unconfirmed > 0 && came[s] == nil {
			for _, o := range x.list {
				if o.Phase == unconfirmed {
					list = append(list, o)
				}
			}
		}
	}
	return
}

// all lists every attempt, by shard.
func (a *attemptIndex) all() []*OutstandingAttempt {
	list := make([]*OutstandingAttempt, 0, len(a.byID))
	for _, s := range sortedShards(a.byShard) {
		list = append(list, a.byShard[s].list...)
	}
	return list
}

func sortedShards[T any](m map[types.Shard]T) []types.Shard { return slices.Sorted(maps.Keys(m)) }

type attemptPhase string

const (
	unconfirmed      attemptPhase = "unknown" // given out before this leadership, not told of yet
	orderSent        attemptPhase = "sent"
	confirmedRunning attemptPhase = "running"
	unsureIfRunning  attemptPhase = "unsure"
)

// Attempts lists the attempts that possibly run, by shard.
func (sc *Scheduler) Attempts() []*OutstandingAttempt { return sc.attempts.all() }

// AttemptsOn lists those of one shard in order, with a number that differs whenever the
// list does; the list is the scheduler's own and holds until its next step.
func (sc *Scheduler) AttemptsOn(shard types.Shard) ([]*OutstandingAttempt, uint64) {
	var list []*OutstandingAttempt
	if x := sc.attempts.byShard[shard]; x != nil {
		list = x.list
	}
	return list, sc.attempts.revisions[shard]
}

// ShardOf is the shard on which an attempt possibly runs, or nothing.
func (sc *Scheduler) ShardOf(attempt types.AttemptID) types.Shard {
	if o := sc.attempts.byID[attempt]; o != nil {
		return o.Shard
	}
	return ""
}
