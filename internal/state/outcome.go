package state

// Outcome is how an attempt ended. The values are stored.
type Outcome string

// Outcomes of attempts.
const (
	// OutcomeOK is success.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed is a failure that the worker reported.
	OutcomeFailed Outcome = "failed"
	// OutcomeLost means that the worker was lost; the attempt's true end is not known.
	OutcomeLost Outcome = "lost"
	// OutcomePartitioned means that the worker was lost together with its whole zone, so that
	// its attempts may still be running behind a network partition.
	OutcomePartitioned Outcome = "cut off"
	// OutcomeWaitExpired means that the true end of a lost attempt is no longer waited for.
	OutcomeWaitExpired Outcome = "waited"
	// OutcomeStopped means that the attempt was stopped on request.
	OutcomeStopped Outcome = "stopped"
	// OutcomeNeverRan means that the attempt did not run and never will.
	OutcomeNeverRan Outcome = "refused"
	// OutcomeWorkerExited means that the worker's process is known to have ended.
	OutcomeWorkerExited Outcome = "gone"
	// OutcomeLeaseExpired means that the attempt's lease expired unobserved: nothing that
	// it did counts any more.
	OutcomeLeaseExpired Outcome = "lapsed"
)

// unresolved reports whether the attempt may still turn out to have ended well.
func (o Outcome) unresolved() bool { return o == OutcomeLost || o == OutcomePartitioned }

// ReportedByWorker reports whether the outcome is what the worker itself did, which is
// true whoever reports it.
func (o Outcome) ReportedByWorker() bool { return o == OutcomeOK || o == OutcomeFailed }

// FreesResources reports whether it is certain that the attempt no longer occupies
// resources of its worker.
func (o Outcome) FreesResources() bool {
	return o.ReportedByWorker() || o == OutcomeStopped || o == OutcomeNeverRan
}
