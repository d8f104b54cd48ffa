package server

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// tableCheck checks requests against the table last published.
type tableCheck struct {
	table PublishedTable[map[types.QueueName]bool] // the names of the table's queues
}

// publish sets the table for all requests from now on.
func (c *tableCheck) publish(table config.Table, confirmedUntil types.MonoTime) {
	c.table.Publish(table, confirmedUntil, queueNames)
}

func queueNames(table config.Table) map[types.QueueName]bool {
	names := map[types.QueueName]bool{}
	for _, queue := range table.Queues {
		names[queue.Name] = true
	}
	return names
}

// queueUnknown reports that a queue is surely not in the table. Without a table that is
// confirmed now, nothing is sure.
func (c *tableCheck) queueUnknown(queue types.QueueName) bool {
	queues, confirmed := c.table.Confirmed()
	return confirmed && !queues[queue]
}
