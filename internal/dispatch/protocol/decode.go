// Bodies that a leader is sent hundreds of times a second read themselves; they read
// what the standard library would (decode_test.go).
package protocol

import (
	"github.com/go-faster/jx"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// DecodeJSON reads a heartbeat.
func (h *Heartbeat) DecodeJSON(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "shard":
			return true, wire.DecodeString(d, &h.Shard)
		case "id":
			return true, wire.DecodeString(d, &h.Instance)
		case "past":
			return true, wire.DecodeString(d, &h.PreviousInstance)
		case "stamp":
			return true, wire.DecodeInt(d, &h.SentAt)
		case "set":
			return true, h.WorkerSet.decode(d)
		case "saves":
			return true, wire.DecodeList(d, &h.Checkpoints, func(s *Checkpoint) error { return s.decode(d) })
		case "spans":
			return true, wire.DecodeList(d, &h.Durations, func(s *DurationEstimate) error { return s.decode(d) })
		}
		return h.WorkerReport.decodeField(d, key)
	})
}

// decodeField reads one field of a report.
func (r *WorkerReport) decodeField(d *jx.Decoder, key string) (known bool, err error) {
	switch key {
	case "rack":
		return true, wire.DecodeString(d, &r.Rack)
	case "kinds":
		return true, wire.DecodeList(d, &r.Kinds, func(k *types.ServiceKind) error { return wire.DecodeString(d, k) })
	case "room":
		return true, decodeRoom(d, &r.Capacity)
	case "lacks":
		return true, decodeRoom(d, &r.Shortfall)
	case "leaving":
		return true, wire.DecodeBool(d, &r.Draining)
	case "leave_in_ms":
		return true, wire.DecodeInt(d, &r.DepartsInMS)
	case "sound":
		return true, wire.DecodeBool(d, &r.Healthy)
	case "labels":
		return true, wire.DecodeList(d, &r.Labels, func(l *string) error { return wire.DecodeString(d, l) })
	case "invoked":
		return true, wire.DecodeBool(d, &r.Invoked)
	}
	return false, nil
}

func (w *WorkerSetID) decode(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "born":
			return true, wire.DecodeUint(d, &w.Term)
		case "ver":
			return true, wire.DecodeInt(d, &w.Version)
		case "hash":
			return true, wire.DecodeUint(d, &w.Hash)
		case "size":
			return true, wire.DecodeInt(d, &w.Size)
		}
		return false, nil
	})
}

func (c *Checkpoint) decode(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "leg":
			return true, decodeAttempt(d, &c.Attempt)
		case "ref":
			return true, wire.DecodeString(d, &c.Ref)
		}
		return false, nil
	})
}

func (de *DurationEstimate) decode(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "leg":
			return true, decodeAttempt(d, &de.Attempt)
		case "ms":
			return true, wire.DecodeInt(d, &de.MS)
		}
		return false, nil
	})
}

// DecodeJSON reads a report of ended attempts.
func (u *UpdateStatus) DecodeJSON(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "shard":
			return true, wire.DecodeString(d, &u.Shard)
		case "id":
			return true, wire.DecodeString(d, &u.Instance)
		case "ends":
			return true, wire.DecodeList(d, &u.Ends, func(e *state.AttemptEnd) error { return decodeEnd(d, e) })
		}
		return false, nil
	})
}

// DecodeJSON reads the answer to an order.
func (r *RunTaskReply) DecodeJSON(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "term":
			return true, wire.DecodeUint(d, &r.Term)
		case "shard":
			return true, wire.DecodeString(d, &r.Shard)
		case "id":
			return true, wire.DecodeString(d, &r.Instance)
		case "leg":
			return true, decodeAttempt(d, &r.Attempt)
		case "why":
			return true, wire.DecodeString(d, &r.Refusal)
		}
		return false, nil
	})
}

func decodeEnd(d *jx.Decoder, e *state.AttemptEnd) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "leg":
			return true, decodeAttempt(d, &e.ID)
		case "fate":
			return true, wire.DecodeString(d, &e.Outcome)
		case "ref":
			return true, wire.DecodeString(d, &e.Checkpoint)
		}
		return false, nil
	})
}

func decodeAttempt(d *jx.Decoder, a *types.AttemptID) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "job":
			return true, wire.DecodeString(d, &a.Job)
		case "n":
			return true, wire.DecodeInt(d, &a.Number)
		case "leg":
			return true, wire.DecodeInt(d, &a.Attempt)
		}
		return false, nil
	})
}

func decodeRoom(d *jx.Decoder, r *types.Resources) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "cores":
			raw, err := d.Raw()
			if err == nil {
				err = r.Cores.UnmarshalJSON(raw)
			}
			return true, err
		case "memory":
			return true, wire.DecodeInt(d, &r.MemoryMB)
		case "accelerators":
			return true, wire.DecodeInt(d, &r.Accelerators)
		}
		return false, nil
	})
}
