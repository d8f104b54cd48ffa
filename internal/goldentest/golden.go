// Package goldentest compares what the code writes with golden files: the bytes on the
// wire, on disk and in answers, as the build of December 2026 wrote them. A change of
// the code's names or of its structure must leave every one of them as it is, so the
// files are never regenerated for such a change. Only a change of the format itself,
// with its own reason in the commit, regenerates them, by the flag -update. The package
// serves tests alone.
package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

var update = flag.Bool("update", false, "write the golden files anew; never for a rename")

// folder holds the golden files of a package.
const goldenFolder = "testdata/golden"

// File compares bytes with a golden file of the package under test.
func File(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join(goldenFolder, name)
	if *update {
		write(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		at := firstDifference(got, want)
		t.Errorf("%s differs at byte %d, in these lines\n got: %q\nwant: %q",
			name, at, lineAt(got, at), lineAt(want, at))
	}
}

// Read returns the bytes of a golden file.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(goldenFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func write(t *testing.T, path string, b []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b, 0o644); err != nil {
		t.Fatal(err)
	}
}

// firstDifference returns the index of the first byte that differs.
func firstDifference(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// lineAt returns the line that a byte is in.
func lineAt(b []byte, at int) []byte {
	start := bytes.LastIndexByte(b[:at], '\n') + 1
	line, _, _ := bytes.Cut(b[start:], []byte("\n"))
	return line
}

// JSON checks a type's JSON both ways; see Codec.
func JSON[T any](t *testing.T, name string, fixed ...any) {
	t.Helper()
	Codec(t, name, func(value T) []byte {
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, func(b []byte) (value T, err error) {
		err = json.Unmarshal(b, &value)
		return value, err
	}, fixed...)
}

// WriteOnlyJSON checks how a type is written as JSON that no daemon reads back: a
// filled value in the file's first line, one with every second boolean false in its
// second, and a zero one in its third.
func WriteOnlyJSON[T any](t *testing.T, name string, fixed ...any) {
	t.Helper()
	var zero T
	File(t, name, lines(marshal(t, filled[T](t, fixed)), marshal(t, fillAlternating[T](fixed)), marshal(t, zero)))
}

func marshal(t *testing.T, value any) []byte {
	t.Helper()
	b, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Message checks a kind of message both ways, in the list that daemons send each other.
func Message[T any](t *testing.T, kind wire.Kind, fixed ...any) {
	t.Helper()
	t.Run(string(kind), func(t *testing.T) {
		Codec(t, "message-"+string(kind)+".json", func(body T) []byte {
			return wire.EncodeMessages([]wire.Message{wire.NewMessage(sender, "", kind, body).Message})
		}, func(b []byte) (body T, err error) {
			list, err := wire.DecodeMessages(b)
			if err != nil || len(list) != 1 {
				t.Fatalf("%d messages, %v", len(list), err)
			}
			if list[0].Kind != kind || list[0].From != sender {
				t.Errorf("the message is %q from %q", list[0].Kind, list[0].From)
			}
			body, ok := wire.DecodeBody[T](list[0])
			if !ok {
				t.Errorf("the body is none of kind %q", kind)
			}
			return body, nil
		}, fixed...)
	})
}

// from is the sender of the messages in golden files.
const sender = types.Addr("10.0.0.1:7001")

// Codec checks an encoding both ways. The golden file's first line is a filled value,
// its second the same with every second boolean false, and its third a zero one, which
// shows the fields that are left out when empty. All lines are read and written again;
// the first gives every field its value.
func Codec[T any](t *testing.T, name string, encode func(T) []byte, decode func([]byte) (T, error), fixed ...any) {
	t.Helper()
	var zero T
	File(t, name, lines(encode(filled[T](t, fixed)), encode(fillAlternating[T](fixed)), encode(zero)))
	for i, line := range bytes.Split(bytes.TrimSuffix(Read(t, name), []byte("\n")), []byte("\n")) {
		value, err := decode(line)
		if err != nil {
			t.Fatalf("%s, line %d: %v", name, i+1, err)
		}
		if i == 0 {
			AllSet(t, value)
		}
		if again := encode(value); !bytes.Equal(again, line) {
			t.Errorf("%s, line %d is written again otherwise\n got: %s\nwant: %s", name, i+1, again, line)
		}
	}
}

// filled returns a value with all fields set.
func filled[T any](t *testing.T, fixed []any) T {
	t.Helper()
	value := Fill[T](fixed...)
	AllSet(t, value)
	return value
}

// lines joins lines, each with a newline at its end.
func lines(list ...[]byte) []byte {
	return append(bytes.Join(list, []byte("\n")), '\n')
}
