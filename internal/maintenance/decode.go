package maintenance

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/emersion/go-ical"
)

// Errors of files that the library does not put into words.
var (
	errNotCalendar = errors.New("not an iCalendar file")
	errTruncated   = errors.New("cut short: an END is missing")
)

// decode parses a file. With an error it returns the line that was being decoded.
func decode(file []byte) (calendar *ical.Calendar, line int, err error) {
	reader := &lineReader{unread: file}
	calendar, err = decodeFrom(reader)
	return calendar, reader.currentLine(), err
}

// decodeFrom parses a file; a panic of the library counts as an error of the file.
func decodeFrom(reader io.Reader) (calendar *ical.Calendar, err error) {
	defer func() {
		if recover() != nil {
			calendar, err = nil, errNotCalendar
		}
	}()
	calendar, err = ical.NewDecoder(reader).Decode()
	switch {
	case errors.Is(err, io.EOF):
		return nil, errTruncated
	case err != nil:
		return nil, errors.New(strings.TrimPrefix(err.Error(), "ical: "))
	}
	return calendar, nil
}

// lineReader returns one line of the file for each Read and counts them, so that an error
// can be reported with its line.
type lineReader struct {
	unread    []byte
	linesRead int
	atEOF     bool
}

// currentLine returns the number of the line that is being decoded. The decoder reads one
// line ahead, where a folded line may continue.
func (l *lineReader) currentLine() int {
	if l.atEOF {
		return l.linesRead
	}
	return max(0, l.linesRead-1)
}

// Read implements io.Reader.
func (l *lineReader) Read(p []byte) (int, error) {
	l.atEOF = len(l.unread) == 0
	if l.atEOF {
		return 0, io.EOF
	}
	end := bytes.IndexByte(l.unread, '\n') + 1
	if end == 0 {
		end = len(l.unread)
	}
	if end <= len(p) {
		l.linesRead++ // a longer line is counted with its last part
	}
	n := copy(p, l.unread[:end])
	l.unread = l.unread[n:]
	return n, nil
}

// eventLines returns the numbers of the lines on which events begin.
func eventLines(file []byte) []int {
	var numbers []int
	for i, line := range bytes.Split(file, []byte("\n")) {
		if strings.EqualFold(strings.TrimSpace(string(line)), "BEGIN:VEVENT") {
			numbers = append(numbers, i+1)
		}
	}
	return numbers
}
