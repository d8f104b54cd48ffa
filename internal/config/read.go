// Package config is what operators write: the table of queues and a
// daemon's settings, and by the same reader the jobs that callers send. All of
// it is read by jx field by field; every fault is kept with the path of its
// field, so that all of them are told at once.
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

// Reader goes down a document and heaps up what is wrong with it.
type Reader struct {
	d     *jx.Decoder
	Heap  *apierror.ErrorList
	Loose bool // fields that nobody asks for are let pass
	dead  bool
}

// Field reads the value of one field.
type Field func(path string)

var errHalt = errors.New("halt")

func NewReader(b []byte, heap *apierror.ErrorList) *Reader {
	return &Reader{d: jx.DecodeBytes(b), Heap: heap}
}

// Whole reads the document as one object with nothing behind it.
func (r *Reader) Whole(fields map[string]Field) {
	r.Obj("", fields)
	if !r.dead && r.d.Next() != jx.Invalid {
		r.Heap.Add(apierror.BadBody, "", "more than one JSON value")
	}
}

func (r *Reader) halt(path string) {
	if !r.dead {
		r.dead = true
		r.Heap.Add(apierror.BadBody, path, "not well-formed JSON")
	}
}

func (r *Reader) is(path string, want jx.Type) bool {
	if r.dead {
		return false
	}
	got := r.d.Next()
	if got == want {
		return true
	}
	if got == jx.Invalid || r.d.Skip() != nil {
		r.halt(path)
	} else {
		r.Heap.Add(apierror.BadField, path, fmt.Sprintf("want %s, got %s", want, got))
	}
	return false
}

// Obj reads an object; a field not in the map, or told twice, is a fault.
func (r *Reader) Obj(path string, fields map[string]Field) {
	if !r.is(path, jx.Object) {
		return
	}
	seen := map[string]bool{}
	err := r.d.Obj(func(d *jx.Decoder, key string) error {
		at := key
		if path != "" {
			at = path + "." + key
		}
		f, ok := fields[key]
		switch {
		case !ok && r.Loose:
		case !ok:
			r.Heap.Add(apierror.BadField, at, "no such field")
		case seen[key]:
			r.Heap.Add(apierror.BadField, at, "told twice")
		}
		if !ok || seen[key] {
			return d.Skip()
		}
		seen[key] = true
		f(at)
		if r.dead {
			return errHalt
		}
		return nil
	})
	if err != nil {
		r.halt(path)
	}
}

// List reads an array of at most limit values.
func (r *Reader) List(path string, limit int, each func(path string, i int)) {
	if !r.is(path, jx.Array) {
		return
	}
	i := 0
	err := r.d.Arr(func(d *jx.Decoder) error {
		i++
		if i > limit {
			if i == limit+1 {
				r.Heap.Add(apierror.BadField, path, fmt.Sprintf("more than %d", limit))
			}
			return d.Skip()
		}
		each(path+"["+strconv.Itoa(i-1)+"]", i-1)
		if r.dead {
			return errHalt
		}
		return nil
	})
	if err != nil {
		r.halt(path)
	}
}

// Next tells what kind of value comes.
func (r *Reader) Next() jx.Type { return r.d.Next() }

// Num reads a whole number within bounds.
func Num[T ~int | ~int64 | ~uint64](r *Reader, to *T, least, most int64) Field {
	return func(path string) {
		if !r.is(path, jx.Number) {
			return
		}
		n, err := r.d.Num()
		if err != nil {
			r.halt(path)
			return
		}
		v, err := n.Int64()
		if err != nil || v < least || v > most {
			r.Heap.Add(apierror.BadField, path, fmt.Sprintf("want a whole number from %d to %d, got %s", least, most, n))
			return
		}
		*to = T(v)
	}
}

// Real reads a number within bounds.
func Real(r *Reader, to *float64, least, most float64) Field {
	return func(path string) {
		if !r.is(path, jx.Number) {
			return
		}
		v, err := r.d.Float64()
		if err != nil || v < least || v > most {
			r.Heap.Add(apierror.BadField, path, fmt.Sprintf("want a number from %v to %v", least, most))
			return
		}
		*to = v
	}
}

// Cores reads a decimal number of cores within bounds.
func Cores(r *Reader, to *types.Cores, least, most types.Cores) Field {
	return func(path string) {
		if !r.is(path, jx.Number) {
			return
		}
		n, err := r.d.Num()
		if err != nil {
			r.halt(path)
			return
		}
		v, ok := types.ParseCores(n.String())
		if !ok || v < least || v > most {
			r.Heap.Add(apierror.BadField, path, fmt.Sprintf("want a number of cores from %v to %v with at most three decimals, got %s",
				float64(least)/1000, float64(most)/1000, n))
			return
		}
		*to = v
	}
}

// Text reads a string that a check accepts.
func Text[T ~string](r *Reader, to *T, check func(string) string) Field {
	return func(path string) {
		if !r.is(path, jx.String) {
			return
		}
		s, err := r.d.Str()
		if err != nil {
			r.halt(path)
			return
		}
		if bad := check(s); bad != "" {
			r.Heap.Add(apierror.BadField, path, bad)
			return
		}
		*to = T(s)
	}
}

// Bool reads true or false.
func Bool(r *Reader, to *bool) Field {
	return func(path string) {
		if !r.is(path, jx.Bool) {
			return
		}
		b, err := r.d.Bool()
		if err != nil {
			r.halt(path)
		}
		*to = b
	}
}

// Raw keeps a value as it stands, up to a size.
func Raw(r *Reader, to *[]byte, most int) Field {
	return func(path string) {
		if r.dead {
			return
		}
		b, err := r.d.Raw()
		if err != nil || !json.Valid(b) {
			r.halt(path)
			return
		}
		if len(b) > most {
			r.Heap.Add(apierror.BadField, path, fmt.Sprintf("larger than %d bytes", most))
			return
		}
		*to = append([]byte(nil), b...)
	}
}

// Name accepts the names that queues, jobs, steps, kinds and racks may have.
func Name(s string) string {
	if s == "" || len(s) > 64 {
		return "want 1 to 64 characters"
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !ok {
			return "want letters, digits, '-', '_' and '.' only"
		}
	}
	return ""
}

// Maybe accepts what f accepts, and nothing at all.
func Maybe(f func(string) string) func(string) string {
	return func(s string) string {
		if s == "" {
			return ""
		}
		return f(s)
	}
}
