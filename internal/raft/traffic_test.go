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
				if m.node.HoldsLease() {
					w.check.counter++
					if i, ok := m.node.Propose(json.RawMessage(fmt.Sprint(w.check.counter))); ok {
						m.waits = append(m.waits, proposal{i, m.node.voteRecord.Term})
					}
				}
			})
		}
	}
}

// acknowledge answers what this process proposed and sees committed.
func (m *machine) acknowledge() {
	n, kept := m.node, m.waits[:0]
	for _, p := range m.waits {
		t, ok := n.termAt(p.index)
		switch {
		case n.commitIndex < p.index:
			kept = append(kept, p)
		case ok && t == p.term:
			m.w.check.acked = max(m.w.check.acked, p.index)
			m.w.check.ackedAt = m.w.now
		}
	}
	m.waits = kept
}

// leader is the machine that may answer reads now, if any.
func (w *world) leader() *machine {
	for _, m := range w.machines {
		if m.up() && !m.frozen && m.node.IsLeader() && m.leases() {
			return m
		}
	}
	return nil
}

// leases tells whether the process would answer a read that comes now.
func (m *machine) leases() bool {
	was := m.node.now
	m.node.now = m.clock()
	ok := m.node.HoldsLease()
	m.node.now = was
	return ok
}
