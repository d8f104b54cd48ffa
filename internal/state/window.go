package state

import "coppercourse/internal/types"

// Window is the next period in which a worker is unavailable because of a drain or a
// maintenance calendar. (A departure announced by the worker itself is a third reason, which
// is held by the dispatcher and not in the replicated state.)
type Window struct {
	From     types.ClusterTime // from then on no attempt may start that would run beyond Deadline
	Deadline types.ClusterTime // when running attempts are stopped; 0 lets them end
	Reason   WithdrawReason
}

// NextWindow returns the current or next window of a worker, and false if there is none. It
// merges several windows into one with the earliest start and the earliest deadline.
func (s *State) NextWindow(shard types.Shard, rack types.Rack, now types.ClusterTime) (window Window, ok bool) {
	merge := func(other Window) {
		if !ok {
			window, ok = other, true
			return
		}
		window.From = min(window.From, other.From)
		if other.Deadline != 0 && (window.Deadline == 0 || other.Deadline < window.Deadline) {
			window.Deadline = other.Deadline
		}
	}
	for _, drain := range s.Drains {
		if drain.Matches(shard, rack) {
			merge(Window{From: now, Deadline: drain.Deadline, Reason: WorkerDrained})
		}
	}
	for _, calendar := range s.Calendars {
		if !calendar.Matches(shard, rack) {
			continue
		}
		if start, found := calendar.nextStart(now, s.WallOffset); found {
			merge(Window{From: start, Deadline: start, Reason: WorkerDrained})
		}
	}
	return window, ok
}
