package state

import (
	"encoding/json"
	"fmt"
	"slices"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Bounds on maintenance calendars.
const (
	MaxCalendars = 100
	MaxWindows   = 1000 // of one calendar
)

// Calendar is one maintenance calendar of a target. Its windows are in order and don't
// overlap. In a command, a calendar without windows removes the calendar of that name.
type Calendar struct {
	Name string `json:"name"`
	Target
	Windows []CalendarWindow `json:"spans"`
}

// CalendarWindow is one maintenance window, from Start (inclusive) to End (exclusive). It is
// stored as [start, end], in nanoseconds since 1970.
type CalendarWindow struct{ Start, End types.WallTime }

// MarshalJSON implements json.Marshaler.
func (c CalendarWindow) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]types.WallTime{c.Start, c.End})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *CalendarWindow) UnmarshalJSON(b []byte) error {
	var times [2]types.WallTime
	if err := json.Unmarshal(b, &times); err != nil {
		return fmt.Errorf("reading a maintenance window: %w", err)
	}
	c.Start, c.End = times[0], times[1]
	return nil
}

// applyCalendar adds, replaces or removes a calendar by name. The rejection is of the kind
// NoSuchCalendar, or QueueFull at the limit.
func (s *State) applyCalendar(calendar Calendar) *apierror.Error {
	sameName := func(other Calendar) bool { return other.Name == calendar.Name }
	remove := len(calendar.Windows) == 0
	if remove && !slices.ContainsFunc(s.Calendars, sameName) {
		return apierror.New(apierror.NoSuchCalendar, "name", "no calendar is called "+calendar.Name)
	}
	return replaceInList(&s.Calendars, calendar, sameName, remove, MaxCalendars)
}

// nextStart returns the start of the first window that has not ended, or now if that window
// has begun. It returns false if all windows have ended.
func (c Calendar) nextStart(now types.ClusterTime, wallOffset types.WallTime) (types.ClusterTime, bool) {
	wallNow := types.WallTime(now) + wallOffset
	for _, window := range c.Windows {
		if wallNow < window.End {
			return max(now, types.ClusterTime(window.Start-wallOffset)), true
		}
	}
	return 0, false
}
