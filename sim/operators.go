// Operators that read and change the table, at times two of them at once, and that start
// and cancel drains.

package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

const (
	maxTableRetries    = 40
	maxOperatorRetries = 100

	racingOperators = 2 // that change the table on the same version

	minChangeSeconds    = 2 // between two changes of the table
	changeSecondsSpread = 4

	minQueuesToChange = 3 // a table with fewer queues is not the deployment's, and stays
)

// putTable puts a table, first at the given gateway. Once it is known whether the table was
// accepted, it calls then with that.
func (c *Clients) putTable(t config.Table, to types.Addr, then func(accepted bool)) {
	c.world.Record(history.Event{Kind: history.TableSubmitted, Table: &t})
	o := newOperation(wire.VerbPutTable, "", wire.EncodeBody(t), maxTableRetries)
	o.onAccepted = func(wire.Response) {
		accepted := t.Accepted()
		c.world.Record(history.Event{
			Kind:  history.TableAcknowledged,
			Table: &accepted,
			Text:  fmt.Sprint(t.Version),
		})
		then(true)
	}
	o.onRejected = func(err *apierror.Error) {
		c.world.Record(history.Event{Kind: history.TableRefused, Table: &t, Text: err.Error()})
		then(false)
	}
	c.perform(o, to)
}

// readTable reads the table once, and calls then with it, unless then is nil or there was no
// answer.
func (c *Clients) readTable(then func(config.Table)) {
	began := c.world.Now()
	onAnswer := func(answer wire.Response) {
		var t config.Table
		if answer.Error != nil || json.Unmarshal(answer.Body, &t) != nil {
			return
		}
		c.world.Record(history.Event{Kind: history.TableRead, Table: &t, Text: fmt.Sprint(began)})
		if then != nil {
			then(t)
		}
	}
	c.request(c.anyGateway(), wire.VerbGetTable, "", nil, onAnswer, func() {})
}

// startRacingOperators has operators change the table on the same version, again and
// again, at different gateways.
func (c *Clients) startRacingOperators() {
	c.afterChangeInterval(func() {
		c.readTable(func(t config.Table) { c.putAlteredTables(t, racingOperators) })
		c.startRacingOperators()
	})
}

// afterChangeInterval calls next after an interval drawn at random, if operators still
// change the table then.
func (c *Clients) afterChangeInterval(next func()) {
	interval := time.Duration(minChangeSeconds+c.world.Random.Intn(changeSecondsSpread)) * time.Second
	c.world.After(interval, func() {
		if c.open && c.RacingOperators {
			next()
		}
	})
}

// putChanges puts so many changes on the version of the table that is in force.
func (c *Clients) putChanges(changes int) {
	if !c.open {
		return
	}
	c.readTable(func(t config.Table) {
		if len(t.Queues) >= minQueuesToChange {
			c.putAlteredTables(t, changes)
		}
	})
}

// putAlteredTables puts so many changes of a table, each at another gateway.
func (c *Clients) putAlteredTables(t config.Table, changes int) {
	for i := range changes {
		altered := c.alteredTable(t)
		c.putTable(altered, c.alternateGateway(i), func(bool) {})
	}
}

// alteredTable returns a change of a table as this deployment's operators make it.
func (c *Clients) alteredTable(t config.Table) config.Table {
	if c.deployment.Invoked() {
		return c.nextVersion(t)
	}
	altered := config.Table{Version: t.Version, Queues: slices.Clone(t.Queues)}
	altered.Queues[0].Weight = 1 + c.world.Random.Intn(900)
	altered.Queues[1].MaxRunning = 12 + c.world.Random.Intn(30)
	altered.Queues[2].MaxFailures = 1 + c.world.Random.Intn(4)
	return altered
}

// startDrain starts a drain, and calls then once it is accepted.
func (c *Clients) startDrain(target string, drain config.Drain, then func()) {
	c.requestAsOperator(wire.VerbStartDrain, target, wire.EncodeBody(drain), func() {
		c.world.Record(history.Event{Kind: history.DrainAccepted, Text: target})
		then()
	})
}

// cancelDrain cancels a drain, and calls then once that is accepted.
func (c *Clients) cancelDrain(target string, then func()) {
	c.world.Record(history.Event{Kind: history.DrainRemoval, Text: target})
	c.requestAsOperator(wire.VerbCancelDrain, target, nil, then)
}

// requestAsOperator sends an operator's request, and calls then once it is accepted.
func (c *Clients) requestAsOperator(verb wire.Verb, argument string, body json.RawMessage, then func()) {
	o := newOperation(verb, argument, body, maxOperatorRetries)
	o.onAccepted = func(wire.Response) { then() }
	c.perform(o, c.anyGateway())
}
