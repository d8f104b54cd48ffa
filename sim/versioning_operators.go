// Operators of a deployment whose workers are invoked. They number the versions of the
// table themselves, add and remove queues that nobody uses, put tables that are stale or
// invalid, and count what waits at each gateway.

package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

const (
	idlePrefix     = "idle" // of the names of queues that nobody uses
	maxTableQueues = 8      // operators add no queue to a table with so many

	// Idle queues are counted at these times after a change.
	firstCountDelay  = 300 * time.Millisecond
	secondCountDelay = 2100 * time.Millisecond
)

// startVersioningOperators puts new tables now and then: one, or two on the same version.
func (c *Clients) startVersioningOperators() {
	c.afterChangeInterval(func() {
		c.readTable(func(t config.Table) {
			if len(t.Queues) < minQueuesToChange {
				return
			}
			for range 1 + c.world.Random.Intn(2) {
				next := c.nextVersion(t)
				c.spoilVersion(&next)
				c.putTable(next, c.anyGateway(), func(bool) { c.countIdleQueues(t, next) })
			}
		})
		c.startVersioningOperators()
	})
}

// nextVersion returns the next version of a table: another request time-out, and an idle
// queue more or less.
func (c *Clients) nextVersion(t config.Table) config.Table {
	next := t
	next.Queues = slices.Clone(t.Queues)
	next.RequestedVersion = t.Version + 1 + types.Version(c.world.Random.Intn(9))
	next.Queues[c.world.Random.Intn(3)].RequestTimeoutMillis = 1000 + c.world.Random.Intn(4000)
	idle := slices.IndexFunc(next.Queues, isIdleQueue)
	if idle >= 0 && c.world.Random.Intn(2) == 0 {
		next.Queues = slices.Delete(next.Queues, idle, idle+1)
	} else if len(next.Queues) < maxTableQueues {
		next.Queues = append(next.Queues, c.newIdleQueue())
	}
	return next
}

// newIdleQueue returns a queue that no job is submitted to.
func (c *Clients) newIdleQueue() config.Queue {
	c.lastJob++
	return config.Queue{
		Name:              types.QueueName(fmt.Sprintf("%s-%d", idlePrefix, c.lastJob)),
		Weight:            1,
		MaxRunning:        10,
		MaxUnfinished:     10,
		MaxFailures:       1,
		TaskTimeoutMillis: 1000,
		Service:           "work",
	}
}

// isIdleQueue reports whether a queue is one that newIdleQueue made.
func isIdleQueue(q config.Queue) bool { return strings.HasPrefix(string(q.Name), idlePrefix) }

// spoilVersion makes one table in four invalid: its new version is not newer, or it is
// based on a stale version.
func (c *Clients) spoilVersion(t *config.Table) {
	switch c.world.Random.Intn(8) {
	case 0:
		t.RequestedVersion = max(1, t.Version)
	case 1:
		t.Version--
	}
}

// countIdleQueues asks gateways twice after the idle queues of two versions of a table.
func (c *Clients) countIdleQueues(before, after config.Table) {
	var names []types.QueueName
	for _, q := range slices.Concat(before.Queues, after.Queues) {
		if isIdleQueue(q) && !slices.Contains(names, q.Name) {
			names = append(names, q.Name)
		}
	}
	for _, delay := range []time.Duration{firstCountDelay, secondCountDelay} {
		for i, name := range names {
			to := c.alternateGateway(i)
			c.world.After(delay, func() { c.countQueue(name, to) })
		}
	}
}

// countQueue records whether a gateway knows a queue, when it was asked, and which of its
// processes answered.
func (c *Clients) countQueue(name types.QueueName, to types.Addr) {
	began := c.world.Now()
	onAnswer := func(answer wire.Response) {
		event := history.Event{
			Kind:    history.QueueCounted,
			Process: c.world.Nodes[to].ProcessName(),
			Job:     types.JobID(name),
			Text:    fmt.Sprint(began),
		}
		switch {
		case answer.Error == nil:
			event.Status = history.QueueExists
		case answer.Error.Kind != apierror.NoSuchQueue:
			return
		}
		c.world.Record(event)
	}
	c.request(to, wire.VerbCountQueue, string(name), nil, onAnswer, func() {})
}
