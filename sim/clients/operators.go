// Operators that read and change the table, at times two of them at once, and that start
// and cancel drains.

package clients

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

	concurrentOperators = 2 // that change the table on the same version

	minChangeSeconds   = 2 // between two changes of the table
	changeSecondsRange = 4

	minQueuesToChange = 3 // a table with fewer queues is not the deployment's, and stays
)

// PutTable puts a table, first at the given gateway. Once it is known whether the table was
// accepted, it calls then with that.
func (g *Group) PutTable(t config.Table, to types.Addr, then func(accepted bool)) {
	g.world.Record(history.Event{Kind: history.TableSubmitted, Table: &t})
	o := newOperation(wire.VerbPutTable, "", wire.EncodeBody(t), maxTableRetries)
	o.onAccepted = func(wire.Response) {
		accepted := t.Accepted()
		g.world.Record(history.Event{
			Kind:  history.TableAcknowledged,
			Table: &accepted,
			Text:  fmt.Sprint(t.Version),
		})
		then(true)
	}
	o.onRejected = func(err *apierror.Error) {
		g.world.Record(history.Event{Kind: history.TableRejected, Table: &t, Text: err.Error()})
		then(false)
	}
	g.perform(o, to)
}

// ReadTable reads the table once, and calls then with it, unless then is nil or there was no
// answer.
func (g *Group) ReadTable(then func(config.Table)) {
	began := g.world.Now()
	onAnswer := func(answer wire.Response) {
		var t config.Table
		if answer.Error != nil || json.Unmarshal(answer.Body, &t) != nil {
			return
		}
		g.world.Record(history.Event{Kind: history.TableRead, Table: &t, Text: fmt.Sprint(began)})
		if then != nil {
			then(t)
		}
	}
	g.request(g.AnyGateway(), wire.VerbGetTable, "", nil, onAnswer, func() {})
}

// StartConcurrentOperators has operators change the table on the same version, again and
// again, at different gateways.
func (g *Group) StartConcurrentOperators() {
	g.afterChangeInterval(func() {
		g.ReadTable(func(t config.Table) { g.putModifiedTables(t, concurrentOperators) })
		g.StartConcurrentOperators()
	})
}

// afterChangeInterval calls next after an interval drawn at random, if operators still
// change the table then.
func (g *Group) afterChangeInterval(next func()) {
	interval := time.Duration(minChangeSeconds+g.world.Random.Intn(changeSecondsRange)) * time.Second
	g.world.After(interval, func() {
		if g.Submitting && g.ConcurrentOperators {
			next()
		}
	})
}

// PutConcurrentChanges puts so many changes on the version of the table that is in force.
func (g *Group) PutConcurrentChanges(changes int) {
	if !g.Submitting {
		return
	}
	g.ReadTable(func(t config.Table) {
		if len(t.Queues) >= minQueuesToChange {
			g.putModifiedTables(t, changes)
		}
	})
}

// putModifiedTables puts so many changes of a table, each at another gateway.
func (g *Group) putModifiedTables(t config.Table, changes int) {
	for i := range changes {
		altered := g.modifiedTable(t)
		g.PutTable(altered, g.alternateGateway(i), func(bool) {})
	}
}

// modifiedTable returns a change of a table as this deployment's operators make it.
func (g *Group) modifiedTable(t config.Table) config.Table {
	if g.Deployment.Invoked() {
		return g.NextVersion(t)
	}
	altered := config.Table{Version: t.Version, Queues: slices.Clone(t.Queues)}
	altered.Queues[0].Weight = 1 + g.world.Random.Intn(900)
	altered.Queues[1].MaxRunning = 12 + g.world.Random.Intn(30)
	altered.Queues[2].MaxFailures = 1 + g.world.Random.Intn(4)
	return altered
}

// StartDrain starts a drain, and calls then once it is accepted.
func (g *Group) StartDrain(target string, drain config.Drain, then func()) {
	g.RequestAsOperator(wire.VerbStartDrain, target, wire.EncodeBody(drain), func() {
		g.world.Record(history.Event{Kind: history.DrainAccepted, Text: target})
		then()
	})
}

// CancelDrain cancels a drain, and calls then once that is accepted.
func (g *Group) CancelDrain(target string, then func()) {
	g.world.Record(history.Event{Kind: history.DrainRemovalStarted, Text: target})
	g.RequestAsOperator(wire.VerbCancelDrain, target, nil, then)
}

// RequestAsOperator sends an operator's request, and calls then once it is accepted.
func (g *Group) RequestAsOperator(verb wire.Verb, argument string, body json.RawMessage, then func()) {
	o := newOperation(verb, argument, body, maxOperatorRetries)
	o.onAccepted = func(wire.Response) { then() }
	g.perform(o, g.AnyGateway())
}
