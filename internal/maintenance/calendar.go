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

// Ahead is how far from now recurring events are expanded.
const Ahead = 400 * day

// Bounds of an event.
const (
	longest         = 31 * day // of one occurrence
	mostOccurrences = 200_000  // looked at, also those of the past
)

// Window is the start and the end of a maintenance window.
type Window = [2]types.Wall

// lineReader returns one line of the file for each Read and counts them, so that
// an error can be reported with its line.
type lineReader struct {
	rest []byte
	n    int  // lines returned
	end  bool // the end of the file was reached
}

// at returns the number of the line that was being decoded. The decoder reads one
// line ahead, where a folded line may continue.
func (l *lineReader) at() int {
	if l.end {
		return l.n
	}
	return max(0, l.n-1)
}

// Read implements io.Reader.
func (l *lineReader) Read(p []byte) (int, error) {
	if l.end = len(l.rest) == 0; l.end {
		return 0, io.EOF
	}
	end := bytes.IndexByte(l.rest, '\n') + 1
	if end == 0 {
		end = len(l.rest)
	}
	if end > len(p) {
		n := copy(p, l.rest)
		l.rest = l.rest[n:]
		return n, nil
	}
	l.n++
	n := copy(p, l.rest[:end])
	l.rest = l.rest[n:]
	return n, nil
}

// Read returns the windows of a file that end after now, in order, merged where
// they overlap. Times without a zone are UTC. An error has the field
// ics.line[N].PROPERTY; then no windows are returned.
func Read(b []byte, now time.Time, errs *apierror.ErrorList) []Window {
	in := &lineReader{rest: b}
	cal, err := decode(in)
	if err != nil {
		errs.Add(apierror.BadField, fmt.Sprintf("ics.line[%d]", in.at()), err.Error())
		return nil
	}
	starts := eventLines(b)
	var list []Window
	events := cal.Events()
	errs.Check(len(events) > 0, "ics", "no VEVENT in it")
	for i, e := range events {
		at := "ics"
		if i < len(starts) {
			at = fmt.Sprintf("ics.line[%d]", starts[i])
		}
		list = append(list, windowsOf(e, at, now, errs)...)
		if len(list) > state.MostSpans {
			errs.Add(apierror.BadField, at, fmt.Sprintf("more than %d windows in the next %d days", state.MostSpans, Ahead/day))
			return nil
		}
	}
	if len(errs.List()) > 0 {
		return nil
	}
	return merge(list)
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
func eventLines(b []byte) (list []int) {
	for i, l := range bytes.Split(b, []byte("\n")) {
		if strings.EqualFold(strings.TrimSpace(string(l)), "BEGIN:VEVENT") {
			list = append(list, i+1)
		}
	}
	return
}

// windowsOf returns the windows of one event that end after now. Errors are
// reported under the path of the event.
func windowsOf(e ical.Event, at string, now time.Time, errs *apierror.ErrorList) (list []Window) {
	from, length, ok := times(e, at, errs)
	if !ok {
		return nil
	}
	for _, start := range occurrences(e, at, from, length, now, errs) {
		end := start.Add(length)
		if end.After(now) {
			list = append(list, Window{types.Wall(start.UnixNano()), types.Wall(end.UnixNano())})
		}
	}
	return
}

// times returns the start and the length of an event's first occurrence.
func times(e ical.Event, at string, errs *apierror.ErrorList) (from time.Time, length time.Duration, ok bool) {
	if e.Props.Get(ical.PropDateTimeStart) == nil {
		errs.Add(apierror.BadField, at+".DTSTART", "missing")
		return
	}
	from, err := e.DateTimeStart(time.UTC)
	if err != nil {
		errs.Add(apierror.BadField, at+".DTSTART", err.Error())
		return
	}
	to, err := e.DateTimeEnd(time.UTC)
	if err != nil {
		errs.Add(apierror.BadField, at+".DTEND", err.Error())
		return
	}
	length = to.Sub(from)
	if length <= 0 || length > longest {
		errs.Add(apierror.BadField, at+".DTEND", fmt.Sprintf("want an end after the start, at most %d days later", longest/day))
		return
	}
	return from, length, true
}

// occurrences returns the starts of an event: one, or by its recurrence rule those
// that end after now and start before now plus Ahead.
func occurrences(e ical.Event, at string, from time.Time, length time.Duration, now time.Time, errs *apierror.ErrorList) []time.Time {
	rule, err := e.RecurrenceSet(time.UTC)
	if err != nil {
		errs.Add(apierror.BadField, at+".RRULE", err.Error())
		return nil
	}
	if rule == nil {
		return []time.Time{from}
	}
	var starts []time.Time
	next := rule.Iterator()
	for n := 0; ; n++ {
		start, ok := next()
		if !ok || start.After(now.Add(Ahead)) || len(starts) > state.MostSpans {
			return starts
		}
		if n > mostOccurrences {
			errs.Add(apierror.BadField, at+".RRULE", "repeats too often")
			return nil
		}
		if start.Add(length).After(now) {
			starts = append(starts, start)
		}
	}
}

// merge sorts windows and joins those that overlap.
func merge(list []Window) (out []Window) {
	sort.Slice(list, func(i, k int) bool { return list[i][0] < list[k][0] })
	for _, w := range list {
		if n := len(out); n > 0 && w[0] <= out[n-1][1] {
			out[n-1][1] = max(out[n-1][1], w[1])
		} else {
			out = append(out, w)
		}
	}
	return
}
