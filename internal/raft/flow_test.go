package raft

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func entriesOf(count, bytes int) (list []Entry) {
	for range count {
		list = append(list, Entry{Data: json.RawMessage(make([]byte, bytes))})
	}
	return list
}

func TestAWindowTakesAtLeastOneEntry(t *testing.T) {
	is := is.New(t)
	f := &flow{}
	is.Equal(len(f.take(1, entriesOf(10, mostWindow))), 1)
	is.True(f.full())
	is.Equal(within(entriesOf(10, 100), 350), 3)
	is.Equal(within(entriesOf(10, 100), 1000), 10)
	is.Equal(within(entriesOf(10, 100), 50), 1)
}

func TestAWindowGrowsWhileAnswersAreSwift(t *testing.T) {
	is := is.New(t)
	f := &flow{}
	now := types.MonoTime(0)
	for range 10 {
		now = now.Add(time.Second)
		f.take(now, entriesOf(1, 100))
		now = now.Add(Defaults.ElectionMin / 2)
		f.answered(now, Defaults.ElectionMin)
	}
	is.Equal(f.size(), mostWindow)
	for range 10 {
		now = now.Add(time.Second)
		f.take(now, entriesOf(1, 100))
		now = now.Add(3 * Defaults.ElectionMin)
		f.answered(now, Defaults.ElectionMin)
	}
	is.Equal(f.size(), leastWindow)
}

// What takes seconds to arrive is not sent again each beat: the wait for an
// answer follows what answers took, counted from the first sending.
func TestAWaitFollowsWhatAnswersTake(t *testing.T) {
	is := is.New(t)
	f := &flow{}
	const took = time.Second
	is.Equal(f.patience(2*Defaults.Heartbeat), 2*Defaults.Heartbeat)
	f.take(types.MonoTime(time.Second), entriesOf(1, 100))
	f.lost()
	is.Equal(f.patience(2*Defaults.Heartbeat), 4*Defaults.Heartbeat)
	f.take(types.MonoTime(3*time.Second/2), entriesOf(1, 100)) // again
	f.answered(types.MonoTime(time.Second).Add(took), Defaults.ElectionMin)
	is.Equal(f.patience(2*Defaults.Heartbeat), 2*took)
	for range 100 {
		f.lost()
	}
	is.Equal(f.patience(2*Defaults.Heartbeat), mostWait)
	is.Equal(f.size(), leastWindow)
}

// One record of the file must never be longer than what is read back.
func TestARewrittenLogIsManyRecords(t *testing.T) {
	is := is.New(t)
	node := &Node{timeouts: Defaults, progress: map[types.ID]*progress{}, commitIndex: 100}
	for i, e := range entriesOf(100, bulk/4) {
		e.Index = types.Index(i + 1)
		e.Data = json.RawMessage(`"` + string(padding(bulk/4)) + `"`)
		node.log = append(node.log, e)
	}
	node.write(Record{Entries: node.log[99:]})
	node.Compact(10, [][]byte{[]byte(`{"state":1}`)})
	instead := node.Instead()
	is.Equal(len(instead), 1) // what the step would have appended
	_, batch, _, whole := node.Out()
	is.True(whole)
	for _, b := range batch {
		is.True(len(b) < 2*bulk)
	}
	again := &Node{progress: map[types.ID]*progress{}}
	for _, b := range batch {
		var r Record
		is.NoErr(json.Unmarshal(b, &r))
		if len(again.snapshot.Parts) < again.snapshot.Count {
			again.snapshot.Parts = append(again.snapshot.Parts, b)
			continue
		}
		again.load(r)
	}
	is.Equal(again.lastIndex(), node.lastIndex())
	is.Equal(again.snapshot.Index, types.Index(10))
}

func padding(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'x'
	}
	return b
}

func TestAMemberIsStuckAsSoonAsItsDiskRefuses(t *testing.T) {
	is := is.New(t)
	node := &Node{timeouts: Defaults, progress: map[types.ID]*progress{}}
	node.DiskFailed(types.Now{Mono: 1})
	is.True(!node.diskStalled()) // nothing waits for the disk
	node.write(Record{Vote: &VoteRecord{Term: 1}})
	is.True(!node.diskStalled())
	node.DiskFailed(types.Now{Mono: 2})
	is.True(node.diskStalled())
	node.Synced(types.Now{Mono: 3}, node.writtenBatch)
	is.True(!node.diskStalled())
}
