package maintenance

import (
	"fmt"
	"time"

	"github.com/emersion/go-ical"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// eventReader reads the windows of one event. Its errors are reported with path as prefix.
type eventReader struct {
	event *ical.Event
	path  string
	now   time.Time
	errs  *apierror.ErrorList
}

// windows returns the windows of the event that end after now.
func (e *eventReader) windows() []state.CalendarWindow {
	first, length, ok := e.firstOccurrence()
	if !ok {
		return nil
	}
	var windows []state.CalendarWindow
	for _, start := range e.occurrences(first, length) {
		end := start.Add(length)
		if end.After(e.now) {
			windows = append(windows, state.CalendarWindow{
				Start: types.WallTimeOf(start),
				End:   types.WallTimeOf(end),
			})
		}
	}
	return windows
}

// addError reports an error of a property.
func (e *eventReader) addError(property, reason string) {
	e.errs.Add(apierror.BadField, e.path+"."+property, reason)
}

// firstOccurrence returns the start and the length of the first occurrence, or false if they
// are invalid.
func (e *eventReader) firstOccurrence() (start time.Time, length time.Duration, ok bool) {
	if e.event.Props.Get(ical.PropDateTimeStart) == nil {
		e.addError(ical.PropDateTimeStart, "missing")
		return time.Time{}, 0, false
	}
	start, err := e.event.DateTimeStart(time.UTC)
	if err != nil {
		e.addError(ical.PropDateTimeStart, err.Error())
		return time.Time{}, 0, false
	}
	end, err := e.event.DateTimeEnd(time.UTC)
	if err != nil {
		e.addError(ical.PropDateTimeEnd, err.Error())
		return time.Time{}, 0, false
	}
	length = end.Sub(start)
	if length <= 0 || length > maxOccurrenceLength {
		e.addError(ical.PropDateTimeEnd,
			fmt.Sprintf("want an end after the start, at most %d days later", maxOccurrenceLength/day))
		return time.Time{}, 0, false
	}
	return start, length, true
}

// occurrences returns the start times of the event: a single one, or for a recurring event those
// of the occurrences that end after now and start before the horizon.
func (e *eventReader) occurrences(first time.Time, length time.Duration) []time.Time {
	rule, err := e.event.RecurrenceSet(time.UTC)
	if err != nil {
		e.addError(ical.PropRecurrenceRule, err.Error())
		return nil
	}
	if rule == nil {
		return []time.Time{first}
	}
	var starts []time.Time
	next := rule.Iterator()
	for n := 0; ; n++ {
		start, ok := next()
		if !ok || start.After(e.now.Add(ExpansionHorizon)) || len(starts) > state.MaxWindows {
			return starts
		}
		if n > maxOccurrences {
			e.addError(ical.PropRecurrenceRule, "repeats too often")
			return nil
		}
		if start.Add(length).After(e.now) {
			starts = append(starts, start)
		}
	}
}
