package wire

// Reading bodies in one pass: types that come often read themselves, with these helpers,
// and all others are read by the standard library. Both read the same: unknown fields
// are let pass, and null leaves a value as it is.

import (
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/go-faster/jx"
)

// SelfReading is a body that reads itself.
type SelfReading interface {
	DecodeJSON(*jx.Decoder) error
}

// Read decodes the body as a type, and reports whether it is one.
func Read[T any](message Message) (body T, ok bool) {
	if own, is := any(&body).(SelfReading); is {
		return body, decodeWhole(own, message.Body) == nil
	}
	err := json.Unmarshal(message.Body, &body)
	return body, err == nil
}

var errTrailingBody = errors.New("something stands behind the body")

func decodeWhole(t SelfReading, body []byte) error {
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(body)
	if err := t.DecodeJSON(d); err != nil {
		return err
	}
	if err := d.Skip(); !errors.Is(err, io.EOF) {
		return errTrailingBody
	}
	return nil
}

// Object reads an object; field reads the value of a key, or gives false for a key that
// it does not know.
func Object(d *jx.Decoder, field func(key string) (known bool, err error)) error {
	if null(d) {
		return d.Null()
	}
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		known, err := field(string(key))
		if err == nil && !known {
			return d.Skip()
		}
		return err
	})
}

// List reads a list of what one reads.
func List[T any](d *jx.Decoder, list *[]T, one func(*T) error) error {
	if null(d) {
		*list = nil
		return d.Null()
	}
	*list = []T{}
	return d.Arr(func(*jx.Decoder) error {
		var t T
		err := one(&t)
		*list = append(*list, t)
		return err
	})
}

// Text reads a string.
func Text[T ~string](d *jx.Decoder, to *T) error {
	if null(d) {
		return d.Null()
	}
	s, err := d.Str()
	if !utf8.ValidString(s) {
		s = string([]rune(s)) // what is no character becomes the sign for that
	}
	*to = T(s)
	return err
}

// Number reads a signed number.
func Number[T ~int | ~int64](d *jx.Decoder, to *T) error {
	if null(d) {
		return d.Null()
	}
	n, err := d.Int64()
	*to = T(n)
	return err
}

// Count reads an unsigned number.
func Count[T ~uint64](d *jx.Decoder, to *T) error {
	if null(d) {
		return d.Null()
	}
	n, err := d.UInt64()
	*to = T(n)
	return err
}

// Flag reads true or false.
func Flag(d *jx.Decoder, to *bool) (err error) {
	if null(d) {
		return d.Null()
	}
	*to, err = d.Bool()
	return err
}

func null(d *jx.Decoder) bool { return d.Next() == jx.Null }
