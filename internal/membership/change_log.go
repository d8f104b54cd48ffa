package membership

import (
	"slices"
	"sort"

	"coppercourse/internal/types"
)

// changeLog lists the members that changed, in order. Only the last change of each member
// counts, which its entry knows (entry.lastChange).
type changeLog struct {
	last    uint64 // number of the last change
	changes []change
}

// change says that a member changed.
type change struct {
	number uint64
	addr   types.Addr
}

// add adds a change of a member, and compacts the log once it has grown to twice the
// members.
func (l *changeLog) add(e *entry, table *memberTable) {
	l.last++
	e.lastChange = l.last
	l.changes = append(l.changes, change{l.last, e.info.Addr})
	if len(l.changes) > 2*len(table.entries)+changesPerHello {
		l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return table.currentEntry(c) == nil })
	}
}

// after returns the changes after a number.
func (l *changeLog) after(number uint64) []change {
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].number > number })
	return l.changes[first:]
}
