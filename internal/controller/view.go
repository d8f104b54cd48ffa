// What the controller shows: jobs, queues, workers and its own status, each as a
// value that can be written as JSON.
package controller

import (
	"fmt"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// JobView is a job as callers see it.
type JobView struct {
	ID        types.JobID     `json:"id"`
	Queue     types.QueueName `json:"queue,omitempty"`
	State     state.JobStatus `json:"state"`
	Fixed     state.JobStatus `json:"outcome,omitempty"` // what it will end as, while the last legs are stopped
	Why       string          `json:"reason,omitempty"`
	Accepted  string          `json:"accepted_at,omitempty"`
	Cancelled bool            `json:"cancel_accepted,omitempty"`
	Tasks     int             `json:"tasks"`
	Done      int             `json:"tasks_done"`
	Running   int             `json:"tasks_running"`
	Attempts  int             `json:"legs"`
	List      []state.Task    `json:"detail,omitempty"`
}

// View shows a job, or nil.
func (co *Controller) View(id types.JobID) *JobView {
	j := co.state.Find(id)
	if j == nil {
		return nil
	}
	v := &JobView{ID: j.ID, Queue: j.Queue, State: j.Status, Why: j.Reason, Cancelled: j.CancelRequested, Tasks: j.TaskCount, Done: j.DoneTasks,
		Attempts: j.AttemptCount}
	if j.Status == state.JobEnding && j.DoneTasks == j.TaskCount {
		v.Fixed = state.JobDone
	}
	if j.AcceptedWallTime != 0 {
		v.Accepted = time.Unix(0, int64(j.AcceptedWallTime)).UTC().Format(time.RFC3339Nano)
	}
	for i := range j.Tasks {
		v.Running += len(j.Tasks[i].Outstanding())
	}
	if len(j.Tasks) <= 200 {
		v.List = append([]state.Task(nil), j.Tasks...)
	}
	return v
}

// QueueView is a queue's row beside what is in it.
type QueueView struct {
	Name    types.QueueName  `json:"name"`
	Weight  int              `json:"weight"`
	Share   int              `json:"share"`
	Jobs    int              `json:"jobs_unfinished"`
	Limit   int              `json:"jobs_limit"`
	Running int              `json:"tasks_running"`
	Cores   types.MilliCores `json:"cores_in_use"`
	Ready   int              `json:"tasks_waiting_for_room"`
	Oldest  int64            `json:"oldest_job_ms"`
	state.QueueCounts
}

// Queues lists them in the table's order.
func (co *Controller) Queues() (list []QueueView) {
	wants, dues := co.wants()
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
		v := QueueView{Name: r.Name, Weight: r.Weight, Share: r.SharePercent, Jobs: co.state.UnfinishedJobs(r.Name), Limit: r.MaxUnfinished,
			Running: dues[r.Name].RunningTasks, Cores: dues[r.Name].CoresInUse, Ready: ready[r.Name]}
		if at, ok := oldest[r.Name]; ok {
			v.Oldest = co.raft.Clock().Sub(at).Milliseconds()
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
	Shard   types.Shard     `json:"shard"`
	ID      types.ID        `json:"instance"`
	Addr    types.Addr      `json:"agent"`
	State   dispatch.Health `json:"state"`
	ForMS   int64           `json:"for_ms"`
	QuietMS int64           `json:"quiet_ms"`
	dispatch.Report
	Free     types.Resources `json:"free"`
	Attempts int             `json:"legs"`
	Bad      float64         `json:"bad_ends"`
	Slow     float64         `json:"slowness"`
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
		list = append(list, WorkerView{Shard: s.Shard, ID: s.Instance, Addr: s.Addr, State: s.State, ForMS: co.now.Mono.Sub(s.StateSince).Milliseconds(),
			QuietMS: co.now.Mono.Sub(s.LastHealthyAt).Milliseconds(), Report: s.Report, Free: co.scheduler.FreeCapacity(s), Attempts: n[s.Shard],
			Bad: s.Reliability.FailureRate, Slow: s.Reliability.RelativeDuration})
	}
	return
}

// StatusView is one controller's account of itself.
type StatusView struct {
	Role    string             `json:"role"`
	Program string             `json:"program"`
	ID      types.ID           `json:"id"`
	Cluster string             `json:"cluster"`
	Part    string             `json:"part"`
	Why     string             `json:"reason,omitempty"`
	Ready   bool               `json:"ready"`
	Term    types.Term         `json:"term"`
	Leader  types.Addr         `json:"leader"`
	Commit  types.Index        `json:"commit"`
	Roll    raft.Configuration `json:"roll"`
	Bears   int                `json:"losses_borne"`
	Version types.Version      `json:"table_edition"`
	Jobs    int                `json:"jobs_unfinished"`
	Known   int                `json:"ids_remembered"`
	Wait    string             `json:"initial_wait,omitempty"`
	Behind  bool               `json:"behind,omitempty"` // with its control work, for long
	LagMS   int64              `json:"lag_ms"`
	Wall    string             `json:"cluster_time"`
	Peers   []membership.Peer  `json:"mates"`
	Sums    Sums               `json:"sums"`
}

func (co *Controller) Status() StatusView {
	c := co.raft
	v := StatusView{Role: "controller", Program: co.options.Issue, ID: c.ID(), Cluster: c.ClusterName(), Part: c.Role(), Why: c.RoleReason(),
		Ready: co.Ready(), Term: c.Term(), Leader: c.LeaderAddr(), Commit: c.CommittedIndex(), Roll: c.Configuration(), Version: co.state.Table.Version,
		Jobs: len(co.state.LiveJobs()), Known: len(co.state.Jobs) + co.state.TombstoneCount(), Peers: co.roster.Peers(), Sums: co.Sums,
		Behind: co.overload.isBehind, LagMS: co.overload.load.Control.Milliseconds(),
		Wall: time.Unix(0, int64(co.raft.Clock())+int64(co.state.WallOffset)).UTC().Format(time.RFC3339Nano)}
	if co.scheduler != nil && co.scheduler.InInitialWait {
		v.Wait = co.scheduler.InitialWaitReason
	}
	if n := c.Configuration().Voters(); n > 0 {
		v.Bears = (n - 1) / 2
	}
	switch {
	case co.disk != nil:
		v.Why = "the disk refuses, so this member has no vote and no duty: " + co.disk.Error()
	case c.DiskStalled():
		v.Why = "the disk does not answer, so this member has no duty"
	case co.loader != nil:
		v.Why = "reading a snapshot back"
	}
	if v.Why == "" && c.ClusterName() != "" && v.Bears < co.options.Loses {
		v.Why = fmt.Sprintf("%d voters bear the loss of %d at once, and the settings ask for %d", c.Configuration().Voters(), v.Bears, co.options.Loses)
	}
	return v
}
