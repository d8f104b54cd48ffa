package controller

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"syscall"
	"testing"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// cluster is some controllers in virtual time, with links and disks that take
// as long as they are told to.
type cluster struct {
	t                 *testing.T
	now               time.Duration
	seq               int
	events            eventHeap
	rnd               *rand.Rand
	members           []*member
	snapshotThreshold types.Index
	// plant is a bug to run after each step of a member.
	bug          func(*member, wire.Event)
	violation    string        // the first broken rule
	acknowledged types.Version // the newest configuration that was acknowledged
}

// member is one controller with its disk and its link.
type member struct {
	cluster         *cluster
	addr            types.Addr
	machine         *Controller
	incarnation     int // of its process; what an earlier one began does not finish
	disk            [][]byte
	queue           []write
	writing         bool
	syncTime        time.Duration
	diskFull        bool
	hidesDiskErrors bool // a planted bug: the machine isn't told that its disk refuses
	frozen          bool
	missedEvents    []wire.Event // while frozen
	perSecond       int          // bytes that its link carries in; 0 is no bound
	linkFreeAt      time.Duration
	tickInterval    time.Duration // between two ticks on a slow processor
	lastTick        types.Now
	tokens          uint64
	answers         map[uint64]func(wire.Response)
	appendReplies   int // answers to its leader's rounds
	largestMessage  int // bytes of the largest message
}

type write struct {
	list  [][]byte
	seq   uint64
	whole bool
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []scheduledEvent

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e eventHeap) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	tickTime = 20 * time.Millisecond
	latency  = 500 * time.Microsecond
	syncTime = time.Millisecond
)

// newCluster founds a cluster of three and waits for its leader.
func newCluster(t *testing.T, seed int64, snapshotThreshold types.Index) *cluster {
	t.Helper()
	c := &cluster{t: t, rnd: rand.New(rand.NewSource(seed)), snapshotThreshold: snapshotThreshold}
	for i := range 3 {
		c.members = append(c.members, &member{cluster: c, addr: types.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1)), syncTime: syncTime})
	}
	for _, m := range c.members {
		m.start(true)
	}
	c.until(10*time.Second, "a leader", func() bool { return c.leader() != nil })
	return c
}

func (c *cluster) after(d time.Duration, act func()) {
	c.seq++
	heap.Push(&c.events, scheduledEvent{c.now + d, c.seq, act})
}

// run lets virtual time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; ; {
		if len(c.events) == 0 || c.events[0].at > end {
			c.now = end
			return
		}
		next := heap.Pop(&c.events).(scheduledEvent)
		c.now = next.at
		next.run()
	}
}

// until lets time pass until something holds, and fails when it doesn't in time.
func (c *cluster) until(limit time.Duration, what string, holds func() bool) time.Duration {
	c.t.Helper()
	began := c.now
	for !holds() {
		if c.now-began > limit {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		c.run(5 * time.Millisecond)
	}
	return c.now - began
}

// leader is the member that serves, or nil.
func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.serves() {
			return m
		}
	}
	return nil
}

// follower is a member that runs and does not lead.
func (c *cluster) follower() *member {
	for _, m := range c.members {
		if m.machine != nil && !m.machine.raft.IsLeader() {
			return m
		}
	}
	c.t.Fatal("no follower")
	return nil
}

func (m *member) clock() types.Now {
	return types.Now{Mono: types.MonoTime(m.cluster.now), Wall: types.WallTime(m.cluster.now)}
}

// serves tells whether a member answers as the leader.
func (m *member) serves() bool {
	return m.machine != nil && !m.frozen && m.machine.leader.active() && m.machine.raft.HoldsReadLease()
}

func (m *member) start(first bool) {
	var seeds []types.Addr
	for _, other := range m.cluster.members {
		seeds = append(seeds, other.addr)
	}
	m.incarnation++
	m.queue, m.writing, m.frozen, m.missedEvents, m.answers = nil, false, false, nil, map[uint64]func(wire.Response){}
	m.machine = New(m.clock(), rand.New(rand.NewSource(m.cluster.rnd.Int63())), Options{Addr: m.addr, Zone: types.Zone(m.addr), Seeds: seeds,
		Bootstrap: raft.BootstrapOptions{FirstStart: first, Founders: seeds}, RaftTimeouts: raft.DefaultTimeouts, DispatchTimeouts: protocol.DefaultTimeouts, SnapshotThreshold: m.cluster.snapshotThreshold}, m.disk)
	m.tick(m.incarnation)
}

func (m *member) tick(life int) {
	if m.incarnation != life {
		return
	}
	m.step(wire.Event{})
	m.cluster.after(max(m.tickInterval, tickTime), func() { m.tick(life) })
}

// kill ends the process; wipe loses its disk too.
func (m *member) kill() {
	m.incarnation++
	m.machine = nil
}

func (m *member) wipe() {
	m.kill()
	m.disk = nil
}

func (m *member) thaw() {
	m.frozen = false
	missed := m.missedEvents
	m.missedEvents = nil
	for _, e := range missed {
		m.step(e)
	}
}

// step gives the machine an event and carries out what it wants.
func (m *member) step(e wire.Event) {
	if m.machine == nil {
		return
	}
	if m.frozen {
		if e.Message != nil {
			m.missedEvents = append(m.missedEvents, e)
		}
		return
	}
	e.Now = m.clock()
	out := m.machine.Step(e)
	if m.cluster.bug != nil {
		m.cluster.bug(m, e)
	}
	m.check()
	for _, s := range out.Messages {
		m.send(s)
	}
	if out.Records != nil {
		m.queue = append(m.queue, write{out.Records, out.BatchNumber, out.ReplaceLog})
		m.flush()
	}
	for _, a := range out.Responses {
		if back := m.answers[a.Token]; back != nil {
			delete(m.answers, a.Token)
			back(a)
		}
	}
}

// check looks for a member that leads or serves with less than it must have.
func (m *member) check() {
	h := m.machine
	switch {
	case h.raft.IsLeader() && h.log.isLoading():
		m.cluster.violate("%s leads without its state", m.addr)
	case m.serves() && h.log.state().Table.Version < m.cluster.acknowledged:
		m.cluster.violate("%s serves version %d after %d was acknowledged", m.addr, h.log.state().Table.Version, m.cluster.acknowledged)
	}
}

func (c *cluster) violate(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// send carries a message over the link of its receiver, behind what is on it.
func (m *member) send(s wire.OutboundMessage) {
	for _, to := range m.cluster.members {
		if to.addr != s.To {
			continue
		}
		if s.Message.Kind == wire.AppendReply {
			m.appendReplies++
		}
		m.largestMessage = max(m.largestMessage, len(s.Message.Body))
		way := latency
		if to.perSecond > 0 {
			to.linkFreeAt = max(to.linkFreeAt, m.cluster.now) + time.Duration(len(s.Message.Body))*time.Second/time.Duration(to.perSecond)
			way += to.linkFreeAt - m.cluster.now
		}
		life := to.incarnation
		m.cluster.after(way, func() {
			if to.incarnation == life {
				to.step(wire.Event{Message: &s.Message})
			}
		})
	}
}

// flush writes what waits, as the disk writer does.
func (m *member) flush() {
	if m.writing || len(m.queue) == 0 {
		return
	}
	m.writing = true
	life := m.incarnation
	again := func(act func()) {
		m.cluster.after(m.syncTime, func() {
			if m.incarnation == life {
				m.writing = false
				act()
			}
		})
	}
	if m.diskFull {
		if !m.hidesDiskErrors {
			m.step(wire.Event{DiskError: syscall.ENOSPC})
		}
		again(m.flush)
		return
	}
	group := m.queue
	m.queue = nil
	again(func() {
		for _, w := range group {
			if w.whole {
				m.disk = nil
			}
			m.disk = append(m.disk, w.list...)
		}
		m.step(wire.Event{Synced: group[len(group)-1].seq})
		m.flush()
	})
}

// ask puts a request to a member; the answer comes later, or never.
func (m *member) ask(verb, arg string, body json.RawMessage, back func(wire.Response)) {
	if m.machine == nil {
		return
	}
	m.tokens++
	m.answers[m.tokens] = back
	m.step(wire.Event{Request: &wire.Request{Token: m.tokens, Verb: verb, Arg: arg, Body: body}})
}

// table is a configuration of about so many bytes.
func table(base types.Version, bytes int) config.Table {
	source, err := json.Marshal(make([]byte, bytes*3/4))
	if err != nil {
		panic(err)
	}
	return config.Table{Version: base, Source: source, Queues: []config.Queue{{Name: "q", Weight: 1, MaxRunning: 1000, MaxUnfinished: 100_000,
		MaxFailures: 3, TaskTimeoutMillis: 1000, UnresolvedTimeoutMillis: 1000}}}
}

// change has a configuration acknowledged, whoever leads.
func (c *cluster) change(bytes int) types.Version {
	c.t.Helper()
	var got types.Version
	c.until(10*time.Second, "a configuration acknowledged", func() bool {
		m := c.leader()
		if m == nil {
			return false
		}
		base := m.machine.log.state().Table.Version
		done := false
		m.ask("table.put", "", wire.EncodeBody(table(base, bytes)), func(a wire.Response) {
			if done = a.Error == nil; done {
				c.acknowledged = max(c.acknowledged, base+1)
			}
		})
		for range 40 {
			if c.run(5 * time.Millisecond); done {
				got = base + 1
				return true
			}
		}
		return false
	})
	return got
}

// job puts a job into the log of the leader.
func (c *cluster) job(n, bytes int) {
	if m := c.leader(); m != nil {
		spec := state.Spec{Queue: "q", Steps: []state.Step{{Name: "s", Kind: "k", Tasks: 1, Work: json.RawMessage(wire.EncodeBody(make([]byte, bytes*3/4)))}}}
		m.machine.log.propose(state.Command{Job: &state.Submission{ID: types.JobID(fmt.Sprintf("job-%d", n)), Spec: spec}})
		m.step(wire.Event{})
	}
}

// caughtUp tells whether a member has all that the leader has committed.
func (c *cluster) caughtUp(m *member) bool {
	l := c.leader()
	return l != nil && m.machine != nil && !m.machine.log.isLagging() && m.machine.log.applied() >= l.machine.log.applied()
}
