package config

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/go-faster/jx"

	"coppercourse/internal/apierror"
)

// Reader decodes one JSON document and collects its errors.
type Reader struct {
	Errors             *apierror.ErrorList
	AllowUnknownFields bool // skips unknown fields without an error

	decoder   *jx.Decoder
	malformed bool // the document is not valid JSON; reading stops
}

// Field reads the value of the field at a path.
type Field func(path string)

// errMalformed stops the decoder after reportMalformed. It is not reported itself.
var errMalformed = errors.New("malformed document")

// NewReader returns a reader of a document that adds its errors to a list.
func NewReader(document []byte, errs *apierror.ErrorList) *Reader {
	return &Reader{decoder: jx.DecodeBytes(document), Errors: errs}
}

// ReadDocument reads the document as a single object; trailing data is an error.
func (r *Reader) ReadDocument(fields map[string]Field) {
	r.Object("", fields)
	if !r.malformed && r.decoder.Next() != jx.Invalid {
		r.Errors.Add(apierror.BadBody, "", "more than one JSON value")
	}
}

// reportMalformed reports the document as malformed, once.
func (r *Reader) reportMalformed(path string) {
	if r.malformed {
		return
	}
	r.malformed = true
	r.Errors.Add(apierror.BadBody, path, "not well-formed JSON")
}

// expect reports whether the next value has the wanted type. A value of another type is
// reported as an error and skipped.
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

// Object reads an object. Repeated fields are errors, and so are unknown fields unless
// AllowUnknownFields is set.
func (r *Reader) Object(path string, fields map[string]Field) {
	if !r.expect(path, jx.Object) {
		return
	}
	seen := map[string]bool{}
	err := r.decoder.Obj(func(d *jx.Decoder, key string) error {
		fieldPath := key
		if path != "" {
			fieldPath = path + "." + key
		}
		read, known := fields[key]
		switch {
		case !known && !r.AllowUnknownFields:
			r.Errors.Add(apierror.BadField, fieldPath, "no such field")
		case known && seen[key]:
			r.Errors.Add(apierror.BadField, fieldPath, "repeated field")
		}
		if !known || seen[key] {
			return d.Skip()
		}
		seen[key] = true
		read(fieldPath)
		if r.malformed {
			return errMalformed
		}
		return nil
	})
	if err != nil {
		r.reportMalformed(path)
	}
}

// Array reads an array of at most limit values, and calls read for each of them.
func (r *Reader) Array(path string, limit int, read func(path string, i int)) {
	if !r.expect(path, jx.Array) {
		return
	}
	count := 0
	err := r.decoder.Arr(func(d *jx.Decoder) error {
		i := count
		count++
		if i >= limit {
			if i == limit {
				r.Errors.Add(apierror.BadField, path, fmt.Sprintf("more than %d", limit))
			}
			return d.Skip()
		}
		read(path+"["+strconv.Itoa(i)+"]", i)
		if r.malformed {
			return errMalformed
		}
		return nil
	})
	if err != nil {
		r.reportMalformed(path)
	}
}

// NextType returns the type of the next value.
func (r *Reader) NextType() jx.Type { return r.decoder.Next() }
