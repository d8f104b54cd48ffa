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
)

// change makes the next version of a table: time-outs, and a queue more or less.
func (c *Clients) change(t config.Table) config.Table {
	n := t
	n.Queues = slices.Clone(t.Queues)
	n.RequestedVersion = t.Version + 1 + types.Version(c.w.random.Intn(9))
	n.Queues[c.w.random.Intn(3)].RequestTimeoutMillis = 1000 + c.w.random.Intn(4000)
	if i := slices.IndexFunc(n.Queues, idle); i >= 0 && c.w.random.Intn(2) == 0 {
		n.Queues = slices.Delete(n.Queues, i, i+1)
	} else if len(n.Queues) < 8 {
		c.next++
		n.Queues = append(n.Queues, config.Queue{Name: types.QueueName(fmt.Sprint("idle-", c.next)), Weight: 1, MaxRunning: 10, MaxUnfinished: 10, MaxFailures: 1, TaskTimeoutMillis: 1000, Service: "work"})
	}
	return n
}

func idle(r config.Queue) bool { return strings.HasPrefix(string(r.Name), "idle") }

// versions puts new tables now and then.
func (c *Clients) versions() {
	c.w.at(time.Duration(2+c.w.random.Intn(4))*time.Second, func() {
		if !c.open || !c.Races {
			return
		}
		c.read(func(t config.Table) {
			if len(t.Queues) < 3 {
				return
			}
			for range 1 + c.w.random.Intn(2) {
				n := c.change(t)
				switch c.w.random.Intn(8) {
				case 0:
					n.RequestedVersion = max(1, t.Version)
				case 1:
					n.Version--
				}
				c.put(n, c.any(), 0, func(ok bool) { c.counts(t, n) })
			}
		})
		c.versions()
	})
}

// counts asks each gateway after queues that have just come or gone.
func (c *Clients) counts(t, n config.Table) {
	var names []types.QueueName
	for _, r := range slices.Concat(t.Queues, n.Queues) {
		if idle(r) && !slices.Contains(names, r.Name) {
			names = append(names, r.Name)
		}
	}
	for _, at := range []time.Duration{300 * time.Millisecond, 2100 * time.Millisecond} {
		for i, q := range names {
			g := c.gateways[(i+c.w.random.Intn(2))%len(c.gateways)]
			c.w.at(at, func() { c.count(q, g) })
		}
	}
}

// count writes down whether a gateway knows a queue: when it was asked, and who
// answered.
func (c *Clients) count(q types.QueueName, g types.Addr) {
	began := c.w.now
	c.try(g, "queue.count", string(q), nil, func(a wire.Response) {
		h := HistoryEvent{What: Counted, Who: c.w.nodes[g].name(), Job: types.JobID(q), Text: fmt.Sprint(began)}
		switch {
		case a.Error == nil:
			h.Stage = "there"
		case a.Error.Kind != apierror.NoSuchQueue:
			return
		}
		c.w.record(h)
	}, func() {})
}

// changeNow puts changes on the version in force, each at another gateway.
func (c *Clients) changeNow(changes int) {
	if !c.open {
		return
	}
	c.read(func(t config.Table) {
		if len(t.Queues) < 3 {
			return
		}
		for i := range changes {
			c.put(c.altered(t), c.gateways[(i+c.w.random.Intn(2))%len(c.gateways)], 0, func(bool) {})
		}
	})
}

// altered is a change of a table as this deployment's operators make it.
func (c *Clients) altered(t config.Table) config.Table {
	if c.deployment.WorkerRules != nil {
		return c.change(t)
	}
	n := config.Table{Version: t.Version, Queues: slices.Clone(t.Queues)}
	n.Queues[0].Weight = 1 + c.w.random.Intn(900)
	n.Queues[1].MaxRunning = 12 + c.w.random.Intn(30)
	n.Queues[2].MaxFailures = 1 + c.w.random.Intn(4)
	return n
}
