package checker

import (
	"slices"
	"sort"
	"strconv"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// activeTable is a table that was submitted and may be in force.
type activeTable struct {
	config.Table
	base           types.Version // the version that it replaces
	submittedAt    int64         // the first time
	acknowledgedAt int64         // 0 if it never was
	read           bool          // by anybody
	rejected       bool          // to anybody
}

// activeTables returns the tables of a history that may ever be in force: not those that
// were refused and never seen in force, nor those that lost to another on their base.
func activeTables(h *history.History) []activeTable {
	submitted := submittedTables(h)
	var active []activeTable
	for _, t := range submitted {
		inForce := t.acknowledgedAt > 0 || t.read
		if (inForce || !t.rejected) && !lostToConflictingTable(submitted, t) {
			active = append(active, t)
		}
	}
	return active
}

// submittedTables returns all tables that operators submitted, with what became of them.
func submittedTables(h *history.History) []activeTable {
	var list []activeTable
	find := func(t config.Table) *activeTable {
		i := slices.IndexFunc(list, func(a activeTable) bool { return a.Version == t.Version && a.SameContent(t) })
		if i < 0 {
			return &activeTable{}
		}
		return &list[i]
	}
	for _, event := range h.Events {
		switch event.Kind {
		case history.TableSubmitted:
			table := event.Table.Accepted()
			if find(table).submittedAt == 0 {
				list = append(list, activeTable{Table: table, base: event.Table.Version, submittedAt: event.At})
			}
		case history.TableAcknowledged:
			if t := find(*event.Table); t.acknowledgedAt == 0 {
				t.acknowledgedAt = event.At
			}
		case history.TableRead:
			find(*event.Table).read = true
		case history.TableRejected:
			find(event.Table.Accepted()).rejected = true
		}
	}
	return list
}

// lostToConflictingTable reports whether another table on the same base came into force.
func lostToConflictingTable(list []activeTable, t activeTable) bool {
	return slices.ContainsFunc(list, func(o activeTable) bool {
		other := o.Version != t.Version || !o.SameContent(t.Table)
		return o.base == t.base && other && (o.acknowledgedAt > 0 || o.read)
	})
}

// minVersion returns the oldest version that may still be followed at a time: every
// older one was replaced by one acknowledged longer ago than the bound.
func (c *checker) minVersion(at int64) types.Version {
	oldest := types.Version(0)
	for _, t := range c.tables {
		if t.acknowledgedAt > 0 && t.acknowledgedAt+int64(c.bounds.TableLag) < at {
			oldest = max(oldest, t.Version)
		}
	}
	return oldest
}

// queuesInForce returns the versions of a queue that may be followed at some time
// between two.
func (c *checker) queuesInForce(name types.QueueName, from, to int64) []config.Queue {
	oldest := c.minVersion(from)
	var list []config.Queue
	for _, t := range c.tables {
		if queue, ok := t.FindQueue(name); ok && t.submittedAt <= to && t.Version >= oldest {
			list = append(list, queue)
		}
	}
	return list
}

// checkTables judges that a version has one content, that what is read was submitted and
// is no older than what was acknowledged before the read began, and that a refused table
// is in no version.
func (c *checker) checkTables() {
	contents := c.checkContents()
	c.checkReads()
	c.checkRejectedTables(contents)
}

// checkContents judges that each version has one content, and returns them.
func (c *checker) checkContents() map[types.Version]config.Table {
	contents := map[types.Version]config.Table{}
	for _, event := range c.history.Events {
		if event.Kind != history.TableAcknowledged && event.Kind != history.TableRead {
			continue
		}
		table := *event.Table
		if known, ok := contents[table.Version]; ok && !known.SameContent(table) {
			c.recordViolation("table", event.At, "version %d has two different contents", table.Version)
		}
		contents[table.Version] = table
	}
	return contents
}

// checkReads judges every table that was read by what was submitted and acknowledged
// before.
func (c *checker) checkReads() {
	var submitted, acknowledged []history.Event
	for _, event := range c.history.Events {
		switch event.Kind {
		case history.TableSubmitted:
			submitted = append(submitted, event)
		case history.TableAcknowledged:
			acknowledged = append(acknowledged, event)
		case history.TableRead:
			c.checkReadVersion(event, acknowledged)
			c.checkReadContent(event, submitted)
		}
	}
}

func (c *checker) checkReadVersion(read history.Event, acknowledged []history.Event) {
	began := parseNanos(read.Text)
	before := sort.Search(len(acknowledged), func(i int) bool { return acknowledged[i].At >= began })
	for _, a := range acknowledged[:before] {
		if read.Table.Version < a.Table.Version {
			c.recordViolation("table", read.At, "version %d was read although %d was acknowledged at %.3f s",
				read.Table.Version, a.Table.Version, seconds(a.At))
			return
		}
	}
}

func (c *checker) checkReadContent(read history.Event, submitted []history.Event) {
	known := read.Table.Version == 0 || slices.ContainsFunc(submitted, func(event history.Event) bool {
		return event.Table.Accepted().Version == read.Table.Version && event.Table.SameContent(*read.Table)
	})
	if !known {
		c.recordViolation("table", read.At, "version %d was submitted by nobody", read.Table.Version)
	}
}

// checkRejectedTables judges that a refused table came into force by no version, unless it was
// submitted twice.
func (c *checker) checkRejectedTables(contents map[types.Version]config.Table) {
	for _, event := range c.history.Events {
		if event.Kind != history.TableRejected {
			continue
		}
		if first, ok := contents[0]; ok && len(first.Queues) > 0 {
			c.recordViolation("table", event.At, "version 0 is not empty")
		}
		inForce, ok := contents[event.Table.Accepted().Version]
		if ok && inForce.SameContent(*event.Table) && c.submissions(*event.Table) < 2 {
			c.recordViolation("table", event.At, "a refused table is version %d", inForce.Version)
		}
	}
}

// submissions counts how often a table was submitted.
func (c *checker) submissions(t config.Table) int {
	count := 0
	for _, event := range c.history.Events {
		if event.Kind == history.TableSubmitted && event.Table.Version == t.Version && event.Table.SameContent(t) {
			count++
		}
	}
	return count
}

// nanos reads the time that an event carries as its text; one without a time has 0.
func parseNanos(text string) int64 {
	at, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return at
}
