// Package maintenance reads maintenance windows from iCalendar files (RFC 5545).
// The file format is a library's; this package adds bounds, and the line and
// property of each error. Recurring events are expanded for a little over a year.
package maintenance

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/emersion/go-ical"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const day = 24 * time.Hour

// ExpansionHorizon is how far from now recurring events are expanded.
const ExpansionHorizon = 400 * day

// Bounds of an event.
const (
	maxOccurrenceLength = 31 * day // of one occurrence
	maxOccurrences      = 200_000  // looked at, also those of the past
)

// Window is the start and the end of a maintenance window.
type Window = [2]types.WallTime

// lineReader returns one line of the file for each Read and counts them, so that
// an error can be reported with its line.
type lineReader struct {
	unread    []byte
	linesRead int  // lines returned
	atEOF     bool // the end of the file was reached
}

// currentLine returns the number of the line that was being decoded. The decoder reads one
// line ahead, where a folded line may continue.
func (l *lineReader) currentLine() int {
	if l.atEOF {
		return l.linesRead
	}
	return max(0, l.linesRead-1)
}

// Read implements io.Reader.
func (l *lineReader) Read(p []byte) (int, error) {
	if l.atEOF = len(l.unread) == 0; l.atEOF {
		return 0, io.EOF
	}
	end := bytes.IndexByte(l.unread, '\n') + 1
	if end == 0 {
		end = len(l.unread)
	}
	if end > len(p) {
		n := copy(p, l.unread)
		l.unread = l.unread[n:]
		return n, nil
	}
	l.linesRead++
	n := copy(p, l.unread[:end])
	l.unread = l.unread[n:]
	return n, nil
}

// Read returns the windows of a file that end after now, in order, merged where
// they overlap. Times without a zone are UTC. An error has the field
// ics.line[N].PROPERTY; then no windows are returned.
func Read(file []byte, now time.Time, errs *apierror.ErrorList) []Window {
	reader := &lineReader{unread: file}
	calendar, err := decode(reader)
	if err != nil {
		errs.Add(apierror.BadField, fmt.Sprintf("ics.line[%d]", reader.currentLine()), err.Error())
		return nil
	}
	eventStarts := eventLines(file)
	var windows []Window
	events := calendar.Events()
	errs.Check(len(events) > 0, "ics", "no VEVENT in it")
	for i, e := range events {
		path := "ics"
		if i < len(eventStarts) {
			path = fmt.Sprintf("ics.line[%d]", eventStarts[i])
		}
		windows = append(windows, eventWindows(e, path, now, errs)...)
		if len(windows) > state.MaxWindows {
			errs.Add(apierror.BadField, path, fmt.Sprintf("more than %d windows in the next %d days", state.MaxWindows, ExpansionHorizon/day))
			return nil
		}
	}
	if len(errs.List()) > 0 {
		return nil
	}
	return mergeWindows(windows)
}

// decode parses a file; a panic of the library counts as an error of the file.
func decode(in io.Reader) (cal *ical.Calendar, err error) {
	defer func() {
		if e := recover(); e != nil {
			err = fmt.Errorf("not an iCalendar file")
		}
	}()
	if cal, err = ical.NewDecoder(in).Decode(); err == io.EOF {
		err = fmt.Errorf("cut short: an END is missing")
	}
	if err != nil {
		err = fmt.Errorf("%s", strings.TrimPrefix(err.Error(), "ical: "))
	}
	return
}

// eventLines returns the numbers of the lines on which events begin.
func eventLines(file []byte) (lines []int) {
	for i, l := range bytes.Split(file, []byte("\n")) {
		if strings.EqualFold(strings.TrimSpace(string(l)), "BEGIN:VEVENT") {
			lines = append(lines, i+1)
		}
	}
	return
}

// eventWindows returns the windows of one event that end after now. Errors are
// reported under the path of the event.
func eventWindows(event ical.Event, path string, now time.Time, errs *apierror.ErrorList) (windows []Window) {
	firstStart, length, ok := firstOccurrence(event, path, errs)
	if !ok {
		return nil
	}
	for _, start := range occurrences(event, path, firstStart, length, now, errs) {
		end := start.Add(length)
		if end.After(now) {
			windows = append(windows, Window{types.WallTime(start.UnixNano()), types.WallTime(end.UnixNano())})
		}
	}
	return
}

// firstOccurrence returns the start and the length of an event's first occurrence.
func firstOccurrence(event ical.Event, path string, errs *apierror.ErrorList) (start time.Time, length time.Duration, ok bool) {
	if event.Props.Get(ical.PropDateTimeStart) == nil {
		errs.Add(apierror.BadField, path+".DTSTART", "missing")
		return
	}
	start, err := event.DateTimeStart(time.UTC)
	if err != nil {
		errs.Add(apierror.BadField, path+".DTSTART", err.Error())
		return
	}
	to, err := event.DateTimeEnd(time.UTC)
	if err != nil {
		errs.Add(apierror.BadField, path+".DTEND", err.Error())
		return
	}
	length = to.Sub(start)
	if length <= 0 || length > maxOccurrenceLength {
		errs.Add(apierror.BadField, path+".DTEND", fmt.Sprintf("want an end after the start, at most %d days later", maxOccurrenceLength/day))
		return
	}
	return start, length, true
}

// occurrences returns the starts of an event: one, or by its recurrence rule those
// that end after now and start before now plus Ahead.
func occurrences(event ical.Event, path string, firstStart time.Time, length time.Duration, now time.Time, errs *apierror.ErrorList) []time.Time {
	rule, err := event.RecurrenceSet(time.UTC)
	if err != nil {
		errs.Add(apierror.BadField, path+".RRULE", err.Error())
		return nil
	}
	if rule == nil {
		return []time.Time{firstStart}
	}
	var starts []time.Time
	next := rule.Iterator()
	for n := 0; ; n++ {
		start, ok := next()
		if !ok || start.After(now.Add(ExpansionHorizon)) || len(starts) > state.MaxWindows {
			return starts
		}
		if n > maxOccurrences {
			errs.Add(apierror.BadField, path+".RRULE", "repeats too often")
			return nil
		}
		if start.Add(length).After(now) {
			starts = append(starts, start)
		}
	}
}

// mergeWindows sorts windows and joins those that overlap.
func mergeWindows(windows []Window) (merged []Window) {
	sort.Slice(windows, func(i, k int) bool { return windows[i][0] < windows[k][0] })
	for _, w := range windows {
		if n := len(merged); n > 0 && w[0] <= merged[n-1][1] {
			merged[n-1][1] = max(merged[n-1][1], w[1])
		} else {
			merged = append(merged, w)
		}
	}
	return
}
