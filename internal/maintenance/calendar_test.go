package maintenance

// Windows of calendars, and the errors of broken ones.

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

func calendarFile(events ...string) string {
	return "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//x//y\r\n" + strings.Join(events, "") + "END:VCALENDAR\r\n"
}

func calendarEvent(lines ...string) string {
	return "BEGIN:VEVENT\r\nUID:1\r\nDTSTAMP:20260101T000000Z\r\n" + strings.Join(lines, "\r\n") + "\r\nEND:VEVENT\r\n"
}

var now = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func TestWindowsAreRead(t *testing.T) {
	is := is.New(t)
	var h apierror.ErrorList
	list := Read([]byte(calendarFile(
		calendarEvent("DTSTART:20260610T020000Z", "DTEND:20260610T040000Z"),
		calendarEvent("DTSTART:20260610T030000Z", "DURATION:PT2H"),          // overlaps the first
		calendarEvent("DTSTART:20250101T010000Z", "DTEND:20250101T020000Z"), // long past
		calendarEvent("DTSTART;TZID=Europe/Bucharest:20260701T010000", "DTEND;TZID=Europe/Bucharest:20260701T020000", // summer time
			"RRULE:FREQ=MONTHLY;COUNT=6")), // the sixth in winter time
	), now, &h)
	is.NoErr(h.Err())
	is.Equal(len(list), 7)
	utc := func(w types.WallTime) string { return time.Unix(0, int64(w)).UTC().Format("01-02 15:04") }
	is.Equal(utc(list[0][0])+" to "+utc(list[0][1]), "06-10 02:00 to 06-10 05:00")
	is.Equal(utc(list[1][0]), "06-30 22:00")
	is.Equal(utc(list[6][0]), "11-30 23:00")
	weekly := Read([]byte(calendarFile(calendarEvent("DTSTART:20200101T010000Z", "DTEND:20200101T020000Z", "RRULE:FREQ=WEEKLY"))), now, &h)
	is.NoErr(h.Err())
	is.True(len(weekly) > 50 && len(weekly) < 60) // a bit more than a year
}

func TestErrorsOfFilesAreReportedByLineAndField(t *testing.T) {
	is := is.New(t)
	good := calendarEvent("DTSTART:20260610T020000Z", "DTEND:20260610T040000Z")
	for text, field := range map[string]string{
		"":                                 "ics.line[0]",
		"hello":                            "ics.line[1]",
		"BEGIN:VCALENDAR\n":                "ics.line[1]",
		calendarFile():                     "ics",
		calendarFile(good, "nonsense\r\n"): "ics.line[10]",
		calendarFile(good, calendarEvent("DTEND:20260610T040000Z")):                                               "ics.line[10].DTSTART",
		calendarFile(calendarEvent("DTSTART:tomorrow", "DTEND:20260610T040000Z")):                                 "ics.line[4].DTSTART",
		calendarFile(good, calendarEvent("DTSTART:20260610T050000Z", "DTEND:20260610T040000Z")):                   "ics.line[10].DTEND",
		calendarFile(calendarEvent("DTSTART:20260610T020000Z", "DTEND:20260610T030000Z", "RRULE:FREQ=SOMETIMES")): "ics.line[4].RRULE",
		calendarFile(calendarEvent("DTSTART:20200610T020000Z", "DTEND:20200610T020001Z", "RRULE:FREQ=SECONDLY")):  "ics.line[4].RRULE",
	} {
		var h apierror.ErrorList
		is.Equal(len(Read([]byte(text), now, &h)), 0)
		is.True(h.First() != nil)
		is.Equal(h.First().Field, field)
		is.Equal(h.First().StatusCode(), 422)
	}
}
