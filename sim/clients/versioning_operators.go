// Operators of a deployment whose workers are invoked. They number the versions of the
// table themselves, add and remove queues that nobody uses, put tables that are stale or
// invalid, and count what waits at each gateway.

package clients

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
	firstLengthReadDelay  = 300 * time.Millisecond
	secondLengthReadDelay = 2100 * time.Millisecond
)

// StartVersioningOperators puts new tables now and then: one, or two on the same version.
func (g *Group) StartVersioningOperators() {
	g.afterChangeInterval(func() {
		g.ReadTable(func(t config.Table) {
			if len(t.Queues) < minQueuesToChange {
				return
			}
			for range 1 + g.world.Random.Intn(2) {
				next := g.NextVersion(t)
				g.invalidateVersion(&next)
				g.PutTable(next, g.AnyGateway(), func(bool) { g.readIdleQueueLengths(t, next) })
			}
		})
		g.StartVersioningOperators()
	})
}

// NextVersion returns the next version of a table: another request time-out, another
// limit of a tenant, and an idle queue more or less.
func (g *Group) NextVersion(t config.Table) config.Table {
	next := t
	next.Queues = slices.Clone(t.Queues)
	next.RequestedVersion = t.Version + 1 + types.Version(g.world.Random.Intn(9))
	next.Queues[g.world.Random.Intn(3)].RequestTimeoutMillis = 1000 + g.world.Random.Intn(4000)
	if len(next.Tenants) > 0 {
		next.Tenants = g.Deployment.DrawLimits(g.world.Random, next.Tenants)
	}
	idle := slices.IndexFunc(next.Queues, isIdleQueue)
	if idle >= 0 && g.world.Random.Intn(2) == 0 {
		next.Queues = slices.Delete(next.Queues, idle, idle+1)
	} else if len(next.Queues) < maxTableQueues {
		next.Queues = append(next.Queues, g.newIdleQueue())
	}
	return next
}

// newIdleQueue returns a queue that no job is submitted to.
func (g *Group) newIdleQueue() config.Queue {
	g.lastJob++
	return config.Queue{
		Name:              types.QueueName(fmt.Sprintf("%s-%d", idlePrefix, g.lastJob)),
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

// invalidateVersion makes one table in four invalid: its new version is not newer, or it is
// based on a stale version.
func (g *Group) invalidateVersion(t *config.Table) {
	switch g.world.Random.Intn(8) {
	case 0:
		t.RequestedVersion = max(1, t.Version)
	case 1:
		t.Version--
	}
}

// readIdleQueueLengths asks gateways twice after the idle queues of two versions of a table.
func (g *Group) readIdleQueueLengths(before, after config.Table) {
	var names []types.QueueName
	for _, q := range slices.Concat(before.Queues, after.Queues) {
		if isIdleQueue(q) && !slices.Contains(names, q.Name) {
			names = append(names, q.Name)
		}
	}
	for _, delay := range []time.Duration{firstLengthReadDelay, secondLengthReadDelay} {
		for i, name := range names {
			to := g.alternateGateway(i)
			g.world.After(delay, func() { g.readQueueLength(name, to) })
		}
	}
}

// readQueueLength records whether a gateway knows a queue, when it was asked, and which of its
// processes answered.
func (g *Group) readQueueLength(name types.QueueName, to types.Addr) {
	began := g.world.Now()
	onAnswer := func(answer wire.Response) {
		event := history.Event{
			Kind:    history.QueueLengthRead,
			Process: g.world.Nodes[to].ProcessName(),
			Job:     types.JobID(name),
			Text:    fmt.Sprint(began),
		}
		switch {
		case answer.Error == nil:
			event.Status = history.QueueExists
		case answer.Error.Kind != apierror.NoSuchQueue:
			return
		}
		g.world.Record(event)
	}
	g.request(to, wire.VerbCountQueue, string(name), nil, onAnswer, func() {})
}
