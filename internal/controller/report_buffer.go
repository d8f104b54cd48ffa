package controller

import (
	"slices"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	maxBufferedReports = 1024
	// unknownAttemptRetention is how long a report is kept of an attempt that this
	// controller's log does not have yet.
	unknownAttemptRetention = 10 * time.Second
	// minAcknowledgedAge is how old an end must be at least to be taken for acknowledged
	// because its agent no longer reports it.
	minAcknowledgedAge = 200 * time.Millisecond
	// maxForwardBackoff bounds how often the interval between two forwards of a report doubles.
	maxForwardBackoff = 5
)

// reportBuffer keeps the ends that agents have reported until the log has them. Every
// controller that receives a report keeps it: the leader may lose its leadership before the
// end is committed, and the agent may have stopped by then.
type reportBuffer struct {
	reports []bufferedReport
}

// bufferedReport is a report with ends that are not in the log yet.
type bufferedReport struct {
	from        types.Addr
	status      protocol.StatusReport
	receivedAt  types.MonoTime
	forwardedAt types.MonoTime
	forwards    int // how often it was forwarded to the leader
}

// add keeps what of a report is not in the log and not in the buffer.
func (b *reportBuffer) add(now types.MonoTime, s *state.State, message wire.Message) {
	update, ok := wire.DecodeBody[protocol.StatusReport](message)
	if !ok || len(b.reports) >= maxBufferedReports {
		return
	}
	if update.Complete {
		b.dropAcknowledged(now, message.From, update)
	}
	update.Complete = false // of what is kept
	update.Ends = slices.DeleteFunc(update.Ends, func(end state.AttemptEnd) bool {
		return !end.Outcome.ReportedByWorker() || !shouldRetain(now, s, end, now)
	})
	for _, report := range b.reports {
		update.Ends = slices.DeleteFunc(update.Ends, func(end state.AttemptEnd) bool {
			return slices.Contains(report.status.Ends, end)
		})
	}
	if len(update.Ends) > 0 {
		report := bufferedReport{from: message.From, status: update, receivedAt: now, forwardedAt: now}
		b.reports = append(b.reports, report)
	}
}

// dropAcknowledged drops the ends that an agent reported before and that its complete report
// lacks: the leader has acknowledged them, though this controller may be cut off from it and
// its log may not have them. The agent goes on reporting any other.
func (b *reportBuffer) dropAcknowledged(now types.MonoTime, agent types.Addr, complete protocol.StatusReport) {
	for i := range b.reports {
		report := &b.reports[i]
		isOfAgent := report.from == agent && report.status.Instance == complete.Instance
		if !isOfAgent || now.Sub(report.receivedAt) < minAcknowledgedAge {
			continue
		}
		report.status.Ends = slices.DeleteFunc(report.status.Ends, func(end state.AttemptEnd) bool {
			return !slices.Contains(complete.Ends, end)
		})
	}
	b.reports = slices.DeleteFunc(b.reports, func(report bufferedReport) bool { return len(report.status.Ends) == 0 })
}

// prune drops the reports of which nothing must be kept any longer.
func (b *reportBuffer) prune(now types.MonoTime, s *state.State) {
	b.reports = slices.DeleteFunc(b.reports, func(report bufferedReport) bool {
		return !slices.ContainsFunc(report.status.Ends, func(end state.AttemptEnd) bool {
			return shouldRetain(now, s, end, report.receivedAt)
		})
	})
}

// takeDue returns the reports that were not forwarded for an interval, which doubles with
// each forward, and counts them as forwarded now.
func (b *reportBuffer) takeDue(now types.MonoTime, interval time.Duration) []*bufferedReport {
	var due []*bufferedReport
	for i := range b.reports {
		report := &b.reports[i]
		if now.Sub(report.forwardedAt) >= interval<<min(report.forwards, maxForwardBackoff) {
			report.forwardedAt = now
			due = append(due, report)
		}
	}
	return due
}

// message returns the report as its agent sent it, for another destination.
func (r *bufferedReport) message(to types.Addr) wire.OutboundMessage {
	return wire.NewMessage(r.from, to, wire.StatusReport, r.status)
}

// shouldRetain reports whether an end, received at some time, is not in the log. One of an
// attempt that the log does not know is kept for a while: this controller may be behind.
func shouldRetain(now types.MonoTime, s *state.State, end state.AttemptEnd, receivedAt types.MonoTime) bool {
	j := s.Jobs[end.ID.Job]
	if j == nil {
		return now.Sub(receivedAt) <= unknownAttemptRetention
	}
	if task := j.Task(end.ID.TaskNumber); task != nil && end.ID.Attempt > task.LastAttempt {
		return now.Sub(receivedAt) <= unknownAttemptRetention
	}
	return !endRecorded(s, end)
}
