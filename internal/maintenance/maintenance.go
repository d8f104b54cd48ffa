// Package maintenance reads maintenance windows from iCalendar files (RFC 5545). A library
// parses the files; this package adds bounds, and the line and property of each error.
// Recurring events are expanded for a little over a year.
package maintenance

import (
	"fmt"
	"sort"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
)

const day = 24 * time.Hour

// ExpansionHorizon is how far into the future recurring events are expanded.
const ExpansionHorizon = 400 * day

// Bounds of an event.
const (
	maxOccurrenceLength = 31 * day
	maxOccurrences      = 200_000 // examined occurrences, including past ones
)

// Read returns the windows of a file that end after now, sorted, with overlapping windows
// merged. Times without a zone are UTC. Errors are added to errs with the field
// ics.line[N].PROPERTY; if there are any, no windows are returned.
func Read(file []byte, now time.Time, errs *apierror.ErrorList) []state.CalendarWindow {
	calendar, line, err := decode(file)
	if err != nil {
		errs.Add(apierror.BadField, linePath(line), err.Error())
		return nil
	}
	starts := eventLines(file)
	events := calendar.Events()
	errs.Check(len(events) > 0, "ics", "contains no VEVENT")
	var windows []state.CalendarWindow
	for i := range events {
		path := "ics"
		if i < len(starts) {
			path = linePath(starts[i])
		}
		reader := eventReader{event: &events[i], path: path, now: now, errs: errs}
		windows = append(windows, reader.windows()...)
		if len(windows) > state.MaxWindows {
			errs.Add(apierror.BadField, path,
				fmt.Sprintf("more than %d windows in the next %d days", state.MaxWindows, ExpansionHorizon/day))
			return nil
		}
	}
	if len(errs.List()) > 0 {
		return nil
	}
	return joinWindows(windows)
}

// linePath returns the error path of a line.
func linePath(line int) string { return fmt.Sprintf("ics.line[%d]", line) }

// joinWindows sorts windows and merges overlapping ones.
func joinWindows(windows []state.CalendarWindow) []state.CalendarWindow {
	sort.Slice(windows, func(i, k int) bool { return windows[i].Start < windows[k].Start })
	var joined []state.CalendarWindow
	for _, window := range windows {
		if last := len(joined) - 1; last >= 0 && window.Start <= joined[last].End {
			joined[last].End = max(joined[last].End, window.End)
		} else {
			joined = append(joined, window)
		}
	}
	return joined
}
