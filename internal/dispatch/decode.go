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
			return true, wire.Text(d, &h.Instance)
		case "past":
			return true, wire.Text(d, &h.PreviousInstance)
		case "stamp":
			return true, wire.Number(d, &h.SentAt)
		case "set":
			return true, h.WorkerSet.decode(d)
		case "saves":
			return true, wire.List(d, &h.Checkpoints, func(s *Checkpoint) error { return s.decode(d) })
		case "spans":
			return true, wire.List(d, &h.Durations, func(s *DurationEstimate) error { return s.decode(d) })
		}
		return h.Report.decodeField(d, key)
	})
}

// decodeField reads one field of a report.
func (r *Report) decodeField(d *jx.Decoder, key string) (known bool, err error) {
	switch key {
	case "rack":
		return true, wire.Text(d, &r.Rack)
	case "kinds":
		return true, wire.List(d, &r.Kinds, func(k *types.ServiceKind) error { return wire.Text(d, k) })
	case "room":
		return true, decodeRoom(d, &r.Capacity)
	case "lacks":
		return true, decodeRoom(d, &r.Shortfall)
	case "leaving":
		return true, wire.Flag(d, &r.Draining)
	case "leave_in_ms":
		return true, wire.Number(d, &r.DepartsInMS)
	case "sound":
		return true, wire.Flag(d, &r.Healthy)
	case "labels":
		return true, wire.List(d, &r.Labels, func(l *string) error { return wire.Text(d, l) })
	case "invoked":
		return true, wire.Flag(d, &r.Invoked)
	}
	return false, nil
}

func (s *WorkerSetID) decode(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "born":
			return true, wire.Count(d, &s.Term)
		case "ver":
			return true, wire.Number(d, &s.Version)
		case "hash":
			return true, wire.Count(d, &s.Hash)
		case "size":
			return true, wire.Number(d, &s.Size)
		}
		return false, nil
	})
}

func (s *Checkpoint) decode(d *jx.Decoder) error {
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

func (s *DurationEstimate) decode(d *jx.Decoder) error {
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
func (s *UpdateStatus) DecodeJSON(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "shard":
			return true, wire.Text(d, &s.Shard)
		case "id":
			return true, wire.Text(d, &s.Instance)
		case "ends":
			return true, wire.List(d, &s.Ends, func(e *state.AttemptEnd) error { return decodeEnd(d, e) })
		}
		return false, nil
	})
}

// DecodeJSON reads the answer to an order.
func (o *RunTaskReply) DecodeJSON(d *jx.Decoder) error {
	return wire.Object(d, func(key string) (bool, error) {
		switch key {
		case "term":
			return true, wire.Count(d, &o.Term)
		case "shard":
			return true, wire.Text(d, &o.Shard)
		case "id":
			return true, wire.Text(d, &o.Instance)
		case "leg":
			return true, decodeAttempt(d, &o.Attempt)
		case "why":
			return true, wire.Text(d, &o.Refusal)
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
