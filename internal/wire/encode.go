package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/go-faster/jx"
)

var errTrailingList = errors.New("data after the list of messages")

// EncodeMessages encodes the messages of one HTTP request between daemons. Bodies are already JSON
// and are copied without validation.
func EncodeMessages(messages []Message) []byte {
	size := len("[]")
	for _, message := range messages {
		size += len(`{"from":"","kind":"","body":},`) + len(message.From) + len(message.Kind) + len(message.Body)
	}
	var w jx.Writer
	w.Buf = make([]byte, 0, size)
	w.ArrStart()
	for i, message := range messages {
		if i > 0 {
			w.Comma()
		}
		message.encode(&w)
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

// DecodeMessages decodes the output of EncodeMessages. The bodies alias the given bytes, which must
// not be modified afterwards.
func DecodeMessages(encoded []byte) ([]Message, error) {
	var messages []Message
	d := jx.DecodeBytes(encoded)
	err := d.Arr(func(d *jx.Decoder) error {
		var message Message
		err := message.decode(d)
		messages = append(messages, message)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("decode messages: %w", err)
	}
	if err := d.Skip(); !errors.Is(err, io.EOF) {
		return nil, errTrailingList
	}
	return messages, nil
}

func (m *Message) decode(d *jx.Decoder) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) (err error) {
		switch string(key) {
		case "from":
			err = DecodeString(d, &m.From)
		case "kind":
			err = DecodeString(d, &m.Kind)
		case "body":
			var body jx.Raw
			body, err = d.Raw()
			m.Body = json.RawMessage(body)
		default:
			err = d.Skip()
		}
		return err
	})
}
