// Operators of a deployment whose workers are invoked: they number the versions of the
// table themselves, add and remove queues that nobody uses, send what is stale or
// invalid, at times two at once, and count what waits at each gateway.

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

// nextVersion makes the next version of a table: time-outs, and a queue more or less.
func (c *Clients) nextVersion(t config.Table) config.Table {
	n := t
	n.Queues = slices.Clone(t.Queues)
	n.RequestedVersion = t.Version + 1 + types.Version(c.world.Random.Intn(9))
	n.Queues[c.world.Random.Intn(3)].RequestTimeoutMillis = 1000 + c.world.Random.Intn(4000)
	if i := slices.IndexFunc(n.Queues, isIdleQueue); i >= 0 && c.world.Random.Intn(2) == 0 {
		n.Queues = slices.Delete(n.Queues, i, i+1)
	} else if len(n.Queues) < 8 {
		c.lastJob++
		n.Queues = append(n.Queues, config.Queue{
			Name:              types.QueueName(fmt.Sprint("idle-", c.lastJob)),
			Weight:            1,
			MaxRunning:        10,
			MaxUnfinished:     10,
			MaxFailures:       1,
			TaskTimeoutMillis: 1000,
			Service:           "work",
		})
	}
	return n
}

func isIdleQueue(r config.Queue) bool { return strings.HasPrefix(string(r.Name), "idle") }

// startVersioningOperators puts new tables now and then.
func (c *Clients) startVersioningOperators() {
	c.world.After(time.Duration(2+c.world.Random.Intn(4))*time.Second, func() {
		if !c.open || !c.RacingOperators {
			return
		}
		c.readTable(func(t config.Table) {
			if len(t.Queues) < 3 {
				return
			}
			for range 1 + c.world.Random.Intn(2) {
				n := c.nextVersion(t)
				switch c.world.Random.Intn(8) {
				case 0:
					n.RequestedVersion = max(1, t.Version)
				case 1:
					n.Version--
				}
				c.putTable(n, c.anyGateway(), 0, func(bool) { c.countQueues(t, n) })
			}
		})
		c.startVersioningOperators()
	})
}

// countQueues asks each gateway after queues that have just come or gone.
func (c *Clients) countQueues(t, n config.Table) {
	var names []types.QueueName
	for _, r := range slices.Concat(t.Queues, n.Queues) {
		if isIdleQueue(r) && !slices.Contains(names, r.Name) {
			names = append(names, r.Name)
		}
	}
	for _, at := range []time.Duration{300 * time.Millisecond, 2100 * time.Millisecond} {
		for i, q := range names {
			g := c.gateways[(i+c.world.Random.Intn(2))%len(c.gateways)]
			c.world.After(at, func() { c.countQueue(q, g) })
		}
	}
}

// countQueue writes down whether a gateway knows a queue: when it was asked, and who
// answered.
func (c *Clients) countQueue(q types.QueueName, g types.Addr) {
	began := c.world.Now()
	c.request(g, wire.VerbCountQueue, string(q), nil, func(a wire.Response) {
		h := history.Event{
			Kind:    history.QueueCounted,
			Process: c.world.Nodes[g].ProcessName(),
			Job:     types.JobID(q),
			Text:    fmt.Sprint(began),
		}
		switch {
		case a.Error == nil:
			h.Stage = history.QueueExists
		case a.Error.Kind != apierror.NoSuchQueue:
			return
		}
		c.world.Record(h)
	}, func() {})
}

// putChanges puts changes on the version in force, each at another gateway.
func (c *Clients) putChanges(changes int) {
	if !c.open {
		return
	}
	c.readTable(func(t config.Table) {
		if len(t.Queues) < 3 {
			return
		}
		for i := range changes {
			c.putTable(c.alteredTable(t), c.gateways[(i+c.world.Random.Intn(2))%len(c.gateways)], 0, func(bool) {})
		}
	})
}

// alteredTable is a change of a table as this deployment's operators make it.
func (c *Clients) alteredTable(t config.Table) config.Table {
	if c.deployment.Invoked() {
		return c.nextVersion(t)
	}
	n := config.Table{Version: t.Version, Queues: slices.Clone(t.Queues)}
	n.Queues[0].Weight = 1 + c.world.Random.Intn(900)
	n.Queues[1].MaxRunning = 12 + c.world.Random.Intn(30)
	n.Queues[2].MaxFailures = 1 + c.world.Random.Intn(4)
	return n
}
