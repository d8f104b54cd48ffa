package controller

import (
	"math/rand"

	"coppercourse/internal/configwatch"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/membership"
	"coppercourse/internal/policy"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// maxAppliesPerStep bounds the entries that one step applies.
const maxAppliesPerStep = 512

// Options configures a controller.
type Options struct {
	Addr              types.Addr            // advertised to the other daemons
	Zone              types.Zone            // failure domain
	Seeds             []types.Addr          // daemons to learn the membership from
	Bootstrap         raft.BootstrapOptions // how its cluster is bootstrapped
	LossTolerance     int                   // simultaneous losses of voters, with their disks, that must be tolerated
	Build             string                // version of the program
	RaftTimeouts      raft.Timeouts
	DispatchTimeouts  protocol.Timeouts
	SnapshotThreshold types.Index // minimum entries between two snapshots; 0 means DefaultSnapshotThreshold
	RemoteSlowdown    float64     // task duration away from its data, relative to its local duration; 0 means 1
	// QuotaExcess is the fraction of its limit by which a tenant may exceed it temporarily.
	QuotaExcess float64
	Policy      policy.Policy
}

// Controller is the state machine of one controller. It has a field for each component, dispatches
// each event to the component concerned, and calls the components of a step in a fixed order. A
// component has its own state and is used only through its methods.
type Controller struct {
	options   Options
	now       types.Now // time of the event being handled
	raft      *raft.Node
	members   *membership.MemberList
	log       *commandLog
	durations *durationEstimates
	overload  *overload
	requests  *requestTable
	outbox    *outbox
	publisher *configwatch.Publisher
	reports   reportBuffer
	leader    *leader
	api       *api

	shutdown  gracefulShutdown
	diskError error // error of the latest failed write; nil after a successful write

	// Trace holds recent events of each job and table.
	Trace *trace.Ring
	// Counters count since the start of the process.
	Counters Counters
}

// New returns a controller that recovers from records, which an earlier process wrote to its disk.
func New(now types.Now, rnd *rand.Rand, options Options, records [][]byte) *Controller {
	c := &Controller{
		options:   options,
		now:       now,
		raft:      newRaftNode(now, rnd, options, records),
		durations: newDurationEstimates(newLocality(options)),
		overload:  &overload{policy: options.Policy},
		requests:  newRequestTable(),
		publisher: configwatch.NewPublisher(options.Addr),
		Trace:     trace.New(),
	}
	c.outbox = &outbox{self: options.Addr, counters: &c.Counters}
	c.log = newCommandLog(c.raft, options.SnapshotThreshold)
	c.members = membership.New(rnd, c.describe(), options.Seeds)
	c.leader = newLeader(c)
	c.api = newAPI(c)
	return c
}

// newRaftNode returns the Raft node of this controller.
func newRaftNode(now types.Now, rnd *rand.Rand, options Options, records [][]byte) *raft.Node {
	return raft.New(now, raft.Options{
		Timeouts:  options.RaftTimeouts,
		Random:    rnd,
		Self:      raft.Member{Addr: options.Addr, Zone: options.Zone},
		Bootstrap: options.Bootstrap,
		NewID:     types.NewID(rnd),
	}, records)
}

// Step handles one event and returns its effects; see wire.Machine.
func (c *Controller) Step(e wire.Event) wire.Effects {
	c.now = e.Now
	c.raft.SetTime(e.Now)
	c.Counters.Steps++
	c.overload.setLoad(e.Load)
	c.leader.measurePlacement(e.Now.Mono, e.Load.EventAge)
	c.handle(e)
	c.applyCommitted()
	if c.overload.transferLeadership(c.now, c.raft) {
		c.Counters.OverloadTransfers++
	}
	c.stepLeader()
	c.log.writeSnapshotPart()
	c.members.SetSelf(c.describe())
	return c.effects()
}

// handle dispatches an event to the component concerned.
func (c *Controller) handle(e wire.Event) {
	switch {
	case e.Message != nil:
		c.handleMessage(*e.Message)
	case e.Request != nil:
		c.api.handleClient(c.now, *e.Request)
	case e.Synced > 0:
		c.diskError = nil
		c.raft.Synced(e.Now, e.Synced)
	case e.DiskError != nil:
		c.diskError = e.DiskError
		c.raft.DiskFailed(e.Now)
	case e.Shutdown:
		c.beginShutdown()
	default:
		c.api.rejectExpired(c.now, e.ExpiredForwards)
		c.tick()
	}
}

// handleMessage dispatches a message to the component concerned.
func (c *Controller) handleMessage(message wire.Message) {
	switch {
	case c.members.HandleMessage(c.now.Mono, message):
	case c.raft.Step(c.now, message):
	case message.Kind == wire.ForwardRequest:
		c.api.handleForwarded(c.now, message)
	case message.Kind == wire.ConfigWatch:
		if c.raft.HoldsReadLease() {
			c.publisher.HandleRequest(c.now.Mono, message)
		}
	default:
		if message.Kind == wire.StatusReport {
			c.reports.add(c.now.Mono, c.log.state(), message)
		}
		if c.leader.active() {
			c.leader.handleMessage(c.now.Mono, message)
		}
	}
}

// tick advances the timers of all components.
func (c *Controller) tick() {
	c.leader.requestPlacement()
	c.log.loadPart()
	c.members.Tick(c.now.Mono)
	c.raft.SetDiscoveredPeers(c.discoveredPeers(), c.foundersInOtherRoles())
	c.raft.Tick(c.now)
	c.forwardReports()
}

// applyCommitted applies at most maxAppliesPerStep committed entries, so that a controller that
// catches up still answers heartbeats.
func (c *Controller) applyCommitted() {
	c.log.installSnapshot()
	if c.log.isLoading() {
		return
	}
	for range maxAppliesPerStep {
		entry, ok := c.log.next()
		if !ok {
			break
		}
		c.Counters.Applied++
		if command, ok := c.log.command(entry); ok {
			c.apply(entry, command)
		}
	}
	c.api.replyReads()
}

// apply applies one command and notifies the components that depend on it.
func (c *Controller) apply(e raft.Entry, command state.Command) {
	c.leader.requestPlacement()
	c.durations.record(c.log.state(), command)
	assignments, rejection := c.log.apply(command)
	c.traceCommand(command, e.Index)
	c.recordEndedJobs(command.Ends)
	c.api.commandApplied(c.now, e, command, rejection)
	if c.leader.active() && c.raft.IsLeader() {
		c.leader.commandApplied(c.now.Mono, command, assignments, rejection)
	}
}

// recordEndedJobs updates the duration estimates and completion rates for the jobs that these ends
// completed.
func (c *Controller) recordEndedJobs(ends []state.AttemptEnd) {
	for _, end := range ends {
		if j := c.log.state().Jobs[end.ID.Job]; j != nil && j.Ended() {
			c.durations.jobEnded(j.ID)
			c.requests.jobCompleted(j.Queue, c.now.Mono)
		}
	}
}

// stepLeader runs the leader's work of a step, and establishes or revokes this controller's
// leadership. An elected controller establishes leadership once it holds a read lease and has
// applied all committed entries.
func (c *Controller) stepLeader() {
	if !c.raft.IsLeader() {
		c.leader.revoke()
		c.api.failPendingRequests()
		return
	}
	if !c.leader.active() {
		if !c.raft.HoldsReadLease() || c.log.isLagging() {
			return
		}
		c.leader.establish(c.now.Mono)
	}
	c.leader.step(c.now.Mono, c.overload.lag())
	if c.raft.HoldsReadLease() {
		c.outbox.send(c.publisher.Responses(c.now.Mono, c.log.state().Table)...)
	}
}

// beginShutdown starts a graceful shutdown: placement stops and leadership is transferred.
func (c *Controller) beginShutdown() {
	c.shutdown.begin(c.now.Mono)
	c.leader.stopPlacement()
	c.raft.PrepareStop(c.now)
}

// effects returns the messages, log records and responses of the step.
func (c *Controller) effects() wire.Effects {
	ready := c.raft.Ready()
	messages, responses := c.outbox.take()
	out := wire.Effects{
		Messages:        append(append(ready.Messages, messages...), c.members.TakeMessages()...),
		Records:         ready.Records,
		BatchNumber:     ready.BatchNumber,
		ReplaceLog:      ready.ReplaceLog,
		FallbackRecords: ready.FallbackRecords,
		Responses:       responses,
	}
	out.Drained = c.shutdown.isComplete(c.now.Mono, c.raft.MayStop()) && c.requests.idle()
	return out
}

// Workers returns a view of each worker registered with this controller, or none unless it leads.
func (c *Controller) Workers() []WorkerView { return c.leader.workerViews(c.now.Mono) }

// TakeStalledJobs returns the jobs found without progress since the last call, or none unless this
// controller leads.
func (c *Controller) TakeStalledJobs() []StalledJob { return c.leader.stalledJobs.take() }
