// Stand-in callers and operators of the simulator. A caller sends a job at a
// ready gateway of its zone, sends the same again anywhere when the answer is
// lost or says to come back, looks at its jobs now and then, and sometimes
// cancels one. Operators put tables, at times two at once.
package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const lostAfter = 4 * time.Second

// Clients is all callers and operators of a world.
type Clients struct {
	w          *World
	deployment Deployment
	gateways   []types.Addr
	addr       types.Addr
	next       int
	open       bool
	Cancel     float64
	Races      bool
	Count      map[apierror.Kind]int
	Rude       float64 // part of the callers that do not heed when to come back
	Burst      int     // how many times as much is sent; 0 is once
	Tries      int     // how often a job is sent, at most
	cancels    map[types.JobID]time.Duration
}

func (c *Clients) pick(zone int) types.Addr {
	first := c.gateways[zone%len(c.gateways)]
	for i := range c.gateways {
		a := c.gateways[(zone+i)%len(c.gateways)]
		if g, ok := c.w.nodes[a].m.(*gateway.Gateway); ok && g.Ready() {
			return a
		}
	}
	return first
}

func (c *Clients) any() types.Addr { return c.gateways[c.w.random.Intn(len(c.gateways))] }

// flow sends jobs of one shape until the clients is closed.
func (c *Clients) flow(f Flow) {
	gap := time.Duration((0.5+c.w.random.Float64())*float64(f.Every)) / time.Duration(max(1, c.Burst))
	c.w.at(gap, func() {
		if !c.open {
			return
		}
		c.next++
		id := types.JobID(fmt.Sprintf("%s-%d", f.Queue, c.next))
		s := f.Spec(c.w.random)
		if c.w.random.Intn(8) == 0 {
			due := origin + c.w.now + int64(c.w.random.Intn(3000))*1e6
			s.Steps[len(s.Steps)-1].NotBefore = time.Unix(0, due).UTC().Format(time.RFC3339Nano)
		}
		c.w.record(HistoryEvent{What: Sent, Job: id, Spec: &s})
		c.send(id, wire.EncodeBody(s), c.pick(c.w.random.Intn(3)), 0)
		c.flow(f)
	})
}

// stream sends jobs to the invoked workers' deployment until the clients is closed.
func (c *Clients) stream(f Stream) {
	gap := time.Duration((0.5+c.w.random.Float64())*float64(f.Every)) / time.Duration(max(1, c.Burst))
	c.w.at(gap, func() {
		if !c.open {
			return
		}
		c.next++
		id := types.JobID(fmt.Sprintf("%s-%d", f.Queue, c.next))
		s := f.Spec(c.w.random, c.w.now)
		if c.w.random.Float64() < f.Cancel {
			c.cancels[id] = f.Within/3 + time.Duration(c.w.random.Int63n(int64(f.Within)))
		}
		c.w.record(HistoryEvent{What: Sent, Job: id, Spec: &s})
		c.send(id, wire.EncodeBody(s), c.pick(c.w.random.Intn(3)), 0)
		c.stream(f)
	})
}

// try asks once; lost is called when no answer came in time.
func (c *Clients) try(to types.Addr, verb, arg string, body json.RawMessage, got func(wire.Response), lost func()) {
	over := false
	c.w.request(c.addr, to, verb, arg, body, func(a wire.Response) {
		if !over {
			over = true
			got(a)
		}
	})
	c.w.at(lostAfter, func() {
		if !over {
			over = true
			lost()
		}
	})
}

func (c *Clients) send(id types.JobID, body json.RawMessage, to types.Addr, n int) {
	again := func(d time.Duration) {
		if n < c.Tries {
			c.w.at(d, func() { c.send(id, body, c.any(), n+1) })
		}
	}
	c.try(to, "job.put", string(id), body, func(a wire.Response) {
		switch {
		case a.Error == nil:
			c.w.record(HistoryEvent{What: Accepted, Job: id})
			c.saw(id, a)
			c.look(id)
			if d, ok := c.cancels[id]; ok {
				c.w.at(d, func() { c.cancel(id, 0) })
			} else if c.deployment.WorkerRules == nil && c.w.random.Float64() < c.Cancel {
				c.w.at(time.Duration(c.w.random.Int63n(int64(3*time.Second))), func() { c.cancel(id, 0) })
			}
		case a.Error.RetryAfterSeconds > 0:
			c.Count[a.Error.Kind]++
			if a.Error.Kind == apierror.OutcomeUnknown {
				c.w.record(HistoryEvent{What: Unclear, Job: id})
			} else {
				c.w.record(HistoryEvent{What: Turned, Job: id, Text: a.Error.Error()})
			}
			if c.Rude > 0 && c.w.random.Float64() < c.Rude {
				again(200 * time.Millisecond)
				return
			}
			again(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		default:
			c.Count[a.Error.Kind]++
			c.w.record(HistoryEvent{What: Denied, Job: id, Text: a.Error.Error()})
		}
	}, func() {
		c.w.record(HistoryEvent{What: Unclear, Job: id})
		again(100 * time.Millisecond)
	})
}

func (c *Clients) saw(id types.JobID, a wire.Response) (over bool) {
	var v controller.JobView
	if json.Unmarshal(a.Body, &v) != nil {
		return false
	}
	c.w.record(HistoryEvent{What: Saw, Job: id, Stage: v.State, Text: v.Reason})
	return v.State == "done" || v.State == "failed" || v.State == "cancelled"
}

// look asks after a job now and then until it has ended.
func (c *Clients) look(id types.JobID) {
	c.w.at(500*time.Millisecond+time.Duration(c.w.random.Int63n(int64(2*time.Second))), func() {
		c.try(c.any(), "job.get", string(id), nil, func(a wire.Response) {
			switch {
			case a.Error != nil && a.Error.Kind == apierror.NoSuchJob:
				c.w.record(HistoryEvent{What: Missed, Job: id})
			case a.Error != nil || !c.saw(id, a):
				c.look(id)
			}
		}, func() { c.look(id) })
	})
}

func (c *Clients) cancel(id types.JobID, n int) {
	if n == 0 {
		c.w.record(HistoryEvent{What: Halting, Job: id})
	}
	again := func(d time.Duration) {
		if n < 10 {
			c.w.at(d, func() { c.cancel(id, n+1) })
		}
	}
	c.try(c.any(), "job.cancel", string(id), nil, func(a wire.Response) {
		switch {
		case a.Error == nil:
			c.w.record(HistoryEvent{What: Halt, Job: id})
		case a.Error.RetryAfterSeconds > 0:
			again(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		}
	}, func() { again(100 * time.Millisecond) })
}

// put sends a table until it is known to be taken or refused.
func (c *Clients) put(t config.Table, to types.Addr, n int, then func(bool)) {
	if n == 0 {
		c.w.record(HistoryEvent{What: TableTry, Table: &t})
	}
	again := func(d time.Duration) {
		if n < 40 {
			c.w.at(d, func() { c.put(t, c.any(), n+1, then) })
		}
	}
	c.try(to, "table.put", "", wire.EncodeBody(t), func(a wire.Response) {
		switch {
		case a.Error == nil:
			got := t.Accepted()
			c.w.record(HistoryEvent{What: TableAck, Table: &got, Text: fmt.Sprint(t.Version)})
			then(true)
		case a.Error.RetryAfterSeconds > 0:
			again(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		default:
			c.w.record(HistoryEvent{What: TableNo, Table: &t, Text: a.Error.Error()})
			then(false)
		}
	}, func() { again(100 * time.Millisecond) })
}

// order gives an operator's order until it is known to be taken or refused.
func (c *Clients) order(verb, arg string, body json.RawMessage, n int, then func()) {
	if verb == "drain.drop" && n == 0 {
		c.w.record(HistoryEvent{What: Undone, Text: arg})
	}
	again := func(d time.Duration) {
		if n < 100 {
			c.w.at(d, func() { c.order(verb, arg, body, n+1, then) })
		}
	}
	c.try(c.any(), verb, arg, body, func(a wire.Response) {
		switch {
		case a.Error == nil:
			if verb == "drain.put" {
				c.w.record(HistoryEvent{What: Drained, Text: arg})
			}
			then()
		case a.Error.RetryAfterSeconds > 0:
			again(time.Duration(a.Error.RetryAfterSeconds) * time.Second)
		}
	}, func() { again(100 * time.Millisecond) })
}

// read reads the table and gives it on.
func (c *Clients) read(then func(config.Table)) {
	began := c.w.now
	c.try(c.any(), "table.get", "", nil, func(a wire.Response) {
		var t config.Table
		if a.Error == nil && json.Unmarshal(a.Body, &t) == nil {
			c.w.record(HistoryEvent{What: TableSaw, Table: &t, Text: fmt.Sprint(began)})
			if then != nil {
				then(t)
			}
		}
	}, func() {})
}

// races has two operators change the table on the same version, again and
// again, at different gateways.
func (c *Clients) races() {
	c.w.at(time.Duration(2+c.w.random.Intn(4))*time.Second, func() {
		if !c.open || !c.Races {
			return
		}
		c.read(func(t config.Table) {
			for i := range 2 {
				c.put(c.altered(t), c.gateways[(i+c.w.random.Intn(2))%len(c.gateways)], 0, func(bool) {})
			}
		})
		c.races()
	})
}
