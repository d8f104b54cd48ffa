package state

// Outcome is how an attempt ended. The values are stored.
type Outcome string

// Outcomes of attempts.
const (
	// OutcomeOK is success.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed is a failure that the worker reported.
	OutcomeFailed Outcome = "failed"
	// OutcomeLost means that the worker was lost; the attempt's true end is unknown.
	OutcomeLost Outcome = "lost"
	// OutcomePartitioned means that the worker was lost together with its whole zone, so its
	// attempts may still be running on the other side of a network partition.
	OutcomePartitioned Outcome = "cut off"
	// OutcomeWaitExpired means that the wait for the true end of a lost attempt timed out.
	OutcomeWaitExpired Outcome = "waited"
	// OutcomeStopped means that the attempt was stopped on request.
	OutcomeStopped Outcome = "stopped"
	// OutcomeNeverRan means that the attempt has not run and never will.
	OutcomeNeverRan Outcome = "refused"
	// OutcomeWorkerExited means that the worker's process is known to have ended.
	OutcomeWorkerExited Outcome = "gone"
	// OutcomeLeaseExpired means that the attempt's lease expired before its end was observed:
	// any later report of it is ignored.
	OutcomeLeaseExpired Outcome = "lapsed"
)

// unresolved reports whether the attempt may still be reported as successful.
func (o Outcome) unresolved() bool { return o == OutcomeLost || o == OutcomePartitioned }

// ReportedByWorker reports whether the outcome is the worker's own result, which is valid
// whichever process forwards it.
func (o Outcome) ReportedByWorker() bool { return o == OutcomeOK || o == OutcomeFailed }

// FreesResources reports whether it is certain that the attempt no longer occupies
// resources of its worker.
func (o Outcome) FreesResources() bool {
	return o.ReportedByWorker() || o == OutcomeStopped || o == OutcomeNeverRan
}
