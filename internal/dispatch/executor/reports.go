package executor

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// maxEndsPerStatus bounds the number of ends in one StatusReport.
	maxEndsPerStatus = 500

	// checkpointHeartbeats is the number of heartbeats that repeat a new checkpoint, so that
	// at least one of them arrives.
	checkpointHeartbeats = 4
)

// reportTimes holds the times at which reports were last sent, or types.DistantPast for a
// report that is due at once.
type reportTimes struct {
	heartbeatAt types.MonoTime
	statusAt    types.MonoTime
}

// requestHeartbeat makes the next heartbeat due at once.
func (rt *reportTimes) requestHeartbeat() { rt.heartbeatAt = types.DistantPast }

// requestStatus makes the next report of ends due at once.
func (rt *reportTimes) requestStatus() { rt.statusAt = types.DistantPast }

// sendReports sends the reports that are due to the leader.
func (ex *Executor) sendReports() {
	if ex.leader == "" {
		return
	}
	if shortfall := ex.capacityShortfall(); shortfall != ex.worker.report.Shortfall {
		ex.worker.report.Shortfall = shortfall
		ex.reports.requestHeartbeat()
	}
	if ex.now.Sub(ex.reports.heartbeatAt) >= ex.health.pace.Interval && ex.canReportRunningTasks() {
		ex.sendHeartbeat()
	}
	if ex.now.Sub(ex.reports.statusAt) >= ex.timeouts.RetryInterval {
		ex.sendStatus()
	}
}

func (ex *Executor) sendHeartbeat() {
	ex.reports.heartbeatAt = ex.now
	report := &ex.worker.report
	if report.DepartsInMS > 0 {
		report.DepartsInMS = max(1, ex.worker.departsAt.Sub(ex.now).Milliseconds())
	}
	ex.send(ex.leader, wire.Heartbeat, protocol.Heartbeat{
		Shard:            ex.shard,
		Instance:         ex.association.instance,
		PreviousInstance: ex.association.previousInstance,
		SentAt:           ex.now,
		WorkerSet:        ex.association.workerSet,
		WorkerReport:     *report,
		Checkpoints:      ex.recentCheckpoints(),
		Durations:        ex.durationEstimates(),
	})
}

// sendStatus reports the ends that are not yet committed.
func (ex *Executor) sendStatus() {
	var ends []state.AttemptEnd
	for _, attempt := range ex.attempts.sorted {
		if attempt.state == attemptEnded && !attempt.committed && len(ends) < maxEndsPerStatus {
			end := state.AttemptEnd{
				ID:         attempt.id(),
				Outcome:    attempt.outcome,
				Checkpoint: attempt.checkpoint,
			}
			ends = append(ends, end)
		}
	}
	if ends == nil {
		return
	}
	ex.reports.statusAt = ex.now
	status := protocol.StatusReport{
		Shard:    ex.shard,
		Instance: ex.association.instance,
		Ends:     ends,
		Complete: len(ends) < maxEndsPerStatus,
	}
	ex.send(ex.leader, wire.StatusReport, status)
}

// canReportRunningTasks reports whether the agent can list all running attempts. It can't
// while its worker has not reported yet and could still hold a lease from an earlier agent.
func (ex *Executor) canReportRunningTasks() bool {
	return ex.worker.runningTasksKnown || ex.now.Sub(ex.startedAt) > ex.timeouts.LostAfter
}

// recentCheckpoints returns the checkpoints that attempts have saved recently.
func (ex *Executor) recentCheckpoints() []protocol.Checkpoint {
	var list []protocol.Checkpoint
	for _, attempt := range ex.attempts.sorted {
		isRecent := ex.now.Sub(attempt.checkpointAt) < checkpointHeartbeats*ex.health.pace.Interval
		if attempt.state != attemptEnded && attempt.checkpoint != "" && isRecent {
			list = append(list, protocol.Checkpoint{Attempt: attempt.id(), Ref: attempt.checkpoint})
		}
	}
	return list
}
