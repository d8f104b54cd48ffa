// What the controller shows: jobs, queues, workers and its own status, each as a
// value that can be written as JSON.
package controller

import (
	"fmt"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// JobView is a job as callers see it.
type JobView struct {
	ID             types.JobID     `json:"id"`
	Queue          types.QueueName `json:"queue,omitempty"`
	State          state.JobStatus `json:"state"`
	DecidedState   state.JobStatus `json:"outcome,omitempty"` // what it will end as, while the last legs are stopped
	Reason         string          `json:"reason,omitempty"`
	AcceptedAt     string          `json:"accepted_at,omitempty"`
	CancelAccepted bool            `json:"cancel_accepted,omitempty"`
	Tasks          int             `json:"tasks"`
	TasksDone      int             `json:"tasks_done"`
	TasksRunning   int             `json:"tasks_running"`
	Attempts       int             `json:"legs"`
	TaskDetails    []state.Task    `json:"detail,omitempty"`
}

// View shows a job, or nil.
func (co *Controller) View(id types.JobID) *JobView {
	j := co.state.Find(id)
	if j == nil {
		return nil
	}
	v := &JobView{ID: j.ID, Queue: j.Queue, State: j.Status, Reason: j.Reason, CancelAccepted: j.CancelRequested, Tasks: j.TaskCount, TasksDone: j.DoneTasks,
		Attempts: j.AttemptCount}
	if j.Status == state.JobEnding && j.DoneTasks == j.TaskCount {
		v.DecidedState = state.JobDone
	}
	if j.AcceptedWallTime != 0 {
		v.AcceptedAt = time.Unix(0, int64(j.AcceptedWallTime)).UTC().Format(time.RFC3339Nano)
	}
	for i := range j.Tasks {
		v.TasksRunning += len(j.Tasks[i].Outstanding())
	}
	if len(j.Tasks) <= 200 {
		v.TaskDetails = append([]state.Task(nil), j.Tasks...)
	}
	return v
}

// QueueView is a queue's row beside what is in it.
type QueueView struct {
	Name           types.QueueName  `json:"name"`
	Weight         int              `json:"weight"`
	Share          int              `json:"share"`
	UnfinishedJobs int              `json:"jobs_unfinished"`
	JobLimit       int              `json:"jobs_limit"`
	TasksRunning   int              `json:"tasks_running"`
	CoresInUse     types.MilliCores `json:"cores_in_use"`
	TasksReady     int              `json:"tasks_waiting_for_room"`
	OldestJobMS    int64            `json:"oldest_job_ms"`
	state.QueueCounts
}

// Queues lists them in the table's order.
func (co *Controller) Queues() (list []QueueView) {
	wants, dues := co.pendingWork()
	ready, oldest := map[types.QueueName]int{}, map[types.QueueName]types.ClusterTime{}
	for _, w := range wants {
		ready[w.Queue] += len(w.Tasks)
	}
	for _, j := range co.state.LiveJobs() {
		if _, ok := oldest[j.Queue]; !ok {
			oldest[j.Queue] = j.AcceptedAt
		}
	}
	list = []QueueView{}
	for _, r := range co.state.Table.Queues {
		v := QueueView{Name: r.Name, Weight: r.Weight, Share: r.SharePercent, UnfinishedJobs: co.state.UnfinishedJobs(r.Name), JobLimit: r.MaxUnfinished,
			TasksRunning: dues[r.Name].RunningTasks, CoresInUse: dues[r.Name].CoresInUse, TasksReady: ready[r.Name]}
		if at, ok := oldest[r.Name]; ok {
			v.OldestJobMS = co.raft.Clock().Sub(at).Milliseconds()
		}
		if c := co.state.QueueCounts[r.Name]; c != nil {
			v.QueueCounts = *c
		}
		list = append(list, v)
	}
	return
}

// WorkerView is a worker as the leader sees it.
type WorkerView struct {
	Shard          types.Shard     `json:"shard"`
	ID             types.ID        `json:"instance"`
	AgentAddr      types.Addr      `json:"agent"`
	State          protocol.Health `json:"state"`
	InStateMS      int64           `json:"for_ms"`
	SinceHealthyMS int64           `json:"quiet_ms"`
	protocol.WorkerReport
	Free        types.Resources `json:"free"`
	Attempts    int             `json:"legs"`
	FailureRate float64         `json:"bad_ends"`
	Slowness    float64         `json:"slowness"`
}

func (co *Controller) Workers() (list []WorkerView) {
	list = []WorkerView{}
	if co.scheduler == nil {
		return
	}
	n := map[types.Shard]int{}
	for _, o := range co.scheduler.Attempts() {
		n[o.Shard]++
	}
	for _, s := range co.scheduler.Workers() {
		list = append(list, WorkerView{Shard: s.Shard, ID: s.Instance, AgentAddr: s.Addr, State: s.State, InStateMS: co.now.Mono.Sub(s.StateSince).Milliseconds(),
			SinceHealthyMS: co.now.Mono.Sub(s.LastHealthyAt).Milliseconds(), WorkerReport: s.WorkerReport, Free: co.scheduler.FreeCapacity(s), Attempts: n[s.Shard],
			FailureRate: s.Reliability.FailureRate, Slowness: s.Reliability.RelativeDuration})
	}
	return
}

// StatusView is one controller's account of itself.
type StatusView struct {
	Role            string             `json:"role"`
	Build           string             `json:"program"`
	ID              types.ID           `json:"id"`
	Cluster         string             `json:"cluster"`
	RaftRole        string             `json:"part"`
	Reason          string             `json:"reason,omitempty"`
	Ready           bool               `json:"ready"`
	Term            types.Term         `json:"term"`
	Leader          types.Addr         `json:"leader"`
	Commit          types.Index        `json:"commit"`
	Members         raft.Configuration `json:"roll"`
	LossesTolerated int                `json:"losses_borne"`
	TableVersion    types.Version      `json:"table_edition"`
	UnfinishedJobs  int                `json:"jobs_unfinished"`
	JobsRemembered  int                `json:"ids_remembered"`
	InitialWait     string             `json:"initial_wait,omitempty"`
	Overloaded      bool               `json:"behind,omitempty"` // with its control work, for long
	LagMS           int64              `json:"lag_ms"`
	ClusterTime     string             `json:"cluster_time"`
	Peers           []membership.Peer  `json:"mates"`
	Counters        Counters           `json:"sums"`
}

func (co *Controller) Status() StatusView {
	c := co.raft
	v := StatusView{Role: "controller", Build: co.options.Build, ID: c.ID(), Cluster: c.ClusterName(), RaftRole: c.Role(), Reason: c.RoleReason(),
		Ready: co.Ready(), Term: c.Term(), Leader: c.LeaderAddr(), Commit: c.CommittedIndex(), Members: c.Configuration(), TableVersion: co.state.Table.Version,
		UnfinishedJobs: len(co.state.LiveJobs()), JobsRemembered: len(co.state.Jobs) + co.state.TombstoneCount(), Peers: co.members.Peers(), Counters: co.Counters,
		Overloaded: co.overload.isBehind, LagMS: co.overload.load.ControlAge.Milliseconds(),
		ClusterTime: time.Unix(0, int64(co.raft.Clock())+int64(co.state.WallOffset)).UTC().Format(time.RFC3339Nano)}
	if co.scheduler != nil && co.scheduler.InInitialWait() {
		v.InitialWait = co.scheduler.InitialWaitReason()
	}
	if n := c.Configuration().Voters(); n > 0 {
		v.LossesTolerated = (n - 1) / 2
	}
	switch {
	case co.diskError != nil:
		v.Reason = "the disk refuses, so this member has no vote and no duty: " + co.diskError.Error()
	case c.DiskStalled():
		v.Reason = "the disk does not answer, so this member has no duty"
	case co.loader != nil:
		v.Reason = "reading a snapshot back"
	}
	if v.Reason == "" && c.ClusterName() != "" && v.LossesTolerated < co.options.LossTolerance {
		v.Reason = fmt.Sprintf("%d voters bear the loss of %d at once, and the settings ask for %d", c.Configuration().Voters(), v.LossesTolerated, co.options.LossTolerance)
	}
	return v
}
