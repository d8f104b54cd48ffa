package wire

import (
	"encoding/json"
	"fmt"

	"coppercourse/internal/types"
)

// Message is a message between two daemons.
type Message struct {
	From types.Addr      `json:"from"` // the sender's advertised address
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"` // its type depends on Kind
}

// OutboundMessage is a message and its destination.
type OutboundMessage struct {
	To      types.Addr
	Message Message
}

// NewMessage returns a message with an encoded body. It panics if the body cannot be encoded as JSON,
// which is a programming error.
func NewMessage(from, to types.Addr, kind Kind, body any) OutboundMessage {
	return OutboundMessage{To: to, Message: Message{From: from, Kind: kind, Body: EncodeBody(body)}}
}

// EncodeBody encodes the body of a message or response. It panics if the value cannot be encoded as
// JSON, which is a programming error.
func EncodeBody(value any) json.RawMessage {
	body, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Errorf("encode a body of type %T: %w", value, err))
	}
	return body
}

// HandlerFor returns a message handler that decodes the body and passes it to a machine's method. It
// drops messages whose body does not decode.
func HandlerFor[M, T any](method func(*M, types.Addr, T)) func(*M, Message) {
	return func(machine *M, message Message) {
		if body, ok := DecodeBody[T](message); ok {
			method(machine, message.From, body)
		}
	}
}
