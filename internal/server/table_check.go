package server

import (
	"sync/atomic"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// tableCheck checks requests against the table last published. The event loop publishes
// it; HTTP handlers read it at the same time.
type tableCheck struct {
	clock     func() types.MonoTime // MonotonicNow if nil
	published atomic.Pointer[publishedTable]
}

// publishedTable is what requests are checked against. The end of its confirmation is
// compared with the clock at each request, so that a machine that takes no step for long
// can't keep an old table in use.
type publishedTable struct {
	version        types.Version
	confirmedUntil types.MonoTime
	queues         map[types.QueueName]bool // never changed once published
}

// publish sets the table for all requests from now on.
func (c *tableCheck) publish(table config.Table, confirmedUntil types.MonoTime) {
	last := c.published.Load()
	if last != nil && last.version == table.Version {
		if last.confirmedUntil != confirmedUntil {
			c.published.Store(&publishedTable{last.version, confirmedUntil, last.queues})
		}
		return
	}
	queues := map[types.QueueName]bool{}
	for _, queue := range table.Queues {
		queues[queue.Name] = true
	}
	c.published.Store(&publishedTable{table.Version, confirmedUntil, queues})
}

// queueUnknown reports that a queue is surely not in the table. Without a table that is
// confirmed now, nothing is sure.
func (c *tableCheck) queueUnknown(queue types.QueueName) bool {
	table := c.published.Load()
	return table != nil && c.now() < table.confirmedUntil && !table.queues[queue]
}

func (c *tableCheck) now() types.MonoTime {
	if c.clock == nil {
		return MonotonicNow()
	}
	return c.clock()
}
