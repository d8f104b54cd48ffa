// Entries that are proposed and acknowledged in a world, and who may answer reads there.
package raft

import (
	"encoding/json"
	"fmt"
)

// propose has whoever may put a new entry into the log.
func (w *world) propose() {
	for _, m := range w.machines {
		if m.up() && !m.frozen && m.node.IsLeader() {
			m.step(func() {
				if m.node.HoldsReadLease() {
					w.checker.proposals++
					if i, ok := m.node.Propose(json.RawMessage(fmt.Sprint(w.checker.proposals))); ok {
						m.pendingProposals = append(m.pendingProposals, proposal{i, m.node.hardState.Term})
					}
				}
			})
		}
	}
}

// acknowledge answers what this process proposed and sees committed.
func (m *machine) acknowledge() {
	n, kept := m.node, m.pendingProposals[:0]
	for _, p := range m.pendingProposals {
		t, ok := n.log.term(p.index)
		switch {
		case n.log.commitIndex < p.index:
			kept = append(kept, p)
		case ok && t == p.term:
			m.w.checker.acknowledged = max(m.w.checker.acknowledged, p.index)
			m.w.checker.acknowledgedAt = m.w.now
		}
	}
	m.pendingProposals = kept
}

// leader is the machine that may answer reads now, if any.
func (w *world) leader() *machine {
	for _, m := range w.machines {
		if m.up() && !m.frozen && m.node.IsLeader() && m.holdsReadLease() {
			return m
		}
	}
	return nil
}

// holdsReadLease tells whether the process would answer a read that comes now.
func (m *machine) holdsReadLease() bool {
	was := m.node.now
	m.node.now = m.clock()
	ok := m.node.HoldsReadLease()
	m.node.now = was
	return ok
}
