package wire

import (
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/go-faster/jx"
)

// BodyDecoder is a body that decodes itself in one pass with the functions below. It follows
// encoding/json: unknown fields are ignored, and null leaves a value unchanged. Unlike with
// encoding/json, keys are case-sensitive.
type BodyDecoder interface {
	DecodeJSON(*jx.Decoder) error
}

// DecodeBody decodes the body of a message. It returns false if the body does not decode as a T.
func DecodeBody[T any](message Message) (body T, ok bool) {
	if decoder, isDecoder := any(&body).(BodyDecoder); isDecoder {
		return body, decodeComplete(decoder, message.Body) == nil
	}
	err := json.Unmarshal(message.Body, &body)
	return body, err == nil
}

var errTrailingBody = errors.New("data after the body")

// decodeComplete decodes a body and fails if data follows it.
func decodeComplete(decoder BodyDecoder, body []byte) error {
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(body)
	if err := decoder.DecodeJSON(d); err != nil {
		return err
	}
	if err := d.Skip(); !errors.Is(err, io.EOF) {
		return errTrailingBody
	}
	return nil
}

// DecodeObject decodes an object. decodeField decodes the value of a key, or returns false if the key
// is unknown, in which case the value is skipped.
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

// DecodeList decodes a list and calls decodeElement for each element.
func DecodeList[T any](d *jx.Decoder, list *[]T, decodeElement func(*T) error) error {
	if nextIsNull(d) {
		*list = nil
		return d.Null()
	}
	*list = []T{}
	return d.Arr(func(*jx.Decoder) error {
		var element T
		err := decodeElement(&element)
		*list = append(*list, element)
		return err
	})
}

// DecodeString decodes a string. Bytes that are invalid UTF-8 become the replacement character.
func DecodeString[T ~string](d *jx.Decoder, value *T) error {
	if nextIsNull(d) {
		return d.Null()
	}
	s, err := d.Str()
	if !utf8.ValidString(s) {
		s = string([]rune(s))
	}
	*value = T(s)
	return err
}

// DecodeInt decodes a signed integer.
func DecodeInt[T ~int | ~int64](d *jx.Decoder, value *T) error {
	if nextIsNull(d) {
		return d.Null()
	}
	n, err := d.Int64()
	*value = T(n)
	return err
}

// DecodeUint decodes an unsigned integer.
func DecodeUint[T ~uint64](d *jx.Decoder, value *T) error {
	if nextIsNull(d) {
		return d.Null()
	}
	n, err := d.UInt64()
	*value = T(n)
	return err
}

// DecodeBool decodes a boolean.
func DecodeBool(d *jx.Decoder, value *bool) (err error) {
	if nextIsNull(d) {
		return d.Null()
	}
	*value, err = d.Bool()
	return err
}

// nextIsNull reports whether the next value is null.
func nextIsNull(d *jx.Decoder) bool { return d.Next() == jx.Null }
