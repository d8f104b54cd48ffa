package wire

import (
	"encoding/json"
	"fmt"

	"coppercourse/internal/types"
)

// Message is one message between two daemons.
type Message struct {
	From types.Addr      `json:"from"` // the sender's advertised address
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"` // as Kind says
}

// OutboundMessage is a message and its destination.
type OutboundMessage struct {
	To      types.Addr
	Message Message
}

// NewMessage returns a message with an encoded body. It panics if JSON can't hold the body,
// which is a programming error.
func NewMessage(from, to types.Addr, kind Kind, body any) OutboundMessage {
	return OutboundMessage{To: to, Message: Message{From: from, Kind: kind, Body: EncodeBody(body)}}
}

// EncodeBody encodes the body of a message or of a response. It panics if JSON can't hold
// the value, which is a programming error.
func EncodeBody(value any) json.RawMessage {
	body, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Errorf("encode a body of type %T: %w", value, err))
	}
	return body
}

// HandlerFor returns a message handler that decodes the body and calls a machine's method
// with it. A message whose body does not decode is dropped.
func HandlerFor[M, T any](method func(*M, types.Addr, T)) func(*M, Message) {
	return func(machine *M, message Message) {
		if body, ok := DecodeBody[T](message); ok {
			method(machine, message.From, body)
		}
	}
}
