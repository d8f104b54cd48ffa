package state

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func TestNextWindow(t *testing.T) {
	wall := func(seconds types.ClusterTime) types.WallTime { return types.WallTime(seconds * sec) }
	calendar := Calendar{
		Name: "c", Target: Target{Rack: "r"},
		Windows: []CalendarWindow{{wall(120), wall(130)}, {wall(150), wall(160)}},
	}
	// The wall clock is 100 s ahead of the cluster time.
	for _, c := range []struct {
		name   string
		drains []Drain
		now    types.ClusterTime
		want   Window
		none   bool
	}{
		{name: "first window of a calendar", now: 10 * sec,
			want: Window{From: 20 * sec, Deadline: 20 * sec, Reason: WorkerDrained}},
		{name: "within a window", now: 25 * sec,
			want: Window{From: 25 * sec, Deadline: 25 * sec, Reason: WorkerDrained}},
		{name: "between windows", now: 30 * sec,
			want: Window{From: 50 * sec, Deadline: 50 * sec, Reason: WorkerDrained}},
		{name: "after all windows", now: 60 * sec, none: true},
		{name: "drain without deadline", now: 60 * sec, drains: []Drain{{Target: Target{Shard: "k"}}},
			want: Window{From: 60 * sec, Reason: WorkerDrained}},
		{name: "earliest start and earliest deadline", now: 10 * sec, drains: []Drain{
			{Target: Target{Shard: "k"}}, {Target: Target{Rack: "r"}, Deadline: 15 * sec},
		}, want: Window{From: 10 * sec, Deadline: 15 * sec, Reason: WorkerDrained}},
		{name: "drain of another worker", now: 60 * sec, drains: []Drain{{Target: Target{Shard: "m"}}}, none: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			s.WallOffset, s.Calendars, s.Drains = wall(100), []Calendar{calendar}, c.drains
			got, ok := s.NextWindow("k", "r", c.now)
			is.Equal(ok, !c.none)
			is.Equal(got, c.want)
		})
	}
}
