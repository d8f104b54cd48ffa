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

// Back takes an attempt back: it is stopped, its end is told, and its task goes again.
type Back struct {
	Attempt types.Attempt `json:"leg"`
	Why     Why           `json:"why"`
}

// Why an attempt is taken back.
type Why string

// Reasons for which an attempt is taken back.
const (
	Leaves    Why = "its worker leaves"
	Drained   Why = "its worker is drained"
	Stalled   Why = "far beyond its usual time"
	Displaced Why = "displaced by more urgent work"
	Alone     Why = "a mate of its gang is out of reach"
)

func (s *State) back(b Back) {
	j := s.live[b.Attempt.Job]
	if j == nil || j.State != Open {
		return
	}
	t := j.Task(b.Attempt.N)
	if t == nil {
		return
	}
	o := t.On(b.Attempt.Attempt)
	if o == nil || o.Back != "" {
		return
	}
	s.touch(j)
	o.Back = b.Why
	switch b.Why {
	case Stalled:
		t.Shun = o.Shard
	case Displaced:
		t.Moved++
	}
	s.count(j.Queue).Moved++
}

// Target is a worker or a rack.
type Target struct {
	Shard types.Shard `json:"worker,omitempty"`
	Rack  types.Rack  `json:"rack,omitempty"`
}

// Is tells whether a worker is the target or in it.
func (t Target) Is(shard types.Shard, rack types.Rack) bool {
	return t.Shard != "" && t.Shard == shard || t.Rack != "" && t.Rack == rack
}

// Drain is an operator's word that nothing may start on a target; By is when
// all that runs there is stopped, or 0 to let it end. Over takes it back.
type Drain struct {
	Target
	By   types.Tick `json:"by,omitempty"`
	Over bool       `json:"over,omitempty"`
}

// Plan is one maintenance calendar of a target, as stretches of wall time in
// order. One without stretches is taken away.
type Plan struct {
	Name string `json:"name"`
	Target
	Spans [][2]types.Wall `json:"spans"`
}

// Bounds on drains, plans, and a plan's stretches.
const (
	MostDrains = 100
	MostPlans  = 100
	MostSpans  = 1000
)

func (s *State) drain(d Drain) *apierror.Error {
	if d.Over && !slices.ContainsFunc(s.Drains, d.same) {
		return apierror.New(apierror.NoDrain, "", "it is not drained")
	}
	return lay(&s.Drains, d, d.same, d.Over, MostDrains)
}

func (d Drain) same(o Drain) bool { return o.Target == d.Target }

func (s *State) plan(p Plan) *apierror.Error {
	if len(p.Spans) == 0 && !slices.ContainsFunc(s.Plans, p.same) {
		return apierror.New(apierror.NoPlan, "name", "no calendar is called "+p.Name)
	}
	return lay(&s.Plans, p, p.same, len(p.Spans) == 0, MostPlans)
}

func (p Plan) same(o Plan) bool { return o.Name == p.Name }

// lay puts one of a list in place of the same, adds it, or takes it away. The
// list is another one then, since a snapshot may hold the old.
func lay[T any](list *[]T, x T, same func(T) bool, away bool, most int) *apierror.Error {
	next := slices.DeleteFunc(slices.Clone(*list), same)
	switch {
	case away:
	case len(next) >= most:
		return apierror.New(apierror.Full, "", "as many as there may be").After(time.Minute)
	default:
		next = append(next, x)
	}
	*list = next
	return nil
}

// Window is the next one of a worker. From is when it must have nothing left
// that could last beyond By; By 0 lets what runs end.
type Window struct {
	From types.Tick
	By   types.Tick
	Why  Why
}

// Window gives the first that is on or to come.
func (s *State) Window(shard types.Shard, rack types.Rack, now types.Tick) (w Window, ok bool) {
	add := func(o Window) {
		switch {
		case !ok:
			w, ok = o, true
			return
		case o.From < w.From:
			w.From = o.From
		}
		if o.By != 0 && (w.By == 0 || o.By < w.By) {
			w.By = o.By
		}
	}
	for _, d := range s.Drains {
		if d.Is(shard, rack) {
			add(Window{now, d.By, Drained})
		}
	}
	at := types.Wall(now) + s.Off
	for _, p := range s.Plans {
		if !p.Is(shard, rack) {
			continue
		}
		for _, x := range p.Spans {
			if at < x[1] {
				from := max(now, types.Tick(x[0]-s.Off))
				add(Window{from, from, Drained})
				break
			}
		}
	}
	return
}
