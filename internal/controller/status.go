package controller

import (
	"fmt"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// StatusView is one controller's status, as GET /v1/status shows it. It has more than 15
// fields because it is the document, one field for each key.
type StatusView struct {
	Role            membership.Role    `json:"role"`
	Build           string             `json:"program"`
	ID              types.ID           `json:"id"`
	Cluster         string             `json:"cluster"`          // name of the cluster, or nothing while none is known
	RaftRole        string             `json:"part"`             // such as leader or follower
	Reason          string             `json:"reason,omitempty"` // why it is not ready, not a voter or at risk
	Ready           bool               `json:"ready"`
	Term            types.Term         `json:"term"`
	Leader          types.Addr         `json:"leader"`
	Commit          types.Index        `json:"commit"`
	Members         raft.Configuration `json:"roll"`
	LossesTolerated int                `json:"losses_borne"` // voters that may be lost at once
	TableVersion    types.Version      `json:"table_edition"`
	UnfinishedJobs  int                `json:"jobs_unfinished"`
	JobsRemembered  int                `json:"ids_remembered"`         // with the ended ones whose IDs are kept
	InitialWait     string             `json:"initial_wait,omitempty"` // why a new leader places nothing yet
	Overloaded      bool               `json:"behind,omitempty"`       // with its control work, for long
	LagMS           int64              `json:"lag_ms"`                 // of its control work
	ClusterTime     string             `json:"cluster_time"`
	Tenants         []TenantView       `json:"tenants,omitempty"` // of the leader; see TenantView
	Peers           []membership.Peer  `json:"mates"`
	Counters        Counters           `json:"sums"`
}

// Counters count since the start of the process.
type Counters struct {
	Steps             uint64 // events handled
	Applied           uint64 // log entries applied
	Requests          uint64 `json:"Calls"`   // requests received
	Rejected          uint64 `json:"Refused"` // requests answered with an error
	Orders            uint64 // attempts that agents were ordered to run
	Ends              uint64 // attempt ends proposed
	Elected           uint64 // leaderships begun
	LeadershipsLost   uint64 `json:"Lost"`
	Placed            uint64 // rounds of placement
	Shed              uint64 `json:"TurnedAway"` // requests rejected for lack of time
	OverloadTransfers uint64 `json:"Relieved"`   // leaderships transferred for lack of time
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

// Table returns the table in force as far as this controller knows.
func (c *Controller) Table() config.Table { return c.log.state().Table }

// statusReason returns why this controller is not as it should be, or nothing.
func (c *Controller) statusReason(lossesTolerated int) string {
	switch {
	case c.diskError != nil:
		return "the disk refuses, so this member has no vote and no duty: " + c.diskError.Error()
	case c.raft.DiskStalled():
		return "the disk does not answer, so this member has no duty"
	case c.log.isLoading():
		return "reading a snapshot back"
	case c.raft.RoleReason() != "":
		return c.raft.RoleReason()
	case c.raft.ClusterName() != "" && lossesTolerated < c.options.LossTolerance:
		return fmt.Sprintf("%d voters bear the loss of %d at once, and the settings ask for %d",
			c.raft.Configuration().Voters(), lossesTolerated, c.options.LossTolerance)
	}
	return ""
}
