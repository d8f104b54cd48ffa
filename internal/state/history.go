package state

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// HistoryLimit is how many changes are remembered: weeks of a cluster that is changed
// hundreds of times a day, in 128 KiB.
const HistoryLimit = 8192

// changeBytes is the size of one change in a snapshot.
const changeBytes = 16

// acceptedChange is one table that was accepted: its version and a digest of its content.
type acceptedChange struct {
	version types.Version
	digest  uint64
}

// History lists the tables that were accepted, oldest first. A table that is sent again
// is recognized by it, and a table is rejected as stale only where the history proves that
// it was not accepted.
//
// Versions rise strictly, so every change that was accepted with a version above the
// horizon is in the list; of those up to the horizon nothing is known any more.
type History struct {
	trimmedThrough types.Version
	changes        []acceptedChange
}

// changeOf returns the change that accepting a table makes.
func changeOf(table config.Table) acceptedChange {
	digest, _ := strconv.ParseUint(table.ContentHash(), 16, 64) // 16 hexadecimal digits
	return acceptedChange{version: table.Accepted().Version, digest: digest}
}

// add appends the change that was just accepted.
func (h *History) add(change acceptedChange) {
	h.changes = append(h.changes, change)
	if excess := len(h.changes) - HistoryLimit; excess > 0 {
		h.trimmedThrough = h.changes[excess-1].version
		h.changes = h.changes[excess:]
	}
}

// contains reports whether this very change is remembered.
func (h *History) contains(change acceptedChange) bool {
	i := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].version >= change.version })
	return i < len(h.changes) && h.changes[i] == change
}

// mayHaveTrimmed reports whether a change of this version may have been accepted so
// long ago that nothing is remembered of it.
func (h *History) mayHaveTrimmed(version types.Version) bool { return version <= h.trimmedThrough }

// historyJSON is the form of the history in a snapshot. Changes is the base64 of all
// changes, each as two big-endian numbers of 8 bytes: version and digest.
type historyJSON struct {
	TrimmedThrough types.Version `json:"horizon,omitempty"`
	Changes        string        `json:"changes,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (h History) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(h.changes)*changeBytes)
	for _, change := range h.changes {
		packed = binary.BigEndian.AppendUint64(packed, uint64(change.version))
		packed = binary.BigEndian.AppendUint64(packed, change.digest)
	}
	return json.Marshal(historyJSON{h.trimmedThrough, base64.RawStdEncoding.EncodeToString(packed)})
}

// UnmarshalJSON reads what MarshalJSON wrote, or the list that earlier releases wrote.
func (h *History) UnmarshalJSON(b []byte) error {
	*h = History{}
	if len(b) > 0 && b[0] == '[' {
		return h.readLegacyList(b)
	}
	var encoded historyJSON
	if err := json.Unmarshal(b, &encoded); err != nil {
		return fmt.Errorf("reading the history of tables: %w", err)
	}
	packed, err := base64.RawStdEncoding.DecodeString(encoded.Changes)
	if err != nil {
		return fmt.Errorf("reading the changes of the history of tables: %w", err)
	}
	h.trimmedThrough = encoded.TrimmedThrough
	for ; len(packed) >= changeBytes; packed = packed[changeBytes:] {
		h.changes = append(h.changes, acceptedChange{
			version: types.Version(binary.BigEndian.Uint64(packed)),
			digest:  binary.BigEndian.Uint64(packed[8:]),
		})
	}
	return nil
}

// legacyHistoryLimit is how many changes earlier releases remembered.
const legacyHistoryLimit = 256

// readLegacyList reads the list of earlier releases. A full list has forgotten what was before
// its first change.
func (h *History) readLegacyList(b []byte) error {
	var list []struct {
		Version types.Version `json:"edition"`
		Hash    string        `json:"hash"`
	}
	if err := json.Unmarshal(b, &list); err != nil {
		return fmt.Errorf("reading the list of changes of an earlier release: %w", err)
	}
	for _, change := range list {
		digest, err := strconv.ParseUint(change.Hash, 16, 64)
		if err != nil {
			return fmt.Errorf("reading the hash of table version %d: %w", change.Version, err)
		}
		h.changes = append(h.changes, acceptedChange{change.Version, digest})
	}
	if len(list) >= legacyHistoryLimit {
		h.trimmedThrough = list[0].Version - 1
	}
	return nil
}
