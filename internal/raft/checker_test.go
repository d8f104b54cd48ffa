// What must hold after each step of a world: Raft's own safety properties, the read
// lease, that nothing acknowledged is lost, and that whatever may still be lost leaves a
// quorum.
package raft

import (
	"time"

	"coppercourse/internal/types"
)

// checker remembers what was once true and must stay so.
type checker struct {
	leaders           map[types.Term]types.ID
	entries           map[types.Index]Entry // committed, by whoever saw that first
	committed         types.Index
	acknowledged      types.Index
	acknowledgedAt    time.Duration
	proposals         int
	leaseHolderSeenAt time.Duration // when a lease holder was last there
	leaseHolderSeen   bool
	compared          map[*machine]comparedState
}

type comparedState struct {
	life   int
	commit types.Index
}

func newChecker() checker {
	return checker{leaders: map[types.Term]types.ID{}, entries: map[types.Index]Entry{}, compared: map[*machine]comparedState{}}
}

// step checks all that one step of one machine can have broken.
func (c *checker) step(w *world, m *machine) {
	c.oneLeaderPerTerm(w, m)
	c.committedEntriesAreKept(w, m)
	c.readLeaseIsExclusive(w, m)
	c.leaderIsComplete(w, m)
	c.logsMatch(w, m)
}

func (c *checker) oneLeaderPerTerm(w *world, m *machine) {
	n := m.node
	if n.role != roleLeader {
		return
	}
	term := n.hardState.Term
	if other, ok := c.leaders[term]; ok && other != n.self.ID {
		w.fail("ONE LEADER: %s and %s both lead in term %d", other, n.self.ID, term)
	}
	c.leaders[term] = n.self.ID
}

// committedEntriesAreKept compares what a member holds as committed with what anybody held so:
// log matching for the committed part, and no committed entry ever replaced.
func (c *checker) committedEntriesAreKept(w *world, m *machine) {
	n := m.node
	from := n.log.snapshot.Index
	if was := c.compared[m]; was.life == m.incarnation && was.commit > from {
		from = was.commit
	}
	for i := from + 1; i <= n.log.commitIndex; i++ {
		if i > n.log.lastIndex() {
			w.fail("COMMIT: %s has committed %d and holds only %d", m.addr, i, n.log.lastIndex())
			return
		}
		e := n.Entry(i)
		was, ok := c.entries[i]
		if ok && (was.Term != e.Term || string(was.Data) != string(e.Data)) {
			w.fail("COMMITTED: entry %d is %d:%s at %s and was %d:%s", i, e.Term, e.Data, m.addr, was.Term, was.Data)
			return
		}
		c.entries[i] = e
		c.committed = max(c.committed, i)
	}
	c.compared[m] = comparedState{m.incarnation, n.log.commitIndex}
}

// readLeaseIsExclusive checks that nobody else may answer reads now, and that a read would miss nothing.
func (c *checker) readLeaseIsExclusive(w *world, m *machine) {
	if m.frozen || !m.holdsReadLease() {
		return
	}
	c.leaseHolderSeenAt, c.leaseHolderSeen = w.now, true
	if m.node.log.commitIndex < c.acknowledged {
		w.fail("READ: %s answers reads with %d, and %d is acknowledged", m.addr, m.node.log.commitIndex, c.acknowledged)
	}
	for _, o := range w.machines {
		if o != m && o.up() && !o.frozen && o.node.role == roleLeader && o.holdsReadLease() {
			w.fail("LEASE: %s in term %d and %s in term %d may answer reads", m.addr, m.node.hardState.Term, o.addr, o.node.hardState.Term)
		}
	}
}

// leaderIsComplete checks that a leader of the newest term holds all that is committed.
func (c *checker) leaderIsComplete(w *world, m *machine) {
	n := m.node
	if n.role != roleLeader {
		return
	}
	for term := range c.leaders {
		if term > n.hardState.Term {
			return
		}
	}
	if n.log.lastIndex() < c.committed {
		w.fail("COMPLETE: %s leads term %d with %d entries, and %d are committed", m.addr, n.hardState.Term, n.log.lastIndex(), c.committed)
	} else if t, ok := n.log.term(c.committed); ok && c.committed > 0 && t != c.entries[c.committed].Term {
		w.fail("COMPLETE: %s leads term %d with entry %d of term %d, and that of term %d is committed", m.addr, n.hardState.Term, c.committed, t, c.entries[c.committed].Term)
	}
}

// logsMatch checks that two logs with an entry of one index and term have the same one
// there, for the last entry of the node that made a step.
func (c *checker) logsMatch(w *world, m *machine) {
	last := m.node.log.lastIndex()
	t, _ := m.node.log.term(last)
	for _, o := range w.machines {
		if o == m || !o.up() || last <= o.node.log.snapshot.Index || last <= m.node.log.snapshot.Index {
			continue
		}
		if ot, ok := o.node.log.term(last); ok && ot == t && string(o.node.Entry(last).Data) != string(m.node.Entry(last).Data) {
			w.fail("MATCH: %s and %s differ in entry %d of term %d", m.addr, o.addr, last, t)
		}
	}
}

// countsAsLost tells whether the machine counts as lost now, as the pages count it.
func (m *machine) countsAsLost() bool {
	w := m.w
	if m.departed {
		return m.recoveredAt == 0 || w.now < m.recoveredAt+testCatchUpTime // recoveredAt is its successor's start
	}
	if m.predecessor != nil && m.predecessor.departed && m.up() && !m.faulty && m.incarnation == 1 && m.recoveredAt == m.startedAt {
		return false // counted with the one that it replaces
	}
	return !m.up() || m.faulty || w.now < m.recoveredAt+testCatchUpTime
}

// lostCount is how many machines count as lost now.
func (w *world) lostCount() (count int) {
	for _, m := range w.machines {
		if m.countsAsLost() {
			count++
		}
	}
	return
}

// quorumSurvivesFurtherLosses checks that whatever may be lost on top of what is lost now, disks included,
// leaves a quorum of the voters of the committed configuration. Machines that count as
// lost but run on are taken for there only if needed for nothing.
func (c *checker) quorumSurvivesFurtherLosses(w *world) {
	l := w.leader()
	if l == nil || l.node.log.commitIndex < l.node.log.configIndex {
		return
	}
	spare := w.lossTolerance - w.lostCount()
	if spare < 0 {
		return
	}
	alive, voters := 0, 0
	for _, v := range l.node.log.config {
		if !v.Voter {
			continue
		}
		voters++
		if m := w.find(v.Addr); m != nil && m.up() && m.node.self.ID == v.ID && !m.countsAsLost() {
			alive++
		}
	}
	if alive-spare <= voters/2 {
		w.fail("QUORUM: %d of %d voters are safe, %d more machines may be lost: %s", alive, voters, spare, describe(l.node.log.config))
	}
}

// leaderWithinBound checks that a leader is there within the bound, once nothing has been done
// to the core for so long.
func (c *checker) leaderWithinBound(w *world) {
	since := max(c.leaseHolderSeenAt, w.lastFaultAt)
	if c.leaseHolderSeen && w.now-since > testServiceBound {
		w.fail("LEADER: none that may answer for %v, nothing done for %v", w.now-c.leaseHolderSeenAt, w.now-w.lastFaultAt)
	}
}
