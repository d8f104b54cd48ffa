package protocol

// Messages that a leader receives hundreds of times a second implement wire.BodyDecoder,
// which is faster than encoding/json. The result is the same (decode_test.go).

import (
	"github.com/go-faster/jx"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// DecodeJSON reads h from its JSON.
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
			return true, wire.DecodeList(d, &h.Checkpoints, func(c *Checkpoint) error { return c.decode(d) })
		case "spans":
			return true, wire.DecodeList(d, &h.Durations, func(e *DurationEstimate) error { return e.decode(d) })
		}
		return h.WorkerReport.decodeField(d, key)
	})
}

// decodeField reads the value of a key of the report, and returns false for an unknown key.
func (r *WorkerReport) decodeField(d *jx.Decoder, key string) (known bool, err error) {
	switch key {
	case "rack":
		return true, wire.DecodeString(d, &r.Rack)
	case "kinds":
		return true, decodeStrings(d, &r.Kinds)
	case "room":
		return true, decodeResources(d, &r.Capacity)
	case "lacks":
		return true, decodeResources(d, &r.Shortfall)
	case "leaving":
		return true, wire.DecodeBool(d, &r.Departing)
	case "leave_in_ms":
		return true, wire.DecodeInt(d, &r.DepartsInMS)
	case "sound":
		return true, wire.DecodeBool(d, &r.Healthy)
	case "labels":
		return true, decodeStrings(d, &r.Labels)
	case "invoked":
		return true, wire.DecodeBool(d, &r.CalledByAgent)
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

// DecodeJSON reads r from its JSON.
func (r *StatusReport) DecodeJSON(d *jx.Decoder) error {
	return wire.DecodeObject(d, func(key string) (bool, error) {
		switch key {
		case "shard":
			return true, wire.DecodeString(d, &r.Shard)
		case "id":
			return true, wire.DecodeString(d, &r.Instance)
		case "ends":
			return true, wire.DecodeList(d, &r.Ends, func(e *state.AttemptEnd) error { return decodeEnd(d, e) })
		case "complete":
			return true, wire.DecodeBool(d, &r.Complete)
		}
		return false, nil
	})
}

// DecodeJSON reads r from its JSON.
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
			return true, wire.DecodeString(d, &r.Rejection)
		}
		return false, nil
	})
}

func decodeStrings[T ~string](d *jx.Decoder, list *[]T) error {
	return wire.DecodeList(d, list, func(text *T) error { return wire.DecodeString(d, text) })
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
			return true, wire.DecodeInt(d, &a.TaskNumber)
		case "leg":
			return true, wire.DecodeInt(d, &a.Attempt)
		}
		return false, nil
	})
}

func decodeResources(d *jx.Decoder, r *types.Resources) error {
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
