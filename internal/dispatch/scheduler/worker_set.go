// The worker set and its consensus, after the paper: each leader numbers the
// sets it has known, each agent carries the one it heard of last, and a new agent
// gets no work before every set that could end a later leader's wait has it in,
// directly or through the agents in that set (indirectWorkerSetID_). The sets are
// kept as a history of differences: an agent is in those from the one that it came
// with up to the one that it was lost with; the digest is kept as they change.
package scheduler

import (
	"hash/fnv"
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// instanceHash stands for an agent instance; that of a set is the sum of its members'.
func instanceHash(id types.ID) uint64 {
	f := fnv.New64a()
	f.Write([]byte(id))
	return f.Sum64()
}

// workerSetHistory is the history. Groups are the seats by their indirect sets.
type workerSetHistory struct {
	version           int
	hash              uint64
	size              int
	byIndirectVersion map[int][]*RemoteWorker
	joined            []*RemoteWorker // in order of joining; some have left
}

// inSet tells whether a seat's agent is in a set.
func (r *RemoteWorker) inSet(set int) bool {
	return r.joinedVersion <= set && (r.leftVersion == 0 || set < r.leftVersion)
}

// add makes the next set, with an agent in it and the one that it replaces out.
func (wo *workerSetHistory) add(s, old *RemoteWorker) {
	wo.version++
	if old != nil {
		wo.leave(old)
		wo.ungroup(old)
	}
	s.joinedVersion = wo.version
	wo.hash += instanceHash(s.Instance)
	wo.size++
	wo.byIndirectVersion[0] = append(wo.byIndirectVersion[0], s)
	wo.joined = append(wo.joined, s)
}

// removeLost makes the next set, with a lost agent out of it.
func (wo *workerSetHistory) removeLost(s *RemoteWorker) {
	wo.version++
	wo.leave(s)
}

func (wo *workerSetHistory) leave(s *RemoteWorker) {
	if s.leftVersion != 0 {
		return
	}
	s.leftVersion = wo.version
	wo.hash -= instanceHash(s.Instance)
	wo.size--
	if len(wo.joined) > 2*wo.size+64 {
		wo.joined = slices.DeleteFunc(wo.joined, func(s *RemoteWorker) bool { return s.leftVersion != 0 })
	}
}

func (wo *workerSetHistory) ungroup(s *RemoteWorker) {
	list := slices.DeleteFunc(wo.byIndirectVersion[s.indirectSetVersion], func(o *RemoteWorker) bool { return o == s })
	if wo.byIndirectVersion[s.indirectSetVersion] = list; len(list) == 0 {
		delete(wo.byIndirectVersion, s.indirectSetVersion)
	}
}

// propagate brings indirect sets up after an agent told of a newer set: its own to that
// one or the highest of the agents in it, then that of any agent whose set has it
// in, or one brought up so, to the same.
func (wo *workerSetHistory) propagate(s *RemoteWorker) {
	if s.setVersion <= s.indirectSetVersion {
		return
	}
	wo.ungroup(s)
	s.indirectSetVersion = s.setVersion
	for more := true; more; {
		more = false
		for set, list := range wo.byIndirectVersion {
			if set > s.indirectSetVersion && slices.ContainsFunc(list, func(o *RemoteWorker) bool { return o.inSet(s.indirectSetVersion) }) {
				s.indirectSetVersion, more = set, true
			}
		}
	}
	wo.byIndirectVersion[s.indirectSetVersion] = append(wo.byIndirectVersion[s.indirectSetVersion], s)
	for up := []*RemoteWorker{s}; len(up) > 0; up = up[1:] {
		for set, list := range wo.byIndirectVersion {
			if set == 0 || set >= s.indirectSetVersion || !up[0].inSet(set) {
				continue
			}
			delete(wo.byIndirectVersion, set)
			for _, o := range list {
				o.indirectSetVersion = s.indirectSetVersion
			}
			wo.byIndirectVersion[s.indirectSetVersion] = append(wo.byIndirectVersion[s.indirectSetVersion], list...)
			up = append(up, list...)
		}
	}
}

// permitsHealthy is consensusPermitsWorkerToBecomeHealthy: the agent requires every
// other that is not lost, and each of those requires it, if indirectly.
func (wo *workerSetHistory) permitsHealthy(w *RemoteWorker) bool {
	if w.setVersion == 0 {
		return false
	}
	for i := len(wo.joined) - 1; i >= 0 && wo.joined[i].joinedVersion > w.setVersion; i-- {
		if u := wo.joined[i]; u != w && u.leftVersion == 0 {
			return false
		}
	}
	for set, list := range wo.byIndirectVersion {
		if set < w.joinedVersion && slices.ContainsFunc(list, func(u *RemoteWorker) bool { return u != w && u.leftVersion == 0 }) {
			return false
		}
	}
	return true
}

func (sc *Scheduler) currentWorkerSet() protocol.WorkerSetID {
	return protocol.WorkerSetID{Term: sc.term, Version: sc.workerSets.version, Hash: sc.workerSets.hash, Size: sc.workerSets.size}
}
