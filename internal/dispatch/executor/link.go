package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// maxEndedIncarnations bounds the ended worker processes that are remembered; beyond it
// all are forgotten.
const maxEndedIncarnations = 64

// workerLink is the agent's side towards a worker that it calls. It is made with the
// worker's first heartbeat.
//
// The worker's processes are distinguished by their incarnations. A process runs attempts
// only under a lease that ends at a reading of its own clock (link_lease). The agent
// starts each attempt once (link_calls); a start that got no reply is unsure, and is
// resolved by a query that raises the fencing token, below which the worker starts
// nothing any more: what the worker then does not list was not started and never will be
// (link_replies). Ends are acknowledged to the worker only once they are committed to
// the log (link_ends). An attempt whose lease has expired in the log by the time its end
// is reported stays so: the worker does not count such an end either.
type workerLink struct {
	process           workerProcess
	endedIncarnations map[types.ID]bool
	// successor is the latest heartbeat of another process, kept until the present one
	// is known to be over or to live. seenAt is when it arrived.
	successor       *wire.WorkerHeartbeat
	successorSeenAt types.MonoTime

	clock           workerClock
	maxLeaseEndSent int64 // highest lease end that was sent, ms of the worker's clock
	fence           fence
	calls           callTable
	ends            endTable
	newestListClock int64 // clock of the newest list of running attempts, ms

	capacity       capacityLimit
	unhealthyUntil types.MonoTime // given no tasks until then
	unresponsive   bool           // nothing has come from it since a call that got no reply
	counters       CallCounters
}

// workerProcess is the present process of the worker. Its incarnation is empty for none.
type workerProcess struct {
	incarnation       types.ID
	addr              types.Addr
	heartbeatSequence uint64 // of the latest heartbeat
	// deregistered is set for a process that deregistered without having announced its
	// departure, and that runs on for a while.
	deregistered bool
}

func newWorkerLink() *workerLink {
	return &workerLink{
		endedIncarnations: map[types.ID]bool{},
		calls:             callTable{inFlight: map[uint64]*inFlightCall{}},
		ends:              endTable{pending: map[uint64]*pendingEnd{}},
	}
}

// adopt makes the process that sent a heartbeat the present one.
func (l *workerLink) adopt(now types.MonoTime, heartbeat wire.WorkerHeartbeat) {
	l.process = workerProcess{
		incarnation:       heartbeat.Incarnation,
		addr:              heartbeat.Addr,
		heartbeatSequence: heartbeat.Seq,
	}
	l.successor = nil
	l.clock = workerClock{readingMS: heartbeat.ClockMS, readAt: now}
	l.maxLeaseEndSent = 0
	l.fence = fence{token: tokenAt(max(heartbeat.ClockMS, 0))}
	l.calls.renewal, l.calls.query, l.calls.nextAt = 0, 0, types.DistantPast
	clear(l.ends.pending)
	l.ends = endTable{pending: l.ends.pending}
	l.newestListClock = 0
	l.capacity = capacityLimit{until: types.DistantPast}
	l.unhealthyUntil = types.DistantPast
	l.unresponsive = false
	l.counters.Incarnations++
}

// end gives up the present process. One that has exited, rather than one that could not
// be reached for longer than its lease, can send nothing more.
func (l *workerLink) end(hasExited bool) {
	if len(l.endedIncarnations) >= maxEndedIncarnations {
		clear(l.endedIncarnations)
	}
	if hasExited {
		l.endedIncarnations[l.process.incarnation] = true
	}
	l.process.incarnation = ""
	l.calls.renewal, l.calls.query = 0, 0
	clear(l.calls.inFlight)
	clear(l.ends.pending)
}

// HandleWorkerHeartbeat handles the heartbeat of a worker that is called. A process that
// has ended is ignored. Another process waits until the present one is known to be over;
// if that still answers, the heartbeat was a late one of a process before it.
func (ex *Executor) HandleWorkerHeartbeat(now types.MonoTime, heartbeat wire.WorkerHeartbeat) {
	ex.now = now
	if ex.link == nil {
		ex.link = newWorkerLink()
	}
	link := ex.link
	switch {
	case link.endedIncarnations[heartbeat.Incarnation]:
	case link.process.incarnation == "":
		ex.adoptIncarnation(heartbeat)
	case link.process.incarnation != heartbeat.Incarnation:
		link.successor, link.successorSeenAt = &heartbeat, now
		ex.makeDueCalls()
	case heartbeat.Seq > link.process.heartbeatSequence:
		link.process.heartbeatSequence, link.process.addr = heartbeat.Seq, heartbeat.Addr
		ex.worker.lastContactAt = now
		link.clock.update(now, heartbeat.ClockMS)
		ex.recordWorkerReport(heartbeat)
	}
}

// HandleDeregistration handles the deregistration of a called worker's process. One
// that has announced its departure before ends now, with all that it ran. Any other runs
// on for a while: it is departing from now on, whatever late heartbeats say, and is over
// only when its lease has ended or another process answers in its place.
func (ex *Executor) HandleDeregistration(now types.MonoTime, incarnation types.ID) {
	ex.now = now
	link := ex.link
	switch {
	case link == nil || link.process.incarnation != incarnation || link.process.deregistered:
	case ex.worker.report.Departing:
		ex.endIncarnation(true)
	default:
		link.process.deregistered = true
		ex.reports.requestHeartbeat()
		ex.setDeparting(ex.timeouts.DepartureTime)
	}
}

// setDeparting records that the worker is departing, and how long it will surely go on
// running; 0 if that is not known.
func (ex *Executor) setDeparting(departsIn time.Duration) {
	ex.worker.report.Departing, ex.worker.report.DepartsInMS = true, departsIn.Milliseconds()
	ex.worker.departsAt = ex.now.Add(departsIn)
}

func (ex *Executor) recordWorkerReport(heartbeat wire.WorkerHeartbeat) {
	before := ex.worker.report
	ex.worker.report = protocol.WorkerReport{
		Rack:          heartbeat.Rack,
		Kinds:         heartbeat.Kinds,
		Capacity:      heartbeat.Capacity,
		Labels:        heartbeat.Labels,
		Shortfall:     before.Shortfall,
		Healthy:       before.Healthy,
		CalledByAgent: true,
	}
	report := &ex.worker.report
	switch {
	case heartbeat.Draining:
		ex.setDeparting(time.Duration(heartbeat.DepartsInMS) * time.Millisecond)
	case ex.link.process.deregistered: // a late heartbeat, or a worker that never announces its departure
		report.Departing, report.DepartsInMS = true, before.DepartsInMS
	}
	if report.Departing != before.Departing || !before.Healthy {
		ex.reports.requestHeartbeat()
	}
}

// adoptIncarnation makes a worker process the present one. Before anything else it is
// queried what it runs.
func (ex *Executor) adoptIncarnation(heartbeat wire.WorkerHeartbeat) {
	ex.link.adopt(ex.now, heartbeat)
	ex.worker.process, ex.worker.lastContactAt = heartbeat.Incarnation, ex.now
	ex.worker.runningTasksKnown = false
	ex.recordWorkerReport(heartbeat)
	ex.makeDueCalls()
}

// endIncarnation gives up the present process, with which all its attempts have ended,
// and adopts the one that has come after it, if any. For hasExited see workerLink.end.
func (ex *Executor) endIncarnation(hasExited bool) {
	ex.link.end(hasExited)
	ex.endAllAttempts()
	ex.worker.report.Healthy = false
	ex.reports.requestHeartbeat()
	if ex.link.successor != nil {
		ex.adoptIncarnation(*ex.link.successor)
	}
}

// linkUnhealthy reports whether a worker that is called has said that it is unhealthy,
// or has sent nothing for a while although it was called.
func (ex *Executor) linkUnhealthy() bool {
	link := ex.link
	if link.process.incarnation == "" || link.unresponsive || ex.now < link.unhealthyUntil {
		return true
	}
	maxUnheard := idlePollWait + replyTimeout + ex.timeouts.UnhealthyAfter
	return ex.now.Sub(ex.worker.lastContactAt) > maxUnheard
}
