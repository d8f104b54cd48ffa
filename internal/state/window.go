package state

import "coppercourse/internal/types"

// Window is the next time at which a worker is not available, by a drain or a maintenance
// calendar. (A departure that the worker itself announces is a third reason, which only the
// dispatcher knows.)
type Window struct {
	From     types.ClusterTime // from then on nothing may start that would last beyond Deadline
	Deadline types.ClusterTime // when all that runs there is stopped; 0 lets it end
	Reason   WithdrawReason
}

// NextWindow returns the window of a worker that has begun or begins next, and false if
// there is none. Of several it has the earliest start and the earliest deadline.
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
