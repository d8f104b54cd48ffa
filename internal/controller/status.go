package controller

import (
	"fmt"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// StatusView is the status of one controller, as returned by GET /v1/status. It has more than 15
// fields because it mirrors the JSON document, one field per key.
type StatusView struct {
	Role            membership.Role    `json:"role"`
	Build           string             `json:"program"`
	ID              types.ID           `json:"id"`
	Cluster         string             `json:"cluster"`          // cluster name, or empty while unknown
	RaftRole        string             `json:"part"`             // role in the Raft cluster, such as leader or follower
	Reason          string             `json:"reason,omitempty"` // why it is not ready, not a voter or at risk
	Ready           bool               `json:"ready"`
	Term            types.Term         `json:"term"`
	Leader          types.Addr         `json:"leader"`
	Commit          types.Index        `json:"commit"`
	Members         raft.Configuration `json:"roll"`
	LossesTolerated int                `json:"losses_borne"` // number of voters that may be lost at once
	TableVersion    types.Version      `json:"table_edition"`
	UnfinishedJobs  int                `json:"jobs_unfinished"`
	JobsRemembered  int                `json:"ids_remembered"`         // including ended jobs whose IDs are kept
	InitialWait     string             `json:"initial_wait,omitempty"` // why a new leader does not place work yet
	Overloaded      bool               `json:"behind,omitempty"`       // see overload.isOverloaded
	LagMS           int64              `json:"lag_ms"`                 // see overload.controlLag
	SlowWorkers     int                `json:"slow_workers,omitempty"` // on the leader: see Scheduler.Slowdown
	ClusterTime     string             `json:"cluster_time"`
	Tenants         []TenantView       `json:"tenants,omitempty"` // on the leader only; see TenantView
	Peers           []membership.Peer  `json:"mates"`
	Counters        Counters           `json:"sums"`
}

// Counters holds event counts since the start of the process.
type Counters struct {
	Steps             uint64 // events handled
	Applied           uint64 // log entries applied
	Requests          uint64 `json:"Calls"`   // requests received
	Rejected          uint64 `json:"Refused"` // requests answered with an error
	Orders            uint64 // orders to run an attempt sent to agents
	Ends              uint64 // attempt ends proposed
	Elected           uint64 // leaderships established
	LeadershipsLost   uint64 `json:"Lost"`
	Placed            uint64 // placement rounds
	Blocked           uint64 // placement rounds that could place nothing because earlier ones were in flight
	Shed              uint64 `json:"TurnedAway"` // requests shed under overload
	OverloadTransfers uint64 `json:"Relieved"`   // leadership transfers started under overload
}

// Status returns the status of this controller.
func (c *Controller) Status() StatusView {
	s := c.log.state()
	configuration := c.raft.Configuration()
	clusterTime := time.Unix(0, int64(c.raft.Clock())+int64(s.WallOffset))
	view := StatusView{
		Role:           membership.RoleController,
		Build:          c.options.Build,
		ID:             c.raft.ID(),
		Cluster:        c.raft.ClusterName(),
		RaftRole:       c.raft.Role(),
		Ready:          c.Ready(),
		Term:           c.raft.Term(),
		Leader:         c.raft.LeaderAddr(),
		Commit:         c.raft.CommittedIndex(),
		Members:        configuration,
		TableVersion:   s.Table.Version,
		UnfinishedJobs: len(s.LiveJobs()),
		JobsRemembered: len(s.Jobs) + s.TombstoneCount(),
		InitialWait:    c.leader.initialWait(),
		Overloaded:     c.overload.isOverloaded(),
		LagMS:          c.overload.controlLag().Milliseconds(),
		SlowWorkers:    c.leader.slowWorkerCount(),
		ClusterTime:    clusterTime.UTC().Format(time.RFC3339Nano),
		Tenants:        c.leader.tenantViews(),
		Peers:          c.members.Peers(),
		Counters:       c.Counters,
	}
	if voters := configuration.Voters(); voters > 0 {
		view.LossesTolerated = (voters - 1) / 2
	}
	view.Reason = c.statusReason(view.LossesTolerated)
	return view
}

// Table returns the table in force according to this controller's state.
func (c *Controller) Table() config.Table { return c.log.state().Table }

// statusReason returns why this controller is unhealthy or at risk, or an empty string.
func (c *Controller) statusReason(lossesTolerated int) string {
	switch {
	case c.diskError != nil:
		return "disk writes fail; this member neither votes nor leads: " + c.diskError.Error()
	case c.raft.DiskStalled():
		return "a disk write has stalled; this member neither leads nor campaigns"
	case c.log.isLoading():
		return "loading a snapshot"
	case c.raft.RoleReason() != "":
		return c.raft.RoleReason()
	case c.raft.ClusterName() != "" && lossesTolerated < c.options.LossTolerance:
		return fmt.Sprintf("%d voters tolerate the loss of %d at once, but the settings require %d",
			c.raft.Configuration().Voters(), lossesTolerated, c.options.LossTolerance)
	}
	return ""
}
