package wire

// The list of messages that one request carries, written and read in one pass each.
// Bodies are JSON already: they are taken as they are and not looked through again.

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/go-faster/jx"
)

var errTrailingList = errors.New("something stands behind the list of messages")

// EncodeMessages writes a list as peers exchange it.
func EncodeMessages(list []Message) []byte {
	size := 2
	for _, m := range list {
		size += len(`{"from":"","kind":"","body":},`) + len(m.From) + len(m.Kind) + len(m.Body)
	}
	var w jx.Writer
	w.Buf = make([]byte, 0, size)
	w.ArrStart()
	for i, m := range list {
		if i > 0 {
			w.Comma()
		}
		m.encode(&w)
	}
	w.ArrEnd()
	return w.Buf
}

func (m Message) encode(w *jx.Writer) {
	w.RawStr(`{"from":`)
	w.Str(string(m.From))
	w.RawStr(`,"kind":`)
	w.Str(string(m.Kind))
	w.RawStr(`,"body":`)
	if m.Body == nil {
		w.Null()
	} else {
		w.Raw(m.Body)
	}
	w.ObjEnd()
}

// DecodeMessages reads such a list. Bodies are parts of the bytes given, which must
// not be changed afterwards.
func DecodeMessages(b []byte) (list []Message, err error) {
	d := jx.DecodeBytes(b)
	err = d.Arr(func(d *jx.Decoder) error {
		var m Message
		err := m.decode(d)
		list = append(list, m)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := d.Skip(); !errors.Is(err, io.EOF) {
		return nil, errTrailingList
	}
	return list, nil
}

func (m *Message) decode(d *jx.Decoder) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) (err error) {
		switch string(key) {
		case "from":
			err = DecodeString(d, &m.From)
		case "kind":
			err = DecodeString(d, &m.Kind)
		case "body":
			var raw jx.Raw
			raw, err = d.Raw()
			m.Body = json.RawMessage(raw)
		default:
			err = d.Skip()
		}
		return err
	})
}
