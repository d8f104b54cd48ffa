package state

// The history of configurations: which version each change that was taken got,
// and a digest of what it said. An order that comes again is known by it, and an
// order is refused only where it proves that the order was not taken.

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"
	"strconv"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// HistoryLimit is how many changes are remembered: weeks of a cluster that is
// changed hundreds of times a day, in 128 KiB.
const HistoryLimit = 8192

// entrySize is what one change takes in a snapshot.
const entrySize = 16

// acceptedChange is one configuration that was taken.
type acceptedChange struct {
	version types.Version
	digest  uint64
}

// History lists the changes that were taken, oldest first. Versions rise
// strictly, so every change that was taken with a version above the horizon is
// in it; of those up to the horizon nothing is known any more.
type History struct {
	horizon types.Version
	changes []acceptedChange
}

// changeOf is what remains of a configuration once it is taken.
func changeOf(t config.Table) acceptedChange {
	digest, _ := strconv.ParseUint(t.ContentHash(), 16, 64)
	return acceptedChange{t.Accepted().Version, digest}
}

// add remembers the change that was just taken; it is the newest.
func (h *History) add(c acceptedChange) {
	h.changes = append(h.changes, c)
	if over := len(h.changes) - HistoryLimit; over > 0 {
		h.horizon = h.changes[over-1].version
		h.changes = h.changes[over:]
	}
}

// contains tells whether this very change is remembered as taken.
func (h *History) contains(c acceptedChange) bool {
	i := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].version >= c.version })
	return i < len(h.changes) && h.changes[i] == c
}

// mayHaveForgotten tells whether a change of this version may have been taken so long
// ago that nothing is remembered of it.
func (h *History) mayHaveForgotten(v types.Version) bool { return v <= h.horizon }

// historyJSON is how a snapshot holds the history: 16 bytes a change.
type historyJSON struct {
	Horizon types.Version `json:"horizon,omitempty"`
	Changes string        `json:"changes,omitempty"`
}

// MarshalJSON writes the changes packed.
func (h History) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(h.changes)*entrySize)
	for _, c := range h.changes {
		packed = binary.BigEndian.AppendUint64(packed, uint64(c.version))
		packed = binary.BigEndian.AppendUint64(packed, c.digest)
	}
	return json.Marshal(historyJSON{h.horizon, base64.RawStdEncoding.EncodeToString(packed)})
}

// UnmarshalJSON reads what MarshalJSON wrote, or the list of earlier releases.
func (h *History) UnmarshalJSON(b []byte) error {
	*h = History{}
	if len(b) > 0 && b[0] == '[' {
		return h.readList(b)
	}
	var read historyJSON
	if err := json.Unmarshal(b, &read); err != nil {
		return err
	}
	packed, err := base64.RawStdEncoding.DecodeString(read.Changes)
	if err != nil {
		return err
	}
	h.horizon = read.Horizon
	for ; len(packed) >= entrySize; packed = packed[entrySize:] {
		version := types.Version(binary.BigEndian.Uint64(packed))
		h.changes = append(h.changes, acceptedChange{version, binary.BigEndian.Uint64(packed[8:])})
	}
	return nil
}

// listLimit is how many changes earlier releases remembered.
const listLimit = 256

// readList reads the list of earlier releases. One that is full has forgotten
// what was before it.
func (h *History) readList(b []byte) error {
	var list []struct {
		Version types.Version `json:"edition"`
		Hash    string        `json:"hash"`
	}
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}
	for _, x := range list {
		digest, err := strconv.ParseUint(x.Hash, 16, 64)
		if err != nil {
			return err
		}
		h.changes = append(h.changes, acceptedChange{x.Version, digest})
	}
	if len(list) >= listLimit {
		h.horizon = list[0].Version - 1
	}
	return nil
}
