package state

// Windows: when a worker takes nothing that would last beyond, and until when.
// Drains and maintenance plans come to the same notion here; a worker that says
// it is leaving is the third kind, known to the dispatcher alone. Also attempts that
// are taken back, for whichever reason.

import (
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Withdrawal takes an attempt back: it is stopped, its end is told, and its task goes again.
type Withdrawal struct {
	ID     types.AttemptID `json:"leg"`
	Reason WithdrawReason  `json:"why"`
}

// WithdrawReason an attempt is taken back.
type WithdrawReason string

// Reasons for which an attempt is taken back.
const (
	WorkerLeaving       WithdrawReason = "its worker leaves"
	WorkerDrained       WithdrawReason = "its worker is drained"
	Straggling          WithdrawReason = "far beyond its usual time"
	Preempted           WithdrawReason = "displaced by more urgent work"
	GangPeerUnreachable WithdrawReason = "a mate of its gang is out of reach"
)

func (s *State) withdraw(withdrawal Withdrawal) {
	j := s.liveJobs[withdrawal.ID.Job]
	if j == nil || j.Status != JobOpen {
		return
	}
	t := j.Task(withdrawal.ID.Number)
	if t == nil {
		return
	}
	attempt := t.FindOutstanding(withdrawal.ID.Attempt)
	if attempt == nil || attempt.Withdrawn != "" {
		return
	}
	s.beforeChange(j)
	attempt.Withdrawn = withdrawal.Reason
	switch withdrawal.Reason {
	case Straggling:
		t.AvoidWorker = attempt.Shard
	case Preempted:
		t.Preemptions++
	}
	s.queueCounts(j.Queue).WithdrawnAttempts++
}

// Target is a worker or a rack.
type Target struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
}

// Matches tells whether a worker is the target or in it.
func (t Target) Matches(shard types.Shard, rack types.Rack) bool {
	return t.Shard != "" && t.Shard == shard || t.Rack != "" && t.Rack == rack
}

// Drain is an operator's word that nothing may start on a target; By is when
// all that runs there is stopped, or 0 to let it end. Over takes it back.
type Drain struct {
	Target
	Deadline types.ClusterTime `json:"by,omitempty"`
	Lift     bool              `json:"over,omitempty"`
}

// Calendar is one maintenance calendar of a target, as stretches of wall time in
// order. One without stretches is taken away.
type Calendar struct {
	Name string `json:"name"`
	Target
	Windows [][2]types.WallTime `json:"spans"`
}

// Bounds on drains, plans, and a plan's stretches.
const (
	MaxDrains    = 100
	MaxCalendars = 100
	MaxWindows   = 1000
)

func (s *State) applyDrain(d Drain) *apierror.Error {
	if d.Lift && !slices.ContainsFunc(s.Drains, d.sameTarget) {
		return apierror.New(apierror.NotDrained, "", "it is not drained")
	}
	return replaceInList(&s.Drains, d, d.sameTarget, d.Lift, MaxDrains)
}

func (d Drain) sameTarget(o Drain) bool { return o.Target == d.Target }

func (s *State) applyCalendar(p Calendar) *apierror.Error {
	if len(p.Windows) == 0 && !slices.ContainsFunc(s.Calendars, p.sameName) {
		return apierror.New(apierror.NoSuchCalendar, "name", "no calendar is called "+p.Name)
	}
	return replaceInList(&s.Calendars, p, p.sameName, len(p.Windows) == 0, MaxCalendars)
}

func (c Calendar) sameName(o Calendar) bool { return o.Name == c.Name }

// replaceInList puts one of a list in place of the same, adds it, or takes it away. The
// list is another one then, since a snapshot may hold the old.
func replaceInList[T any](list *[]T, item T, same func(T) bool, remove bool, limit int) *apierror.Error {
	next := slices.DeleteFunc(slices.Clone(*list), same)
	switch {
	case remove:
	case len(next) >= limit:
		return apierror.New(apierror.QueueFull, "", "as many as there may be").WithRetryAfter(time.Minute)
	default:
		next = append(next, item)
	}
	*list = next
	return nil
}

// Window is the next one of a worker. From is when it must have nothing left
// that could last beyond By; By 0 lets what runs end.
type Window struct {
	From     types.ClusterTime
	Deadline types.ClusterTime
	Reason   WithdrawReason
}

// NextWindow gives the first that is on or to come.
func (s *State) NextWindow(shard types.Shard, rack types.Rack, now types.ClusterTime) (window Window, ok bool) {
	merge := func(other Window) {
		switch {
		case !ok:
			window, ok = other, true
			return
		case other.From < window.From:
			window.From = other.From
		}
		if other.Deadline != 0 && (window.Deadline == 0 || other.Deadline < window.Deadline) {
			window.Deadline = other.Deadline
		}
	}
	for _, d := range s.Drains {
		if d.Matches(shard, rack) {
			merge(Window{now, d.Deadline, WorkerDrained})
		}
	}
	at := types.WallTime(now) + s.WallOffset
	for _, p := range s.Calendars {
		if !p.Matches(shard, rack) {
			continue
		}
		for _, x := range p.Windows {
			if at < x[1] {
				from := max(now, types.ClusterTime(x[0]-s.WallOffset))
				merge(Window{from, from, WorkerDrained})
				break
			}
		}
	}
	return
}
