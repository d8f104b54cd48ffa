package raft

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func newEntries(count, bytes int) (list []Entry) {
	for range count {
		list = append(list, Entry{Data: json.RawMessage(make([]byte, bytes))})
	}
	return list
}

func TestSendWindowTakesAtLeastOneEntry(t *testing.T) {
	is := is.New(t)
	f := &sendWindow{}
	is.Equal(len(f.takeEntries(1, newEntries(10, maxWindowBytes))), 1)
	is.True(f.full())
	is.Equal(entriesWithin(newEntries(10, 100), 350), 3)
	is.Equal(entriesWithin(newEntries(10, 100), 1000), 10)
	is.Equal(entriesWithin(newEntries(10, 100), 50), 1)
}

func TestSendWindowAdaptsToAckDelay(t *testing.T) {
	is := is.New(t)
	f := &sendWindow{}
	now := types.MonoTime(0)
	for range 10 {
		now = now.Add(time.Second)
		f.takeEntries(now, newEntries(1, 100))
		now = now.Add(DefaultTimeouts.MinElectionTimeout / 2)
		f.onAcknowledged(now, DefaultTimeouts.MinElectionTimeout)
	}
	is.Equal(f.limit(), maxWindowBytes)
	for range 10 {
		now = now.Add(time.Second)
		f.takeEntries(now, newEntries(1, 100))
		now = now.Add(3 * DefaultTimeouts.MinElectionTimeout)
		f.onAcknowledged(now, DefaultTimeouts.MinElectionTimeout)
	}
	is.Equal(f.limit(), minWindowBytes)
}

// What takes seconds to arrive is not sent again each beat: the wait for an
// answer follows what answers took, counted from the first sending.
func TestRetryTimeoutFollowsAckDelay(t *testing.T) {
	is := is.New(t)
	f := &sendWindow{}
	const took = time.Second
	is.Equal(f.retryTimeout(2*DefaultTimeouts.HeartbeatInterval), 2*DefaultTimeouts.HeartbeatInterval)
	f.takeEntries(types.MonoTime(time.Second), newEntries(1, 100))
	f.onTimeout()
	is.Equal(f.retryTimeout(2*DefaultTimeouts.HeartbeatInterval), 4*DefaultTimeouts.HeartbeatInterval)
	f.takeEntries(types.MonoTime(3*time.Second/2), newEntries(1, 100)) // again
	f.onAcknowledged(types.MonoTime(time.Second).Add(took), DefaultTimeouts.MinElectionTimeout)
	is.Equal(f.retryTimeout(2*DefaultTimeouts.HeartbeatInterval), 2*took)
	for range 100 {
		f.onTimeout()
	}
	is.Equal(f.retryTimeout(2*DefaultTimeouts.HeartbeatInterval), maxRetryTimeout)
	is.Equal(f.limit(), minWindowBytes)
}

// One record of the file must never be longer than what is read back.
func TestRewrittenFileHasBoundedRecords(t *testing.T) {
	is := is.New(t)
	node := &Node{timeouts: DefaultTimeouts, log: raftLog{commitIndex: 100}}
	for i, e := range newEntries(100, maxRecordBytes/4) {
		e.Index = types.Index(i + 1)
		e.Data = json.RawMessage(`"` + string(paddingBytes(maxRecordBytes/4)) + `"`)
		node.log.entries = append(node.log.entries, e)
	}
	node.writeRecord(Record{Entries: node.log.entries[99:]})
	node.Compact(10, [][]byte{[]byte(`{"state":1}`)})
	ready := node.Ready()
	is.Equal(len(ready.FallbackRecords), 1) // what the step would have appended
	is.True(ready.ReplaceLog)
	for _, b := range ready.Records {
		is.True(len(b) < 2*maxRecordBytes)
	}
	again := &Node{}
	for _, b := range ready.Records {
		var r Record
		is.NoErr(json.Unmarshal(b, &r))
		if len(again.log.snapshot.Parts) < again.log.snapshot.PartCount {
			again.log.snapshot.Parts = append(again.log.snapshot.Parts, b)
			continue
		}
		again.restoreRecord(r)
	}
	is.Equal(again.log.lastIndex(), node.log.lastIndex())
	is.Equal(again.log.snapshot.Index, types.Index(10))
}

func paddingBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'x'
	}
	return b
}

func TestDiskFailureCountsAsStall(t *testing.T) {
	is := is.New(t)
	node := &Node{timeouts: DefaultTimeouts}
	node.DiskFailed(types.Now{Mono: 1})
	is.True(!node.DiskStalled()) // nothing waits for the disk
	node.writeRecord(Record{HardState: &HardState{Term: 1}})
	is.True(!node.DiskStalled())
	node.DiskFailed(types.Now{Mono: 2})
	is.True(node.DiskStalled())
	node.Synced(types.Now{Mono: 3}, node.disk.writtenBatch)
	is.True(!node.DiskStalled())
}
