// Package maintenance reads maintenance windows out of iCalendar files, through a
// library; what it adds is bounds, and where in the file something is wrong.
// Repeating events are laid out for a bit more than a year ahead.
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

// Ahead is how far repeating events are laid out.
const Ahead = 400 * 24 * time.Hour

// lines gives one line a read and counts them, so that a fault has its line.
type lines struct {
	rest []byte
	n    int
	end  bool
}

// at is the line that was being read: the reader looks one line ahead, for a
// long line may go on there.
func (l *lines) at() int {
	if l.end {
		return l.n
	}
	return max(0, l.n-1)
}

func (l *lines) Read(p []byte) (int, error) {
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

// Read gives the windows of a file that end after now, in order, joined where
// they overlap. Times without a zone are UTC.
func Read(b []byte, now time.Time, heap *apierror.ErrorList) [][2]types.Wall {
	in := &lines{rest: b}
	cal, err := decode(in)
	if err != nil {
		heap.Add(apierror.BadField, fmt.Sprintf("ics.line[%d]", in.at()), err.Error())
		return nil
	}
	starts := begins(b)
	var list [][2]types.Wall
	events := cal.Events()
	heap.Check(len(events) > 0, "ics", "no VEVENT in it")
	for i, e := range events {
		at := "ics"
		if i < len(starts) {
			at = fmt.Sprintf("ics.line[%d]", starts[i])
		}
		list = append(list, event(e, at, now, heap)...)
		if len(list) > state.MostSpans {
			heap.Add(apierror.BadField, at, fmt.Sprintf("more than %d windows in the next %d days", state.MostSpans, int(Ahead.Hours()/24)))
			return nil
		}
	}
	if len(heap.List()) > 0 {
		return nil
	}
	return join(list)
}

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

// begins lists the lines on which events begin.
func begins(b []byte) (list []int) {
	for i, l := range bytes.Split(b, []byte("\n")) {
		if strings.EqualFold(strings.TrimSpace(string(l)), "BEGIN:VEVENT") {
			list = append(list, i+1)
		}
	}
	return
}

func event(e ical.Event, at string, now time.Time, heap *apierror.ErrorList) (list [][2]types.Wall) {
	if e.Props.Get(ical.PropDateTimeStart) == nil {
		heap.Add(apierror.BadField, at+".DTSTART", "missing")
		return nil
	}
	from, err := e.DateTimeStart(time.UTC)
	if err != nil {
		heap.Add(apierror.BadField, at+".DTSTART", err.Error())
		return nil
	}
	to, err := e.DateTimeEnd(time.UTC)
	if err != nil {
		heap.Add(apierror.BadField, at+".DTEND", err.Error())
		return nil
	}
	long := to.Sub(from)
	if long <= 0 || long > 31*24*time.Hour {
		heap.Add(apierror.BadField, at+".DTEND", "want an end after the start, at most 31 days later")
		return nil
	}
	each := []time.Time{from}
	set, err := e.RecurrenceSet(time.UTC)
	if err != nil {
		heap.Add(apierror.BadField, at+".RRULE", err.Error())
		return nil
	}
	if set != nil {
		each = nil
		next := set.Iterator()
		for n := 0; ; n++ {
			t, ok := next()
			if !ok || t.After(now.Add(Ahead)) || len(each) > state.MostSpans {
				break
			}
			if n > 200_000 {
				heap.Add(apierror.BadField, at+".RRULE", "repeats too often")
				return nil
			}
			if t.Add(long).After(now) {
				each = append(each, t)
			}
		}
	}
	for _, t := range each {
		if t.Add(long).After(now) {
			list = append(list, [2]types.Wall{types.Wall(t.UnixNano()), types.Wall(t.Add(long).UnixNano())})
		}
	}
	return
}

func join(list [][2]types.Wall) (out [][2]types.Wall) {
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
