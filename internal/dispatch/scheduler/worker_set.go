package scheduler

import (
	"hash/fnv"
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// setMembership is a worker's part in the worker sets, each of which is named by its
// version under this leadership; 0 is none.
type setMembership struct {
	// initial is the set that the agent reported when it connected.
	initial protocol.WorkerSetID
	// reported is the version of the latest set that the agent has reported back (the
	// paper's workerSetID_). The worker requires all members of that set.
	reported int
	// indirect is the version of the latest set that the worker requires, directly or
	// through the workers that it requires (the paper's indirectWorkerSetID_).
	indirect int
	// joinedIn is the version of the first set that has the worker, leftIn that of the
	// first one after it that has it no more, or 0 if it is in the latest set.
	joinedIn, leftIn int
	// hasBeenHealthy is the paper's hasBeenHealthy_: once the worker has been, consensus
	// is no longer asked.
	hasBeenHealthy bool
}

// holds reports whether the worker is in a set.
func (s *setMembership) includes(version int) bool {
	return s.joinedIn <= version && (s.leftIn == 0 || version < s.leftIn)
}

// workerSetHistory keeps the worker sets of a leadership and decides by the paper's
// consensus which workers may be given tasks. Each leader numbers its sets, each agent
// reports the one that it received last, and a new agent gets no tasks before every set
// that could end a later leader's initial wait requires it, directly or through the
// workers of that set.
//
// The sets are kept as a history of differences: each worker knows from which set to
// which it is a member, and only the latest set's hash and size are kept.
type workerSetHistory struct {
	version int
	hash    uint64 // sum of the members' instanceHash
	size    int
	// byIndirect groups the workers that are their shards' by setMembership.indirect.
	byIndirect map[int][]*RemoteWorker
	joined     []*RemoteWorker // in order of joining; some have left
}

func newWorkerSetHistory() workerSetHistory {
	return workerSetHistory{byIndirect: map[int][]*RemoteWorker{}}
}

func instanceHash(instance types.ID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(instance)) // never fails
	return hash.Sum64()
}

// latest identifies the latest set of the leader of a term.
func (ws *workerSetHistory) latest(term types.Term) protocol.WorkerSetID {
	return protocol.WorkerSetID{Term: term, Version: ws.version, Hash: ws.hash, Size: ws.size}
}

// add makes the next set, with a worker in it and the one that it replaces, if any, out.
func (ws *workerSetHistory) add(worker, replaced *RemoteWorker) {
	ws.version++
	if replaced != nil {
		ws.removeFromLatest(replaced)
		ws.ungroup(replaced)
	}
	worker.sets.joinedIn = ws.version
	ws.hash += instanceHash(worker.Instance)
	ws.size++
	ws.group(worker)
	ws.joined = append(ws.joined, worker)
}

// removeLost makes the next set, with a lost worker out of it.
func (ws *workerSetHistory) removeLost(worker *RemoteWorker) {
	ws.version++
	ws.removeFromLatest(worker)
}

// leave takes a worker out of the latest set, unless it has left before.
func (ws *workerSetHistory) removeFromLatest(worker *RemoteWorker) {
	if worker.sets.leftIn != 0 {
		return
	}
	worker.sets.leftIn = ws.version
	ws.hash -= instanceHash(worker.Instance)
	ws.size--
	if len(ws.joined) > 2*ws.size+64 {
		ws.joined = slices.DeleteFunc(ws.joined, hasLeft)
	}
}

func hasLeft(worker *RemoteWorker) bool { return worker.sets.leftIn != 0 }

func (ws *workerSetHistory) group(worker *RemoteWorker) {
	version := worker.sets.indirect
	ws.byIndirect[version] = append(ws.byIndirect[version], worker)
}

func (ws *workerSetHistory) ungroup(worker *RemoteWorker) {
	version := worker.sets.indirect
	isWorker := func(other *RemoteWorker) bool { return other == worker }
	rest := slices.DeleteFunc(ws.byIndirect[version], isWorker)
	if len(rest) == 0 {
		delete(ws.byIndirect, version)
	} else {
		ws.byIndirect[version] = rest
	}
}

// onReported records the latest set that a worker's agent has received, and raises the
// indirect sets that this changes. Versions that are not newer, or not of this history,
// change nothing.
func (ws *workerSetHistory) onReported(worker *RemoteWorker, version int) {
	if version <= worker.sets.reported || version > ws.version {
		return
	}
	worker.sets.reported = version
	if version <= worker.sets.indirect {
		return
	}
	ws.ungroup(worker)
	worker.sets.indirect = ws.highestRequired(version)
	ws.group(worker)
	ws.raiseDependents(worker)
}

// highestRequired returns the highest version that a worker requires, directly or
// indirectly, which requires the members of a set.
func (ws *workerSetHistory) highestRequired(version int) int {
	inSet := func(worker *RemoteWorker) bool { return worker.sets.includes(version) }
	for raised := true; raised; {
		raised = false
		for indirect, workers := range ws.byIndirect {
			if indirect > version && slices.ContainsFunc(workers, inSet) {
				version, raised = indirect, true
			}
		}
	}
	return version
}

// raiseDependents raises the indirect sets of all workers that require a worker, and of
// those that require them, to the worker's own. It is enough to pick the highest version
// (the paper's "Why is it okay to always pick the highest version when propagating?").
func (ws *workerSetHistory) raiseDependents(worker *RemoteWorker) {
	highest := worker.sets.indirect
	for raised := []*RemoteWorker{worker}; len(raised) > 0; raised = raised[1:] {
		for version, workers := range ws.byIndirect {
			if version == 0 || version >= highest || !raised[0].sets.includes(version) {
				continue
			}
			delete(ws.byIndirect, version)
			for _, dependent := range workers {
				dependent.sets.indirect = highest
			}
			ws.byIndirect[highest] = append(ws.byIndirect[highest], workers...)
			raised = append(raised, workers...)
		}
	}
}

// permitsHealthy is the paper's consensusPermitsWorkerToBecomeHealthy: the worker
// requires every other that is not lost, and each of those requires it, if indirectly.
func (ws *workerSetHistory) permitsHealthy(worker *RemoteWorker) bool {
	if worker.sets.reported == 0 {
		return false
	}
	isAnotherMember := func(other *RemoteWorker) bool { return other != worker && !hasLeft(other) }
	for i := len(ws.joined) - 1; i >= 0 && ws.joined[i].sets.joinedIn > worker.sets.reported; i-- {
		if isAnotherMember(ws.joined[i]) {
			return false
		}
	}
	for version, workers := range ws.byIndirect {
		if version < worker.sets.joinedIn && slices.ContainsFunc(workers, isAnotherMember) {
			return false
		}
	}
	return true
}
