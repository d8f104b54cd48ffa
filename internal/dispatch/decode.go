// Bodies that a leader is sent hundreds of times a second read themselves; they read
// what the standard library would (decode_test.go).
package dispatch

import (
	"github.com/go-faster/jx"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// DecodeJSON reads a heartbeat.
func (h *Heartbeat) DecodeJSON(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "shard":
			return true, wire.Text(d, &h.Shard)
		case "id":
			return true, wire.Text(d, &h.ID)
		case "past":
			return true, wire.Text(d, &h.Past)
		case "stamp":
			return true, wire.Number(d, &h.Stamp)
		case "set":
			return true, h.Set.decode(d)
		case "saves":
			return true, wire.List(d, &h.Saves, func(s *Save) error { return s.decode(d) })
		case "spans":
			return true, wire.List(d, &h.Spans, func(s *Span) error { return s.decode(d) })
		}
		return h.Report.field(d, key)
	})
}

// field reads one field of a report.
func (r *Report) field(d *jx.Decoder, key string) (known bool, err error) {
	switch key {
	case "rack":
		return true, wire.Text(d, &r.Rack)
	case "kinds":
		return true, wire.List(d, &r.Kinds, func(k *types.ServiceKind) error { return wire.Text(d, k) })
	case "room":
		return true, decodeRoom(d, &r.Room)
	case "lacks":
		return true, decodeRoom(d, &r.Lacks)
	case "leaving":
		return true, wire.Flag(d, &r.Leaving)
	case "leave_in_ms":
		return true, wire.Number(d, &r.LeaveMS)
	case "sound":
		return true, wire.Flag(d, &r.Healthy)
	case "labels":
		return true, wire.List(d, &r.Labels, func(l *string) error { return wire.Text(d, l) })
	case "invoked":
		return true, wire.Flag(d, &r.Invoked)
	}
	return false, nil
}

func (s *SetID) decode(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "born":
			return true, wire.Count(d, &s.Born)
		case "ver":
			return true, wire.Number(d, &s.Ver)
		case "hash":
			return true, wire.Count(d, &s.Hash)
		case "size":
			return true, wire.Number(d, &s.Size)
		}
		return false, nil
	})
}

func (s *Save) decode(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "leg":
			return true, decodeAttempt(d, &s.Attempt)
		case "ref":
			return true, wire.Text(d, &s.Ref)
		}
		return false, nil
	})
}

func (s *Span) decode(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "leg":
			return true, decodeAttempt(d, &s.Attempt)
		case "ms":
			return true, wire.Number(d, &s.MS)
		}
		return false, nil
	})
}

// DecodeJSON reads a report of ended attempts.
func (s *Status) DecodeJSON(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "shard":
			return true, wire.Text(d, &s.Shard)
		case "id":
			return true, wire.Text(d, &s.ID)
		case "ends":
			return true, wire.List(d, &s.Ends, func(e *state.AttemptEnd) error { return decodeEnd(d, e) })
		}
		return false, nil
	})
}

// DecodeJSON reads the answer to an order.
func (o *OrderReply) DecodeJSON(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "term":
			return true, wire.Count(d, &o.Term)
		case "shard":
			return true, wire.Text(d, &o.Shard)
		case "id":
			return true, wire.Text(d, &o.ID)
		case "leg":
			return true, decodeAttempt(d, &o.Attempt)
		case "why":
			return true, wire.Text(d, &o.Why)
		}
		return false, nil
	})
}

func decodeEnd(d *jx.Decoder, e *state.AttemptEnd) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "leg":
			return true, decodeAttempt(d, &e.ID)
		case "fate":
			return true, wire.Text(d, &e.Outcome)
		case "ref":
			return true, wire.Text(d, &e.Checkpoint)
		}
		return false, nil
	})
}

func decodeAttempt(d *jx.Decoder, a *types.AttemptID) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "job":
			return true, wire.Text(d, &a.Job)
		case "n":
			return true, wire.Number(d, &a.Number)
		case "leg":
			return true, wire.Number(d, &a.Attempt)
		}
		return false, nil
	})
}

func decodeRoom(d *jx.Decoder, r *types.Resources) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "cores":
			raw, err := d.Raw()
			if err == nil {
				err = r.Cores.UnmarshalJSON(raw)
			}
			return true, err
		case "memory":
			return true, wire.Number(d, &r.MemoryMB)
		case "accelerators":
			return true, wire.Number(d, &r.Accelerators)
		}
		return false, nil
	})
}
