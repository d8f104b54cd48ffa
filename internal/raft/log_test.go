package raft

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// newTestLog is a log of entries of some terms, after a snapshot that ends with entry 10 of
// term 2.
func newTestLog(terms ...types.Term) *raftLog {
	l := &raftLog{snapshot: Snapshot{Index: 10, Term: 2, Config: Configuration{{ID: "a"}}}, commitIndex: 10}
	for i, term := range terms {
		l.entries = append(l.entries, Entry{Term: term, Index: types.Index(11 + i)})
	}
	l.recomputeConfiguration()
	return l
}

func TestLogTerm(t *testing.T) {
	l := newTestLog(2, 3)
	for _, c := range []struct {
		name  string
		index types.Index
		want  types.Term
		ok    bool
	}{
		{"within the snapshot", 9, 0, false},
		{"last of the snapshot", 10, 2, true},
		{"in the log", 12, 3, true},
		{"after the log", 13, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			term, ok := l.term(c.index)
			is.Equal(term, c.want)
			is.Equal(ok, c.ok)
		})
	}
}

func TestLogMatches(t *testing.T) {
	l := newTestLog(2, 3)
	for _, c := range []struct {
		name  string
		index types.Index
		term  types.Term
		want  bool
	}{
		{"within the snapshot, which is committed", 7, 1, true},
		{"last of the snapshot", 10, 2, true},
		{"same entry", 12, 3, true},
		{"entry of another term", 12, 2, false},
		{"missing entry", 13, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(l.matches(c.index, c.term), c.want)
		})
	}
}

func TestLogIsUpToDate(t *testing.T) {
	l := newTestLog(2, 3)
	for _, c := range []struct {
		name  string
		term  types.Term
		index types.Index
		want  bool
	}{
		{"same end", 3, 12, true},
		{"longer, same term", 3, 13, true},
		{"shorter, same term", 3, 11, false},
		{"shorter, later term", 4, 1, true},
		{"longer, earlier term", 2, 100, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(l.isUpToDate(c.term, c.index), c.want)
		})
	}
}

func TestLogFirstConflict(t *testing.T) {
	l := newTestLog(2, 3)
	for _, c := range []struct {
		name    string
		entries []Entry
		want    int
		ok      bool
	}{
		{"none", nil, 0, false},
		{"all there", []Entry{{Index: 11, Term: 2}, {Index: 12, Term: 3}}, 0, false},
		{"another term", []Entry{{Index: 11, Term: 2}, {Index: 12, Term: 4}}, 1, true},
		{"beyond the end", []Entry{{Index: 12, Term: 3}, {Index: 13, Term: 3}}, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			i, ok := l.firstConflict(c.entries)
			is.Equal(i, c.want)
			is.Equal(ok, c.ok)
		})
	}
}

// TestLogConfigurationFollowsEntries: the latest configuration in the log is in force, and
// the one before it again when its entry is replaced (section 6 of the paper).
func TestLogConfigurationFollowsEntries(t *testing.T) {
	is := is.New(t)
	l := newTestLog(2)
	first, second := Configuration{{ID: "b"}}, Configuration{{ID: "c"}}
	l.truncateAndAppend([]Entry{{Index: 12, Term: 2, Config: first}, {Index: 13, Term: 2, Config: second}})
	is.Equal(l.config, second)
	is.Equal(l.configIndex, types.Index(13))
	is.Equal(l.configurationAt(12), first)
	l.truncateAndAppend([]Entry{{Index: 13, Term: 3}})
	is.Equal(l.config, first)
	is.Equal(l.configIndex, types.Index(12))
	l.truncateAndAppend([]Entry{{Index: 11, Term: 3}})
	is.Equal(l.config, l.snapshot.Config)
	is.Equal(l.configIndex, types.Index(10))
	is.Equal(l.lastIndex(), types.Index(11))
}

func TestLogIgnoresEntriesWithinSnapshot(t *testing.T) {
	is := is.New(t)
	l := newTestLog(2, 3)
	l.truncateAndAppend([]Entry{{Index: 10, Term: 9}, {Index: 11, Term: 9}})
	is.Equal(l.lastIndex(), types.Index(12))
	is.Equal(l.lastTerm(), types.Term(3))
}

// TestLogSyncedIndex: an entry counts as synced once the batch that has it is, and no longer
// when it is about to be replaced, also if its batch is synced after that.
func TestLogSyncedIndex(t *testing.T) {
	is := is.New(t)
	l := newTestLog(2, 2)
	l.awaitSync(1)
	l.truncateAndAppend([]Entry{{Index: 13, Term: 2}})
	l.awaitSync(2)
	l.onSynced(1)
	is.Equal(l.syncedIndex, types.Index(12))
	l.markUnsyncedFrom(12)
	l.truncateAndAppend([]Entry{{Index: 12, Term: 3}})
	l.awaitSync(3)
	is.Equal(l.syncedIndex, types.Index(11))
	l.onSynced(2)
	is.Equal(l.syncedIndex, types.Index(11))
	l.onSynced(3)
	is.Equal(l.syncedIndex, types.Index(12))
}

func TestLogCompact(t *testing.T) {
	is := is.New(t)
	l := newTestLog(2, 3)
	config := Configuration{{ID: "b"}}
	l.truncateAndAppend([]Entry{
		{Index: 13, Term: 3, Config: config},
		{Index: 14, Term: 3, Data: json.RawMessage(`"data"`)},
	})
	parts := [][]byte{[]byte(`1`), []byte(`2`)}
	l.compact(13, parts)
	is.Equal(l.snapshot, Snapshot{Index: 13, Term: 3, Config: config, PartCount: 2, Parts: parts})
	is.Equal(l.lastIndex(), types.Index(14))
	is.Equal(l.bytes, len(`"data"`))
	is.Equal(l.config, config)
}
