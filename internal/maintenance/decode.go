package maintenance

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/emersion/go-ical"
)

// Errors of files for which the library has no message.
var (
	errNotCalendar = errors.New("not an iCalendar file")
	errTruncated   = errors.New("truncated file: an END is missing")
)

// decode parses a file. If it fails, line is the line at which decoding stopped.
func decode(file []byte) (calendar *ical.Calendar, line int, err error) {
	reader := &lineReader{unread: file}
	calendar, err = decodeFrom(reader)
	return calendar, reader.currentLine(), err
}

// decodeFrom parses a file. It reports a panic of the library as an error of the file.
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

// lineReader returns at most one line of the file per Read and counts the lines, so that errors
// can be reported with their line.
type lineReader struct {
	unread    []byte
	linesRead int
	atEOF     bool
}

// currentLine returns the number of the line being decoded. The decoder reads one line ahead,
// since the next line may continue a folded one.
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
		l.linesRead++ // a line longer than p is counted with its last part
	}
	n := copy(p, l.unread[:end])
	l.unread = l.unread[n:]
	return n, nil
}

// eventLines returns the numbers of the lines that begin events.
func eventLines(file []byte) []int {
	var numbers []int
	for i, line := range bytes.Split(file, []byte("\n")) {
		if strings.EqualFold(strings.TrimSpace(string(line)), "BEGIN:VEVENT") {
			numbers = append(numbers, i+1)
		}
	}
	return numbers
}
