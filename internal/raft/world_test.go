// A world for the explorer: the real nodes on machines with disks, clocks that drift and
// links that lose, repeat, delay and reorder, all in virtual time and from one seed.
package raft

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// The bounds that the walks are played with, as a deployment's settings give them.
const (
	testCatchUpTime       = 4 * time.Second
	testServiceBound      = 4 * time.Second
	testStopGrace         = 6 * time.Second
	testTickInterval      = 20 * time.Millisecond
	testDiscoveryInterval = 300 * time.Millisecond
	testMessageDelay      = 2 * time.Millisecond
	testSyncTime          = 3 * time.Millisecond
	maxTraceLines         = 60
)

var testTimeouts = Timeouts{HeartbeatInterval: 40 * time.Millisecond, MinElectionTimeout: 200 * time.Millisecond, StallTimeout: 400 * time.Millisecond,
	ReplaceAfter: testCatchUpTime * 3 / 8, AuthorityLease: 800 * time.Millisecond}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (eh eventHeap) Len() int { return len(eh) }
func (eh eventHeap) Less(i, j int) bool {
	return eh[i].at < eh[j].at || eh[i].at == eh[j].at && eh[i].seq < eh[j].seq
}
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }
func (eh *eventHeap) Push(x any)   { *eh = append(*eh, x.(event)) }
func (eh *eventHeap) Pop() any {
	last := len(*eh) - 1
	e := (*eh)[last]
	*eh = (*eh)[:last]
	return e
}

type pendingBatch struct {
	list     [][]byte
	seq      uint64
	replaces bool
}

// machine is one machine: its process, if one runs, and what its disk holds.
type machine struct {
	w                *world
	addr             types.Addr
	zone             types.Zone
	node             *Node
	incarnation      int
	first            bool
	frozen           bool
	departed         bool // removed for good
	backlog          []func()
	synced           [][]byte
	unsynced         []pendingBatch
	syncSlowdown     int // times as long as a sync usually takes
	clockBase        types.MonoTime
	clockRate        float64
	stopping         bool     // SIGTERM was sent
	replaced         bool     // another comes in its place
	predecessor      *machine // the one that this one replaces
	startedAt        time.Duration
	recoveredAt      time.Duration // when it last came back from a loss
	faulty           bool          // a fault of the adversary is on it now
	pendingProposals []proposal
	discoveredAt     time.Duration // last look at who is there
	discovered       []DiscoveredPeer
	wipedIdentity    *Identity // for the planted bug of a wiped member that keeps its identity
	wipedCluster     *InitialCluster
}

type proposal struct {
	index types.Index
	term  types.Term
}

type link struct{ from, to types.Addr }

// world carries the machines. plant names a bug that is put in on purpose.
type world struct {
	now               time.Duration
	random            *rand.Rand
	queue             eventHeap
	nextEvent         int
	machines          []*machine
	cutLinks          map[link]bool
	lossProbability   float64
	repeatProbability float64
	plantedBug        string
	timeouts          Timeouts
	lossTolerance     int
	checker           checker
	trace             []string
	failure           string
	manual            bool // messages and syncs wait until a script or search releases them
	inFlight          []envelope
	founders          []types.Addr
	lastFaultAt       time.Duration // when the adversary last did something
}

type envelope struct {
	from, to types.Addr
	message  wire.Message
}

func newWorld(seed int64, count, zones int) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), cutLinks: map[link]bool{}, timeouts: testTimeouts, lossProbability: 0.01, repeatProbability: 0.02,
		lossTolerance: (count - 1) / 2}
	w.checker = newChecker()
	for i := range count {
		m := w.addMachine(fmt.Sprint("m", i+1), i%zones, true)
		if i < 3 {
			w.founders = append(w.founders, m.addr)
		}
	}
	return w
}

func (w *world) addMachine(addr string, zone int, first bool) *machine {
	m := &machine{w: w, addr: types.Addr(addr), zone: types.Zone(fmt.Sprint("z", zone+1)), first: first, syncSlowdown: 1,
		clockRate: 1 + (w.random.Float64()-0.5)*0.02}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.trace) > maxTraceLines {
		w.trace = w.trace[1:]
	}
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("%.3f s: ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	}
}

func (w *world) report() string {
	var b strings.Builder
	for _, line := range w.trace {
		b.WriteString(line + "\n")
	}
	for _, m := range w.machines {
		if m.node != nil {
			n := m.node
			fmt.Fprintf(&b, "%s %s %s term %d commit %d last %d config@%d %s\n", m.addr, n.self.ID, n.role, n.hardState.Term, n.log.commitIndex, n.log.lastIndex(), n.log.configIndex, describe(n.log.config))
		}
	}
	return b.String() + w.failure
}

func describe(c Configuration) string {
	var list []string
	for _, m := range c {
		s := string(m.Addr) + "/" + string(m.ID)[:4]
		if m.Provisional {
			s += "?"
		}
		if !m.Voter {
			s = "(" + s + ")"
		}
		list = append(list, s)
	}
	return strings.Join(list, " ")
}

func (w *world) schedule(d time.Duration, run func()) {
	w.nextEvent++
	heap.Push(&w.queue, event{w.now + d, w.nextEvent, run})
}

// run lets the world go on for so long, or until something is broken.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.failure == "" && len(w.queue) > 0 && w.queue[0].at <= end; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

// waitUntil runs until something holds, for so long at most.
func (w *world) waitUntil(d time.Duration, ok func() bool) bool {
	for end := w.now + d; w.now < end && w.failure == ""; {
		if ok() {
			return true
		}
		w.schedule(10*time.Millisecond, func() {})
		w.run(10 * time.Millisecond)
	}
	return ok()
}

func (m *machine) clock() types.Now {
	return types.Now{Mono: m.clockBase + types.MonoTime(float64(m.w.now)*m.clockRate), Wall: types.WallTime(m.w.now)}
}

func (m *machine) up() bool { return m.node != nil }

// start boots the machine's process from what its disk holds.
func (m *machine) start() {
	if m.departed || m.up() {
		return
	}
	w := m.w
	m.incarnation++
	m.clockBase = types.MonoTime(w.random.Int63n(1 << 40))
	m.frozen, m.stopping, m.backlog, m.pendingProposals, m.discoveredAt = false, false, nil, nil, -time.Hour
	m.startedAt, m.recoveredAt = w.now, w.now
	records := m.synced
	if m.wipedIdentity != nil && len(records) == 0 && w.plantedBug == plantWipedKeepsVote {
		for _, r := range []Record{{Identity: m.wipedIdentity}, {Cluster: m.wipedCluster}} {
			b, _ := json.Marshal(r)
			records = append(records, b)
		}
	}
	m.node = New(m.clock(), Options{
		Timeouts:  w.timeouts,
		Random:    rand.New(rand.NewSource(w.random.Int63())),
		Self:      Member{Addr: m.addr, Zone: m.zone},
		Bootstrap: BootstrapOptions{FirstStart: m.first, Founders: w.founders},
		NewID:     types.NewID(w.random),
	}, records)
	w.logf("%s starts as %s", m.addr, m.node.self.ID)
	life := m.incarnation
	var beat func()
	beat = func() {
		if m.incarnation == life && m.up() {
			m.runOrBuffer(func() { m.tick() })
			w.schedule(testTickInterval, beat)
		}
	}
	if !w.manual {
		w.schedule(time.Duration(w.random.Int63n(int64(testTickInterval))), beat)
	}
	m.step(func() {})
}

// runOrBuffer gives the process an event, at its thaw if it is frozen.
func (m *machine) runOrBuffer(run func()) {
	if m.frozen {
		if len(m.backlog) < 500 {
			m.backlog = append(m.backlog, run)
		}
		return
	}
	run()
}

func (m *machine) tick() {
	w := m.w
	if w.now-m.discoveredAt > testDiscoveryInterval {
		m.discoveredAt, m.discovered = w.now, nil
		for _, o := range w.machines {
			if o != m && o.up() && !o.frozen && !w.cutLinks[link{o.addr, m.addr}] && !w.cutLinks[link{m.addr, o.addr}] {
				m.discovered = append(m.discovered, DiscoveredPeer{Member{ID: o.node.self.ID, Addr: o.addr, Zone: o.zone}, o.node.clusterName})
			}
		}
	}
	m.node.SetDiscoveredPeers(m.discovered, nil)
	m.step(func() { m.node.Tick(m.clock()) })
}

// step runs one event of the process and carries out what it asks for.
func (m *machine) step(run func()) {
	w, n := m.w, m.node
	if n == nil || w.failure != "" {
		return
	}
	n.now = m.clock()
	w.injectBeforeStep(m)
	run()
	w.injectAfterStep(m)
	ready := n.Ready()
	for _, s := range ready.Messages {
		w.transmit(m.addr, s)
	}
	if ready.Records != nil {
		m.unsynced = append(m.unsynced, pendingBatch{ready.Records, ready.BatchNumber, ready.ReplaceLog})
		if len(m.unsynced) == 1 && !w.manual {
			m.scheduleSync()
		}
	}
	m.acknowledge()
	w.checker.step(w, m)
}

func (m *machine) scheduleSync() {
	w, life := m.w, m.incarnation
	takes := time.Duration(m.syncSlowdown) * (testSyncTime/2 + time.Duration(w.random.Int63n(int64(testSyncTime))))
	w.schedule(takes, func() {
		if m.incarnation == life && m.up() {
			m.completeSync()
		}
	})
}

// completeSync puts all that waits on the disk and tells the process so.
func (m *machine) completeSync() {
	seq := uint64(0)
	for _, b := range m.unsynced {
		m.store(b)
		seq = b.seq
	}
	m.unsynced = nil
	m.runOrBuffer(func() { m.step(func() { m.node.Synced(m.clock(), seq) }) })
}

func (m *machine) store(b pendingBatch) {
	if b.replaces {
		m.synced = nil
	}
	m.synced = append(m.synced, b.list...)
}

func (w *world) find(addr types.Addr) *machine {
	for _, m := range w.machines {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (w *world) transmit(from types.Addr, s wire.OutboundMessage) {
	if w.manual {
		w.inFlight = append(w.inFlight, envelope{from, s.To, s.Message})
		return
	}
	copies := 1
	if w.random.Float64() < w.lossProbability {
		copies = 0
	} else if w.random.Float64() < w.repeatProbability {
		copies = 2
	}
	for range copies {
		delay := testMessageDelay/4 + time.Duration(w.random.Int63n(int64(testMessageDelay)))
		if w.random.Float64() < 0.01 {
			delay += time.Duration(w.random.Int63n(int64(2 * time.Second)))
		}
		w.schedule(delay, func() { w.deliver(envelope{from, s.To, s.Message}) })
	}
}

func (w *world) deliver(x envelope) {
	m := w.find(x.to)
	if m == nil || !m.up() || w.cutLinks[link{x.from, x.to}] {
		return
	}
	m.runOrBuffer(func() {
		if m.up() {
			m.step(func() { m.node.Step(m.clock(), w.injectIntoMessage(m, x.message)) })
		}
	})
}
