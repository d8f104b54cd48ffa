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

// BodyDecoder is a body that reads itself.
type BodyDecoder interface {
	DecodeJSON(*jx.Decoder) error
}

// DecodeBody decodes the body as a type, and reports whether it is one.
func DecodeBody[T any](message Message) (body T, ok bool) {
	if own, is := any(&body).(BodyDecoder); is {
		return body, decodeComplete(own, message.Body) == nil
	}
	err := json.Unmarshal(message.Body, &body)
	return body, err == nil
}

var errTrailingBody = errors.New("something stands behind the body")

func decodeComplete(t BodyDecoder, body []byte) error {
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

// DecodeObject reads an object; field reads the value of a key, or gives false for a key that
// it does not know.
func DecodeObject(d *jx.Decoder, decodeField func(key string) (known bool, err error)) error {
	if nextIsNull(d) {
		return d.Null()
	}
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		known, err := decodeField(string(key))
		if err == nil && !known {
			return d.Skip()
		}
		return err
	})
}

// DecodeList reads a list of what one reads.
func DecodeList[T any](d *jx.Decoder, list *[]T, one func(*T) error) error {
	if nextIsNull(d) {
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

// DecodeString reads a string.
func DecodeString[T ~string](d *jx.Decoder, to *T) error {
	if nextIsNull(d) {
		return d.Null()
	}
	s, err := d.Str()
	if !utf8.ValidString(s) {
		s = string([]rune(s)) // what is no character becomes the sign for that
	}
	*to = T(s)
	return err
}

// DecodeInt reads a signed number.
func DecodeInt[T ~int | ~int64](d *jx.Decoder, to *T) error {
	if nextIsNull(d) {
		return d.Null()
	}
	n, err := d.Int64()
	*to = T(n)
	return err
}

// DecodeUint reads an unsigned number.
func DecodeUint[T ~uint64](d *jx.Decoder, to *T) error {
	if nextIsNull(d) {
		return d.Null()
	}
	n, err := d.UInt64()
	*to = T(n)
	return err
}

// DecodeBool reads true or false.
func DecodeBool(d *jx.Decoder, to *bool) (err error) {
	if nextIsNull(d) {
		return d.Null()
	}
	*to, err = d.Bool()
	return err
}

func nextIsNull(d *jx.Decoder) bool { return d.Next() == jx.Null }
