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
	testCatchUp  = 4 * time.Second
	testAck      = 4 * time.Second
	testGrace    = 6 * time.Second
	testTick     = 20 * time.Millisecond
	testDiscover = 300 * time.Millisecond
	testDelay    = 2 * time.Millisecond
	testSync     = 3 * time.Millisecond
	traceLines   = 60
)

var testTimeouts = Timeouts{Heartbeat: 40 * time.Millisecond, ElectionMin: 200 * time.Millisecond, Stall: 400 * time.Millisecond,
	ReplaceAfter: testCatchUp * 3 / 8, Authority: 800 * time.Millisecond}

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
	w        *world
	addr     types.Addr
	zone     types.Zone
	node     *Node
	life     int
	first    bool
	frozen   bool
	gone     bool // removed for good
	backlog  []func()
	synced   [][]byte
	pending  []pendingBatch
	slow     int // times as long as a sync usually takes
	base     types.MonoTime
	drift    float64
	stops    bool     // SIGTERM was sent
	replaced bool     // another comes in its place
	former   *machine // the one that this one replaces
	starts   time.Duration
	backAt   time.Duration // when it last came back from a loss
	faulty   bool          // a fault of the adversary is on it now
	waits    []proposal
	seen     time.Duration // last look at who is there
	known    []Discovered
	oldID    *Identity // for the planted bug of a wiped member that keeps its identity
	oldName  *BootstrapConfig
}

type proposal struct {
	index types.Index
	term  types.Term
}

type link struct{ from, to types.Addr }

// world carries the machines. plant names a bug that is put in on purpose.
type world struct {
	now      time.Duration
	rnd      *rand.Rand
	queue    eventHeap
	seq      int
	machines []*machine
	cut      map[link]bool
	loss     float64
	repeat   float64
	plant    string
	timeouts Timeouts
	tolerate int
	check    checker
	trace    []string
	failure  string
	manual   bool // messages and syncs wait until a script or search releases them
	mail     []mail
	founders []types.Addr
	lastHurt time.Duration // when the adversary last did something
}

type mail struct {
	from, to types.Addr
	message  wire.Message
}

func newWorld(seed int64, count, zones int) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), cut: map[link]bool{}, timeouts: testTimeouts, loss: 0.01, repeat: 0.02,
		tolerate: (count - 1) / 2}
	w.check = newChecker()
	for i := range count {
		m := w.addMachine(fmt.Sprint("m", i+1), i%zones, true)
		if i < 3 {
			w.founders = append(w.founders, m.addr)
		}
	}
	return w
}

func (w *world) addMachine(addr string, zone int, first bool) *machine {
	m := &machine{w: w, addr: types.Addr(addr), zone: types.Zone(fmt.Sprint("z", zone+1)), first: first, slow: 1,
		drift: 1 + (w.rnd.Float64()-0.5)*0.02}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.trace) > traceLines {
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
			fmt.Fprintf(&b, "%s %s %s term %d commit %d last %d config@%d %s\n", m.addr, n.self.ID, n.role, n.voteRecord.Term, n.commitIndex, n.lastIndex(), n.configIndex, describe(n.config))
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

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

// run lets the world go on for so long, or until something is broken.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.failure == "" && len(w.queue) > 0 && w.queue[0].at <= end; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

// waits runs until something holds, for so long at most.
func (w *world) waits(d time.Duration, ok func() bool) bool {
	for end := w.now + d; w.now < end && w.failure == ""; {
		if ok() {
			return true
		}
		w.after(10*time.Millisecond, func() {})
		w.run(10 * time.Millisecond)
	}
	return ok()
}

func (m *machine) clock() types.Now {
	return types.Now{Mono: m.base + types.MonoTime(float64(m.w.now)*m.drift), Wall: types.WallTime(m.w.now)}
}

func (m *machine) up() bool { return m.node != nil }

// start boots the machine's process from what its disk holds.
func (m *machine) start() {
	if m.gone || m.up() {
		return
	}
	w := m.w
	m.life++
	m.base = types.MonoTime(w.rnd.Int63n(1 << 40))
	m.frozen, m.stops, m.backlog, m.waits, m.seen = false, false, nil, nil, -time.Hour
	m.starts, m.backAt = w.now, w.now
	records := m.synced
	if m.oldID != nil && len(records) == 0 && w.plant == plantWipedKeepsVote {
		for _, r := range []Record{{Identity: m.oldID}, {Bootstrap: m.oldName}} {
			b, _ := json.Marshal(r)
			records = append(records, b)
		}
	}
	m.node = New(m.clock(), w.timeouts, rand.New(rand.NewSource(w.rnd.Int63())), Member{Addr: m.addr, Zone: m.zone},
		Bootstrap{First: m.first, Founders: w.founders}, records, types.NewID(w.rnd))
	w.logf("%s starts as %s", m.addr, m.node.self.ID)
	life := m.life
	var beat func()
	beat = func() {
		if m.life == life && m.up() {
			m.deliver(func() { m.tick() })
			w.after(testTick, beat)
		}
	}
	if !w.manual {
		w.after(time.Duration(w.rnd.Int63n(int64(testTick))), beat)
	}
	m.step(func() {})
}

// deliver gives the process an event, at its thaw if it is frozen.
func (m *machine) deliver(run func()) {
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
	if w.now-m.seen > testDiscover {
		m.seen, m.known = w.now, nil
		for _, o := range w.machines {
			if o != m && o.up() && !o.frozen && !w.cut[link{o.addr, m.addr}] && !w.cut[link{m.addr, o.addr}] {
				m.known = append(m.known, Discovered{Member{ID: o.node.self.ID, Addr: o.addr, Zone: o.zone}, o.node.name})
			}
		}
	}
	m.node.SetDiscovered(m.known, nil)
	m.step(func() { m.node.Tick(m.clock()) })
}

// step runs one event of the process and carries out what it asks for.
func (m *machine) step(run func()) {
	w, n := m.w, m.node
	if n == nil || w.failure != "" {
		return
	}
	n.now = m.clock()
	w.plantBefore(m)
	run()
	w.plantAfter(m)
	sends, batch, seq, replaces := n.Out()
	for _, s := range sends {
		w.carry(m.addr, s)
	}
	if batch != nil {
		m.pending = append(m.pending, pendingBatch{batch, seq, replaces})
		if len(m.pending) == 1 && !w.manual {
			m.syncSoon()
		}
	}
	m.acknowledge()
	w.check.step(w, m)
}

func (m *machine) syncSoon() {
	w, life := m.w, m.life
	takes := time.Duration(m.slow) * (testSync/2 + time.Duration(w.rnd.Int63n(int64(testSync))))
	w.after(takes, func() {
		if m.life == life && m.up() {
			m.sync()
		}
	})
}

// sync puts all that waits on the disk and tells the process so.
func (m *machine) sync() {
	seq := uint64(0)
	for _, b := range m.pending {
		m.store(b)
		seq = b.seq
	}
	m.pending = nil
	m.deliver(func() { m.step(func() { m.node.Synced(m.clock(), seq) }) })
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

func (w *world) carry(from types.Addr, s wire.Send) {
	if w.manual {
		w.mail = append(w.mail, mail{from, s.To, s.Message})
		return
	}
	copies := 1
	if w.rnd.Float64() < w.loss {
		copies = 0
	} else if w.rnd.Float64() < w.repeat {
		copies = 2
	}
	for range copies {
		delay := testDelay/4 + time.Duration(w.rnd.Int63n(int64(testDelay)))
		if w.rnd.Float64() < 0.01 {
			delay += time.Duration(w.rnd.Int63n(int64(2 * time.Second)))
		}
		w.after(delay, func() { w.hand(mail{from, s.To, s.Message}) })
	}
}

func (w *world) hand(x mail) {
	m := w.find(x.to)
	if m == nil || !m.up() || w.cut[link{x.from, x.to}] {
		return
	}
	m.deliver(func() {
		if m.up() {
			m.step(func() { m.node.Receive(m.clock(), w.plantMessage(m, x.message)) })
		}
	})
}
