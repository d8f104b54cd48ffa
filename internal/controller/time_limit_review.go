package controller

import "coppercourse/internal/types"

// timeLimitReview looks through the outstanding attempts for those that run longer than the
// table in force allows. Each was given its limit with its order, but the table may have
// changed since.
type timeLimitReview struct {
	timer reviewTimer
}

// exceeded lists the attempts that are beyond their time limit, to be stopped.
func (r *timeLimitReview) exceeded(v *leaderView) []types.AttemptID {
	if !r.timer.due(v.now) {
		return nil
	}
	var list []types.AttemptID
	for _, attempt := range v.scheduler.Attempts() {
		j := v.state.Jobs[attempt.ID.Job]
		if j == nil || j.Ended() || attempt.TimeLimit == 0 {
			continue
		}
		queue, ok := v.state.QueueConfig(j.Queue)
		if ok && v.now.Sub(attempt.DispatchedAt) > queue.TaskTimeout() && queue.TaskTimeout() < attempt.TimeLimit {
			list = append(list, attempt.ID)
		}
	}
	return list
}
