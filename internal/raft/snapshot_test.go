package raft

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// TestRewrittenFileHasBoundedRecords: one record of the file must never be longer than what
// is read back.
func TestRewrittenFileHasBoundedRecords(t *testing.T) {
	is := is.New(t)
	const entries, compacted = 100, 10
	n := &Node{timeouts: DefaultTimeouts, log: raftLog{commitIndex: entries}}
	data, err := json.Marshal(string(bytes.Repeat([]byte("x"), maxRecordBytes/4)))
	is.NoErr(err)
	for i := range entries {
		n.log.entries = append(n.log.entries, Entry{Index: types.Index(i + 1), Data: data})
	}
	n.writeRecord(Record{Entries: n.log.entriesFrom(entries)})
	n.Compact(compacted, [][]byte{[]byte(`{"state":1}`)})
	ready := n.Ready()
	is.Equal(len(ready.FallbackRecords), 1) // what the step would have appended
	is.True(ready.ReplaceLog)
	for _, b := range ready.Records {
		is.True(len(b) < 2*maxRecordBytes)
		is.True(json.Valid(b))
	}
	restored := &Node{}
	restored.restore(ready.Records)
	is.Equal(restored.log.lastIndex(), n.log.lastIndex())
	is.Equal(restored.log.snapshot.Index, types.Index(compacted))
	is.Equal(restored.log.snapshot.Parts, n.log.snapshot.Parts)
}
