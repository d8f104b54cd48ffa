// What a daemon spends: its messages and bytes as they would stand on the wire,
// the processor time of its machine's steps, what it has synced to disk, and how
// much memory its state takes.
package sim

import (
	"bytes"
	"reflect"
	"time"
	"unsafe"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Class sorts messages by what they are for.
type Class int

const (
	MembershipMessages Class = iota
	HeartbeatMessages
	LogMessages
	TableMessages
	WorkMessages
	Classes
)

var classByKind = map[wire.Kind]Class{
	wire.Hello:     MembershipMessages,
	wire.Heartbeat: HeartbeatMessages, wire.HeartbeatReply: HeartbeatMessages, wire.RunningTasksQuery: HeartbeatMessages, wire.RunningTasksReply: HeartbeatMessages,
	wire.ReplaceInstance: HeartbeatMessages,
	wire.ConfigWatch:     TableMessages, wire.ConfigWatchReply: TableMessages,
	wire.Bootstrap: LogMessages, wire.JoinRequest: LogMessages, wire.RequestVote: LogMessages, wire.VoteReply: LogMessages, wire.AppendEntries: LogMessages,
	wire.AppendReply: LogMessages, wire.InstallSnapshot: LogMessages, wire.TimeoutNow: LogMessages, wire.Removed: LogMessages,
}

var entriesKey = []byte(`"entries":`)

// classOf calls entries on their way to the other controllers work.
func classOf(n wire.Message) Class {
	c, ok := classByKind[n.Kind]
	if !ok || n.Kind == wire.AppendEntries && bytes.Contains(n.Body, entriesKey) {
		return WorkMessages
	}
	return c
}

// What a request to a peer and its answer take besides the notes; a test holds
// them against the real client and server.
const (
	requestBytes = 154
	answerBytes  = 64
	messageBytes = len(`{"from":"","kind":"","body":},`)
)

// Count is messages, the requests that carried them, and bytes.
type Count struct{ Messages, Requests, Bytes int }

// Usage is what one daemon has spent since it was last cleared. The answers to
// its requests are counted with what it received, those it gave with what it sent.
type Usage struct {
	Sent, Received [Classes]Count
	CPU            time.Duration
	Steps          int
	Syncs, Written int
}

// Control is the sum of all messages but work, both ways.
func (u *Usage) Control() (c Count) {
	for k := range WorkMessages {
		c = c.plus(u.Sent[k]).plus(u.Received[k])
	}
	return
}

func (c Count) plus(o Count) Count {
	return Count{c.Messages + o.Messages, c.Requests + o.Requests, c.Bytes + o.Bytes}
}

// countTransfer counts one note from a daemon to another; first means that it is the
// first one of its request. Either may be missing.
func countTransfer(from, to *Usage, n wire.Message, first bool) {
	c := Count{Messages: 1, Bytes: messageBytes + len(n.From) + len(n.Kind) + len(n.Body)}
	k := classOf(n)
	response := Count{}
	if first {
		c.Requests, c.Bytes = 1, c.Bytes+requestBytes
		response.Bytes = answerBytes
	}
	if from != nil {
		from.Sent[k] = from.Sent[k].plus(c)
		from.Received[k] = from.Received[k].plus(response)
	}
	if to != nil {
		to.Received[k] = to.Received[k].plus(c)
		to.Sent[k] = to.Sent[k].plus(response)
	}
}

// requestMeter counts a step's sends; notes to the same peer share a request.
type requestMeter map[types.Addr]bool

func (r requestMeter) first(to types.Addr) bool {
	if r[to] {
		return false
	}
	r[to] = true
	return true
}

// Footprint is about how many bytes a value takes with all that it points to.
func Footprint(v any) int {
	w := footprintWalker{}
	return w.sizeOf(reflect.ValueOf(v), false)
}

type footprintWalker map[unsafe.Pointer]bool

func (f footprintWalker) firstVisit(p unsafe.Pointer) bool {
	if p == nil || f[p] {
		return false
	}
	f[p] = true
	return true
}

// sizeOf counts what v points to, and v itself unless it lies within a counted value.
func (f footprintWalker) sizeOf(v reflect.Value, inside bool) (n int) {
	if !v.IsValid() {
		return 0
	}
	if !inside {
		n = int(v.Type().Size())
	}
	switch v.Kind() {
	case reflect.String:
		if s := v.String(); f.firstVisit(unsafe.Pointer(unsafe.StringData(s))) {
			n += len(s)
		}
	case reflect.Pointer:
		if f.firstVisit(v.UnsafePointer()) {
			n += f.sizeOf(v.Elem(), false)
		}
	case reflect.Interface:
		n += f.sizeOf(v.Elem(), false)
	case reflect.Slice:
		if v.Len() == 0 || !f.firstVisit(v.UnsafePointer()) {
			return
		}
		n += v.Cap() * int(v.Type().Elem().Size())
		for i := range v.Len() {
			n += f.sizeOf(v.Index(i), true)
		}
	case reflect.Array:
		for i := range v.Len() {
			n += f.sizeOf(v.Index(i), true)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			n += f.sizeOf(v.Field(i), true)
		}
	case reflect.Map:
		if !f.firstVisit(v.UnsafePointer()) {
			return
		}
		each := int(v.Type().Key().Size()+v.Type().Elem().Size()) + 1
		n += 48 + v.Len()*each*8/7
		for i := v.MapRange(); i.Next(); {
			n += f.sizeOf(i.Key(), true) + f.sizeOf(i.Value(), true)
		}
	}
	return
}
