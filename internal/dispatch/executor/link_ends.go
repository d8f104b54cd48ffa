package executor

// dropAcknowledgedEnds drops the ends that the worker has dropped.
func (ex *Executor) dropAcknowledgedEnds(seen uint64) {
	c := ex.link
	for n, e := range c.openEnds {
		if n <= seen {
			delete(c.openEnds, n)
			if l := ex.attempts[e.attempt]; l != nil && l.committed {
				ex.remove(e.attempt)
			}
		}
	}
}

// acknowledgeEnd takes it that the log has an attempt's end; ends are settled at the worker
// in their order.
func (ex *Executor) acknowledgeEnd(l *attempt) {
	c := ex.link
	if e := c.openEnds[l.endNumber]; l.endNumber > 0 && e != nil {
		e.committed = true
		for c.openEnds[c.acknowledgedEnd+1] != nil && c.openEnds[c.acknowledgedEnd+1].committed {
			c.acknowledgedEnd++
		}
		if c.acknowledgedEnd == c.highestEnd() {
			c.nextHoldAt = ex.now
		}
		return
	}
	ex.remove(l.spec.Attempt)
}

// highestEnd is the highest end that the worker has told.
func (w *WorkerLink) highestEnd() uint64 {
	n := w.acknowledgedEnd
	for k := range w.openEnds {
		n = max(n, k)
	}
	return n
}
