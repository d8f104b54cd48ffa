package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	minRunTime    = 60 * time.Millisecond  // an attempt that runs for less tells nothing
	stallTime     = 300 * time.Millisecond // one that has not moved for so long stands still
	stalledFactor = 10                     // times what it has run, for one that stands still
	reestimateAt  = 1.3                    // an estimate is reported again when it changes by this factor
)

func (ex *Executor) sendReports() {
	if ex.leader == "" {
		return
	}
	if l := ex.capacityShortfall(); l != ex.report.Shortfall {
		ex.report.Shortfall, ex.lastHeartbeatAt = l, never
	}
	if ex.now.Sub(ex.lastHeartbeatAt) >= ex.timeouts.HeartbeatInterval && ex.canReportRunningTasks() {
		ex.lastHeartbeatAt = ex.now
		if ex.report.DepartsInMS > 0 {
			ex.report.DepartsInMS = max(1, ex.workerDepartsAt.Sub(ex.now).Milliseconds())
		}
		ex.send(ex.leader, wire.Heartbeat, protocol.Heartbeat{Shard: ex.shard, Instance: ex.instance, PreviousInstance: ex.previousInstance, SentAt: ex.now, WorkerSet: ex.workerSet, WorkerReport: ex.report, Checkpoints: ex.recentCheckpoints(), Durations: ex.durationEstimates()})
	}
	if ex.now.Sub(ex.lastStatusAt) < ex.timeouts.RetryInterval {
		return
	}
	var list []state.AttemptEnd
	for _, l := range ex.attemptsInOrder() {
		if l.state == attemptEnded && !l.committed && len(list) < 500 {
			list = append(list, state.AttemptEnd{ID: l.spec.Attempt, Outcome: l.outcome, Checkpoint: l.checkpoint})
		}
	}
	if list != nil {
		ex.lastStatusAt = ex.now
		ex.send(ex.leader, wire.StatusReport, protocol.UpdateStatus{Shard: ex.shard, Instance: ex.instance, Ends: list})
	}
}

// canReportRunningTasks is false while the agent can't tell what runs: its worker has not
// called yet and could still hold a grant of an earlier agent.
func (ex *Executor) canReportRunningTasks() bool {
	return ex.runningTasksKnown || ex.now.Sub(ex.startedAt) > ex.timeouts.LostAfter
}

// recentCheckpoints lists what attempts have saved of late.
func (ex *Executor) recentCheckpoints() (list []protocol.Checkpoint) {
	for _, l := range ex.attemptsInOrder() {
		if l.state != attemptEnded && l.checkpoint != "" && ex.now.Sub(l.checkpointAt) < 4*ex.timeouts.HeartbeatInterval {
			list = append(list, protocol.Checkpoint{Attempt: l.spec.Attempt, Ref: l.checkpoint})
		}
	}
	return
}

// estimateDuration is how long an attempt will take in all, or 0 if that can't be told.
func (a *attempt) estimateDuration(now types.MonoTime) time.Duration {
	ran := a.progressReadAt.Sub(a.startedAt)
	switch {
	case a.state != attemptRunning || a.progressReadAt == 0 || ran < minRunTime:
		return 0
	case a.percentDone <= 0 && now.Sub(a.progressChangedAt) < 2*stallTime:
		return 0 // it may wait for its gang
	case now.Sub(a.progressChangedAt) > stallTime && a.progressReadAt.Sub(a.progressChangedAt) > stallTime:
		return stalledFactor * ran
	case a.percentDone <= 0:
		return 0
	}
	return time.Duration(float64(ran) * 100 / a.percentDone)
}

// durationEstimates lists what there is to tell of the attempts' times.
func (ex *Executor) durationEstimates() (list []protocol.DurationEstimate) {
	for _, l := range ex.attemptsInOrder() {
		d := l.estimateDuration(ex.now)
		if d == 0 || l.reportedDuration > 0 && float64(d) < reestimateAt*float64(l.reportedDuration) && float64(l.reportedDuration) < reestimateAt*float64(d) {
			continue
		}
		l.reportedDuration = d
		list = append(list, protocol.DurationEstimate{Attempt: l.spec.Attempt, MS: d.Milliseconds()})
	}
	return
}
