// A record of what every daemon answers, second by second, to operators, callers,
// workers and peers. Operators' and callers' answers pass through the pages of the
// platform, so that statuses and redirects are those that would be seen outside.
package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/gateway"
	"coppercourse/internal/server"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/platform"
)

// audience is who was answered.
type audience string

const (
	toOperators audience = "operators"
	toCallers   audience = "callers"
	toWorkers   audience = "workers"
	toPeers     audience = "peers"
)

// request names what was asked for.
type request string

const (
	replaceTable request = "replace the table"
	readTable    request = "read the table"
	countQueue   request = "count a queue"
	submitJob    request = "submit a job"
	readJob      request = "read a job"
	workerBeat   request = "beat"
	confirmTable request = "confirm the table"
	forwarded    request = "forwarded call"
)

// observation is one request and its answer.
type observation struct {
	sent, answered int64 // true times; answered is 0 while there is no answer
	daemon         types.Addr
	audience       audience
	request        request
	code           int
	retry          bool // the answer tells when to come back
	redirect       types.Addr
	word           int64         // when the daemon last heard the leader that it redirects to
	version        types.Version // by which the answer was given, where it shows
	chain          int           // redirects followed to the last answer
	last           int           // the status of that answer
}

// acknowledgement is a version that an operator was told is in force.
type acknowledgement struct {
	at      int64
	version types.Version
}

const (
	probeAddr   = types.Addr("probe")
	probeEvery  = time.Second
	mostHops    = 5
	controlPort = "8166"
)

// recorder probes all daemons once a second and keeps what they answer.
type recorder struct {
	r       *Run
	list    []*observation
	acked   []acknowledgement
	newest  config.Table
	jobs    []types.JobID
	next    int
	word    map[[2]types.Addr]int64 // when one was last delivered a leader's message of another
	fronts  map[types.Addr]*platform.Front
	passed  map[types.Addr]*bool
	stopped bool
	// strangers has callers ask for a route that no configuration has.
	strangers bool
}

// record begins to probe a run's daemons now.
func record(r *Run, table config.Table) *recorder {
	c := &recorder{r: r, newest: table, word: map[[2]types.Addr]int64{},
		fronts: map[types.Addr]*platform.Front{}, passed: map[types.Addr]*bool{}}
	for _, g := range r.gateways {
		passed := new(bool)
		c.passed[g.addr], c.fronts[g.addr] = passed, platform.NewFront(passing{passed})
	}
	c.observeMessages()
	c.observeWorkers()
	r.at(wordAge, c.probe)
	return c
}

// passing takes the place of the machine behind a front: it notes that the front would ask it.
type passing struct{ passed *bool }

func (p passing) Ask(context.Context, string, string, json.RawMessage) wire.Response {
	*p.passed = true
	return wire.Response{StatusCode: http.StatusOK, Body: json.RawMessage(`{}`)}
}

// answering gives a machine's answer to the pages in front of it.
type answering struct{ answer wire.Response }

func (a answering) Ask(context.Context, string, string, json.RawMessage) wire.Response {
	return a.answer
}

// control gives the answer that an operator sees for that of a controller.
func (r *recorder) control(o *observation, a wire.Response) {
	if a.Error == nil {
		o.code = http.StatusOK
		return
	}
	if a.Leader != "" {
		a.Leader = types.Addr(r.ipOf(a.Leader))
	}
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodGet, "/coppercourse/Config.Read", nil)
	platform.NewControl(answering{a}, "10.0.0.1:"+controlPort).Handler().ServeHTTP(w, q)
	o.code, o.retry = w.Code, w.Header().Get("Retry-After") != ""
	if to := w.Header().Get("Location"); to != "" {
		o.redirect = r.addrOf(to)
		o.word = r.word[[2]types.Addr{o.daemon, o.redirect}]
	}
}

// ipOf stands for a daemon in the pages, which know daemons by IP number.
func (r *recorder) ipOf(a types.Addr) string {
	return fmt.Sprintf("10.0.%d.1:7400", slices.Index(r.r.order, a)+1)
}

func (r *recorder) addrOf(location string) types.Addr {
	host := strings.TrimSuffix(strings.TrimPrefix(location, "http://"), "/coppercourse/Config.Read")
	ip, err := netip.ParseAddrPort(host)
	if err != nil {
		return ""
	}
	return r.r.order[ip.Addr().As4()[2]-1]
}

// probe asks every daemon once, each at a moment of its own, and again after a second.
func (r *recorder) probe() {
	if r.stopped {
		return
	}
	spread := func(run func()) { r.r.at(time.Duration(r.r.random.Int63n(int64(probeEvery*9/10))), run) }
	for _, n := range r.r.controllers {
		spread(func() { r.read(n.addr) })
		spread(func() { r.replace(n.addr) })
	}
	for _, n := range r.r.gateways {
		spread(func() { r.count(n.addr) })
		spread(func() { r.submit(n.addr) })
		spread(func() { r.look(n.addr) })
	}
	r.r.at(probeEvery, r.probe)
}

// ask sends one request and keeps the observation; then runs once it is answered.
func (r *recorder) ask(to types.Addr, who audience, what request, verb, arg string, body json.RawMessage, then func(*observation, wire.Response)) {
	o := &observation{sent: r.r.now, daemon: to, audience: who, request: what}
	r.list = append(r.list, o)
	r.r.request(probeAddr, to, verb, arg, body, func(a wire.Response) {
		if o.answered != 0 {
			return
		}
		o.answered = r.r.now
		then(o, a)
		if o.last == 0 {
			o.last = o.code
		}
	})
}

func (r *recorder) read(to types.Addr) { r.hop(to, nil) }

// hop reads the table and follows redirects, as an operator does.
func (r *recorder) hop(to types.Addr, first *observation) {
	r.ask(to, toOperators, readTable, "table.get", "", nil, func(o *observation, a wire.Response) {
		r.control(o, a)
		if first == nil {
			first = o
		}
		first.last = o.code
		var t config.Table
		if a.Error == nil && json.Unmarshal(a.Body, &t) == nil {
			o.version = t.Version
			if t.Version > r.newest.Version {
				r.newest = t
			}
		}
		if o.redirect != "" && first.chain < mostHops {
			first.chain++
			r.hop(o.redirect, first)
		}
	})
}

// replace puts a change of its own on the newest version that is known.
func (r *recorder) replace(to types.Addr) {
	r.next++
	t := r.newest
	t.Queues = slices.Clone(t.Queues)
	t.Queues[0].RequestTimeoutMillis = 1000 + r.next
	t.RequestedVersion = t.Version + 1
	r.r.record(HistoryEvent{What: TableTry, Table: &t})
	r.ask(to, toOperators, replaceTable, "table.put", "", wire.EncodeBody(t), func(o *observation, a wire.Response) {
		r.control(o, a)
		if o.code != http.StatusOK {
			return
		}
		got := t.Accepted()
		o.version = got.Version
		r.r.record(HistoryEvent{What: TableAck, Table: &got, Text: fmt.Sprint(t.Version)})
		r.acked = append(r.acked, acknowledgement{r.r.now, got.Version})
		if got.Version > r.newest.Version {
			r.newest = got
		}
	})
}

// front has a gateway's page decide whether a request is passed on to its machine.
func (r *recorder) front(to types.Addr, what request) (o *observation, passed bool) {
	n := r.r.nodes[to]
	if n.m == nil || n.frozen {
		return nil, false
	}
	door := n.m.(*gateway.Gateway)
	t, _ := door.Table()
	page := r.fronts[to]
	page.Publish(t, inPageTime(door.ConfirmedUntil(), n.clock().Mono))
	*r.passed[to] = false
	route := r.newest.Queues[0].PathPrefix
	if r.strangers {
		route = "/nowhere/"
	}
	w := httptest.NewRecorder()
	page.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://"+routeHost+route, nil))
	if *r.passed[to] {
		return nil, true
	}
	r.list = append(r.list, &observation{sent: r.r.now, answered: r.r.now, daemon: to, audience: toCallers, request: what, code: w.Code, last: w.Code,
		retry: w.Header().Get("Retry-After") != "", version: t.Version})
	return nil, false
}

// inPageTime moves the end of a confirmation from the simulated clock of a daemon to
// the real one that its page compares it with.
func inPageTime(confirmedUntil, now types.MonoTime) types.MonoTime {
	if now >= confirmedUntil {
		return 0
	}
	return server.MonotonicNow().Add(time.Hour)
}

// caller asks a gateway's machine for what its page lets through.
func (r *recorder) caller(to types.Addr, what request, verb, arg string, body json.RawMessage, then func(ok bool)) {
	if _, ok := r.front(to, what); !ok {
		return
	}
	used, _ := r.r.nodes[to].m.(*gateway.Gateway).Table()
	r.ask(to, toCallers, what, verb, arg, body, func(o *observation, a wire.Response) {
		o.code, o.version = http.StatusOK, used.Version
		if a.Error != nil {
			r.control(o, wire.Response{Error: a.Error})
		}
		then(a.Error == nil)
	})
}

func (r *recorder) count(to types.Addr) {
	r.caller(to, countQueue, "queue.count", string(r.newest.Queues[0].Name), nil, func(bool) {})
}

func (r *recorder) submit(to types.Addr) {
	r.next++
	id := types.JobID(fmt.Sprintf("%016x", 1<<40+r.next))
	s := state.Spec{Queue: r.newest.Queues[0].Name, Steps: []state.Step{{Name: "a", Kind: "work", Resources: types.Resources{Cores: types.Core, MemoryMB: 32}, Tasks: 1, Work: Work{MS: 50}.raw()}}}
	r.r.record(HistoryEvent{What: Sent, Job: id, Spec: &s})
	r.caller(to, submitJob, "job.put", string(id), wire.EncodeBody(s), func(ok bool) {
		if ok {
			r.r.record(HistoryEvent{What: Accepted, Job: id})
			r.jobs = append(r.jobs, id)
			r.r.Clients.look(id)
			return
		}
		r.r.record(HistoryEvent{What: Unclear, Job: id})
	})
}

func (r *recorder) look(to types.Addr) {
	if len(r.jobs) == 0 {
		return
	}
	r.caller(to, readJob, "job.get", string(r.jobs[len(r.jobs)-1]), nil, func(bool) {})
}

// ackedBefore is the newest version that was acknowledged before a time.
func (r *recorder) ackedBefore(at int64) (v types.Version) {
	for _, a := range r.acked {
		if a.at < at {
			v = max(v, a.version)
		}
	}
	return
}

// seconds prints the statuses by second, daemon and audience.
func (r *recorder) seconds() string {
	type cell struct {
		second   int64
		daemon   types.Addr
		audience audience
	}
	cells := map[cell][]string{}
	for _, o := range r.list {
		code := fmt.Sprint(o.code)
		if o.answered == 0 {
			code = "silence"
		}
		k := cell{o.sent / int64(time.Second), o.daemon, o.audience}
		if !slices.Contains(cells[k], code) {
			cells[k] = append(cells[k], code)
		}
	}
	var keys []cell
	for k := range cells {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b cell) int {
		return strings.Compare(fmt.Sprintf("%05d %s %s", a.second, a.audience, a.daemon), fmt.Sprintf("%05d %s %s", b.second, b.audience, b.daemon))
	})
	var b strings.Builder
	for _, k := range keys {
		fmt.Fprintf(&b, "%3d s %-9s %-4s %s\n", k.second, k.audience, k.daemon, strings.Join(cells[k], " "))
	}
	return b.String()
}
