// Package config holds what operators write: the queue table, drains and
// maintenance calendars, and the routes that the table makes. Its Reader decodes
// all JSON documents from outside, jobs and daemons' settings too, field by field
// with jx, and collects every error with the path of its field, so that all of
// them are reported at once.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/go-faster/jx"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Reader decodes one JSON document and collects what is wrong with it.
type Reader struct {
	decoder            *jx.Decoder
	Errors             *apierror.ErrorList // the errors found
	AllowUnknownFields bool                // unknown fields are ignored, not errors
	malformed          bool                // the document is malformed; nothing more is read
}

// Field reads the value of the field at a path.
type Field func(path string)

// errMalformed ends the decoding of a malformed document.
var errMalformed = errors.New("halt")

// NewReader makes a reader of a document that adds its errors to a list.
func NewReader(document []byte, errs *apierror.ErrorList) *Reader {
	return &Reader{decoder: jx.DecodeBytes(document), Errors: errs}
}

// ReadDocument reads the document as one object; anything after it is an error.
func (r *Reader) ReadDocument(fields map[string]Field) {
	r.Object("", fields)
	if !r.malformed && r.decoder.Next() != jx.Invalid {
		r.Errors.Add(apierror.BadBody, "", "more than one JSON value")
	}
}

// reportMalformed reports the document as malformed, once.
func (r *Reader) reportMalformed(path string) {
	if !r.malformed {
		r.malformed = true
		r.Errors.Add(apierror.BadBody, path, "not well-formed JSON")
	}
}

// expect reports whether a value of the wanted type comes next. Another value is
// skipped and reported.
func (r *Reader) expect(path string, want jx.Type) bool {
	if r.malformed {
		return false
	}
	got := r.decoder.Next()
	if got == want {
		return true
	}
	if got == jx.Invalid || r.decoder.Skip() != nil {
		r.reportMalformed(path)
	} else {
		r.Errors.Add(apierror.BadField, path, fmt.Sprintf("want %s, got %s", want, got))
	}
	return false
}

// Object reads an object. A field that is not in the map, unless the reader is loose,
// or that stands there twice is an error.
func (r *Reader) Object(path string, fields map[string]Field) {
	if !r.expect(path, jx.Object) {
		return
	}
	seen := map[string]bool{}
	err := r.decoder.Obj(func(d *jx.Decoder, key string) error {
		at := key
		if path != "" {
			at = path + "." + key
		}
		f, ok := fields[key]
		switch {
		case !ok && r.AllowUnknownFields:
		case !ok:
			r.Errors.Add(apierror.BadField, at, "no such field")
		case seen[key]:
			r.Errors.Add(apierror.BadField, at, "told twice")
		}
		if !ok || seen[key] {
			return d.Skip()
		}
		seen[key] = true
		f(at)
		if r.malformed {
			return errMalformed
		}
		return nil
	})
	if err != nil {
		r.reportMalformed(path)
	}
}

// Array reads an array of at most limit values.
func (r *Reader) Array(path string, limit int, each func(path string, i int)) {
	if !r.expect(path, jx.Array) {
		return
	}
	i := 0
	err := r.decoder.Arr(func(d *jx.Decoder) error {
		i++
		if i > limit {
			if i == limit+1 {
				r.Errors.Add(apierror.BadField, path, fmt.Sprintf("more than %d", limit))
			}
			return d.Skip()
		}
		each(path+"["+strconv.Itoa(i-1)+"]", i-1)
		if r.malformed {
			return errMalformed
		}
		return nil
	})
	if err != nil {
		r.reportMalformed(path)
	}
}

// NextType returns the type of the value that comes next.
func (r *Reader) NextType() jx.Type { return r.decoder.Next() }

// value makes a Field that reads a value of one JSON type into to. The decode
// function returns the value, or the reason why it is refused, or an error if the
// document is malformed there.
func value[T any](r *Reader, to *T, want jx.Type, decode func() (T, string, error)) Field {
	return func(path string) {
		if !r.expect(path, want) {
			return
		}
		v, reason, err := decode()
		switch {
		case err != nil:
			r.reportMalformed(path)
		case reason != "":
			r.Errors.Add(apierror.BadField, path, reason)
		default:
			*to = v
		}
	}
}

// Int reads a whole number from least to most.
func Int[T ~int | ~int64 | ~uint64](r *Reader, to *T, minimum, maximum int64) Field {
	return value(r, to, jx.Number, func() (T, string, error) {
		n, err := r.decoder.Num()
		if err != nil {
			return 0, "", err
		}
		v, err := n.Int64()
		if err != nil || v < minimum || v > maximum {
			return 0, fmt.Sprintf("want a whole number from %d to %d, got %s", minimum, maximum, n), nil
		}
		return T(v), "", nil
	})
}

// Float reads a number from least to most.
func Float(r *Reader, to *float64, least, most float64) Field {
	return value(r, to, jx.Number, func() (float64, string, error) {
		v, err := r.decoder.Float64()
		if err != nil || v < least || v > most {
			return 0, fmt.Sprintf("want a number from %v to %v", least, most), nil
		}
		return v, "", nil
	})
}

// MilliCores reads a decimal number of cores from least to most.
func MilliCores(r *Reader, to *types.MilliCores, least, most types.MilliCores) Field {
	return value(r, to, jx.Number, func() (types.MilliCores, string, error) {
		n, err := r.decoder.Num()
		if err != nil {
			return 0, "", err
		}
		v, ok := types.ParseCores(n.String())
		if !ok || v < least || v > most {
			return 0, fmt.Sprintf("want a number of cores from %v to %v with at most three decimals, got %s",
				float64(least)/float64(types.Core), float64(most)/float64(types.Core), n), nil
		}
		return v, "", nil
	})
}

// Text reads a string. The check returns why a text is refused, or nothing.
func Text[T ~string](r *Reader, to *T, check func(string) string) Field {
	return value(r, to, jx.String, func() (T, string, error) {
		s, err := r.decoder.Str()
		if err != nil {
			return "", "", err
		}
		return T(s), check(s), nil
	})
}

// Bool reads true or false.
func Bool(r *Reader, to *bool) Field {
	return value(r, to, jx.Bool, func() (bool, string, error) {
		b, err := r.decoder.Bool()
		return b, "", err
	})
}

// Raw copies a value undecoded, up to a size of most bytes.
func Raw(r *Reader, to *[]byte, limit int) Field {
	return func(path string) {
		if r.malformed {
			return
		}
		b, err := r.decoder.Raw()
		if err != nil || !json.Valid(b) {
			r.reportMalformed(path)
			return
		}
		if len(b) > limit {
			r.Errors.Add(apierror.BadField, path, fmt.Sprintf("larger than %d bytes", limit))
			return
		}
		*to = append([]byte(nil), b...)
	}
}

// maxNameLength is the greatest length of a name, in characters.
const maxNameLength = 64

// CheckName accepts the names that queues, jobs, steps, kinds and racks may have. As
// all checks of Text, it returns the reason of a refusal, or nothing.
func CheckName(s string) string {
	if s == "" || len(s) > maxNameLength {
		return fmt.Sprintf("want 1 to %d characters", maxNameLength)
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !ok {
			return "want letters, digits, '-', '_' and '.' only"
		}
	}
	return ""
}

// Optional accepts the empty text and what the check accepts.
func Optional(check func(string) string) func(string) string {
	return func(s string) string {
		if s == "" {
			return ""
		}
		return check(s)
	}
}

// acceptAny accepts every text.
func acceptAny(string) string { return "" }
