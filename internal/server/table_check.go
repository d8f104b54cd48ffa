package server

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// tableCheck checks requests against the table last published.
type tableCheck struct {
	table PublishedTable[tableView]
}

// tableView is what is checked of one version of the table. It is immutable.
type tableView struct {
	queues  map[types.QueueName]bool
	tenants *config.Authenticator
}

// publish sets the table for all requests from now on.
func (c *tableCheck) publish(table config.Table, confirmedUntil types.MonoTime) {
	c.table.Publish(table, confirmedUntil, newTableView)
}

func newTableView(table config.Table) tableView {
	view := tableView{queues: map[types.QueueName]bool{}, tenants: table.Authenticator()}
	for _, queue := range table.Queues {
		view.queues[queue.Name] = true
	}
	return view
}

// confirmed returns the table to decide by; false if none is confirmed now.
func (c *tableCheck) confirmed() (tableView, bool) { return c.table.Confirmed() }

// isUnknownQueue reports that a queue is surely not in the table. Without a table that is
// confirmed now, nothing is sure.
func (c *tableCheck) isUnknownQueue(queue types.QueueName) bool {
	table, confirmed := c.confirmed()
	return confirmed && !table.queues[queue]
}
