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
		list = append(list, Entry{Fact: json.RawMessage(make([]byte, bytes))})
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
	now := types.Stamp(0)
	for range 10 {
		now = now.Add(time.Second)
		f.take(now, entriesOf(1, 100))
		now = now.Add(Defaults.Least / 2)
		f.answered(now, Defaults.Least)
	}
	is.Equal(f.size(), mostWindow)
	for range 10 {
		now = now.Add(time.Second)
		f.take(now, entriesOf(1, 100))
		now = now.Add(3 * Defaults.Least)
		f.answered(now, Defaults.Least)
	}
	is.Equal(f.size(), leastWindow)
}

// What takes seconds to arrive is not sent again each beat: the wait for an
// answer follows what answers took, counted from the first sending.
func TestAWaitFollowsWhatAnswersTake(t *testing.T) {
	is := is.New(t)
	f := &flow{}
	const took = time.Second
	is.Equal(f.patience(2*Defaults.Beat), 2*Defaults.Beat)
	f.take(types.Stamp(time.Second), entriesOf(1, 100))
	f.lost()
	is.Equal(f.patience(2*Defaults.Beat), 4*Defaults.Beat)
	f.take(types.Stamp(3*time.Second/2), entriesOf(1, 100)) // again
	f.answered(types.Stamp(time.Second).Add(took), Defaults.Least)
	is.Equal(f.patience(2*Defaults.Beat), 2*took)
	for range 100 {
		f.lost()
	}
	is.Equal(f.patience(2*Defaults.Beat), mostWait)
	is.Equal(f.size(), leastWindow)
}

// One record of the file must never be longer than what is read back.
func TestARewrittenLogIsManyRecords(t *testing.T) {
	is := is.New(t)
	c := &Node{pace: Defaults, peers: map[types.ID]*track{}, commit: 100}
	for i, e := range entriesOf(100, bulk/4) {
		e.Index = types.Index(i + 1)
		e.Fact = json.RawMessage(`"` + string(padding(bulk/4)) + `"`)
		c.log = append(c.log, e)
	}
	c.write(Record{Entries: c.log[99:]})
	c.Compact(10, [][]byte{[]byte(`{"state":1}`)})
	instead := c.Instead()
	is.Equal(len(instead), 1) // what the step would have appended
	_, batch, _, whole := c.Out()
	is.True(whole)
	for _, b := range batch {
		is.True(len(b) < 2*bulk)
	}
	again := &Node{peers: map[types.ID]*track{}}
	for _, b := range batch {
		var r Record
		is.NoErr(json.Unmarshal(b, &r))
		if len(again.snap.Parts) < again.snap.Count {
			again.snap.Parts = append(again.snap.Parts, b)
			continue
		}
		again.load(r)
	}
	is.Equal(again.last(), c.last())
	is.Equal(again.snap.Index, types.Index(10))
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
	c := &Node{pace: Defaults, peers: map[types.ID]*track{}}
	c.DiskFailed(types.Now{Mono: 1})
	is.True(!c.stuck()) // nothing waits for the disk
	c.write(Record{Vow: &Vow{Term: 1}})
	is.True(!c.stuck())
	c.DiskFailed(types.Now{Mono: 2})
	is.True(c.stuck())
	c.Synced(types.Now{Mono: 3}, c.wrote)
	is.True(!c.stuck())
}
