package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// QueueView is the configuration of a queue and its current load.
type QueueView struct {
	Name           types.QueueName  `json:"name"`
	Weight         int              `json:"weight"`
	Share          int              `json:"share"`           // percentage of all cores
	UnfinishedJobs int              `json:"jobs_unfinished"` // accepted and not yet ended
	JobLimit       int              `json:"jobs_limit"`
	TasksRunning   int              `json:"tasks_running"`
	CoresInUse     types.MilliCores `json:"cores_in_use"`
	TasksReady     int              `json:"tasks_waiting_for_room"`
	OldestJobMS    int64            `json:"oldest_job_ms"` // age of the oldest unfinished job
	state.QueueCounts
}

// queueViews returns a view of each queue, in the table's order.
func (l *leader) queueViews(now types.MonoTime) []QueueView {
	s := l.log.state()
	in := l.planner.readyWork(l.view(now))
	ready := map[types.QueueName]int{}
	for _, request := range in.Requests {
		ready[request.Queue] += len(request.Tasks)
	}
	oldest := map[types.QueueName]types.ClusterTime{}
	for _, j := range s.LiveJobs() {
		if _, ok := oldest[j.Queue]; !ok {
			oldest[j.Queue] = j.AcceptedAt
		}
	}
	views := []QueueView{}
	for _, queue := range s.Table.Queues {
		view := QueueView{
			Name:           queue.Name,
			Weight:         queue.Weight,
			Share:          queue.SharePercent,
			UnfinishedJobs: s.UnfinishedJobs(queue.Name),
			JobLimit:       queue.MaxUnfinished,
			TasksRunning:   in.Usage[queue.Name].RunningTasks,
			CoresInUse:     in.Usage[queue.Name].CoresInUse,
			TasksReady:     ready[queue.Name],
		}
		if at, ok := oldest[queue.Name]; ok {
			view.OldestJobMS = l.raft.Clock().Sub(at).Milliseconds()
		}
		if counts := s.QueueCounts[queue.Name]; counts != nil {
			view.QueueCounts = *counts
		}
		views = append(views, view)
	}
	return views
}
