package checker

import (
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// checkConflictingTables judges that of several tables on one version only one is acknowledged.
func (c *checker) checkConflictingTables() {
	byBase := map[string]history.Event{}
	for _, event := range c.history.Events {
		if event.Kind != history.TableAcknowledged || event.Text == "" {
			continue
		}
		first, ok := byBase[event.Text]
		if ok && (first.Table.Version != event.Table.Version || !first.Table.SameContent(*event.Table)) {
			c.recordViolation("table", event.At, "versions %d and %d were both acknowledged, on version %s",
				first.Table.Version, event.Table.Version, event.Text)
		}
		byBase[event.Text] = event
	}
}

// tableObservation is an answer of a gateway that shows which tables it may follow.
type tableObservation struct {
	at         int64
	minVersion types.Version
}

// checkGatewayTables judges that a gateway knows queues that were added, and no longer
// those that were removed, once the bound has passed, and that it never goes back to an
// older table.
func (c *checker) checkGatewayTables() {
	earlier := map[string][]tableObservation{} // by the gateway's process
	for _, event := range c.history.Events {
		if event.Kind != history.QueueLengthRead {
			continue
		}
		c.coverage["table: a gateway was asked for a queue that was added or removed"]++
		began := parseNanos(event.Text)
		oldest := types.Version(0)
		if !c.faultDuring(began, event.At, faultWindow.affectsAny) {
			oldest = c.minVersion(began)
		}
		least, greatest, found := c.versionsOf(event)
		if !found || greatest < oldest {
			c.recordViolation("table", event.At, "%s says of %s that it is %q, as no table from version %d on has it",
				event.Process, event.Job, event.Status, oldest)
			continue
		}
		for _, before := range earlier[event.Process] {
			if before.at+int64(c.bounds.TableRegression) < began && greatest < before.minVersion {
				c.recordViolation("back", event.At,
					"%s goes back: %s as only versions up to %d have it, after version %d at %.3f s",
					event.Process, event.Job, greatest, before.minVersion, seconds(before.at))
				break
			}
		}
		earlier[event.Process] = append(earlier[event.Process], tableObservation{event.At, least})
	}
}

// versionsOf returns the least and the greatest version by which a gateway may have
// given an answer on a queue.
func (c *checker) versionsOf(answer history.Event) (least, greatest types.Version, found bool) {
	for _, t := range c.tables {
		_, exists := t.FindQueue(types.QueueName(answer.Job))
		if exists != (answer.Status == history.QueueExists) || t.submittedAt > answer.At {
			continue
		}
		if !found {
			least = t.Version
		}
		least, greatest, found = min(least, t.Version), max(greatest, t.Version), true
	}
	return least, greatest, found
}
