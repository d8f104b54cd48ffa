// The simulator: one seeded world in virtual time that carries the daemons'
// own machines. Every node has clocks of its own that drift, and walls that
// jump; a frozen node gets nothing until it thaws and then all of it at once.
package trial

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"coppercourse/accord"
	"coppercourse/gate"
	"coppercourse/helm"
	"coppercourse/lore"
	"coppercourse/mark"
	"coppercourse/truth"
	"coppercourse/ward"
	"coppercourse/word"
)

const (
	tick   = 20 * time.Millisecond
	origin = int64(1_700_000_000_000_000_000) // the true wall clock at the start
	backed = 20_000
)

type node struct {
	w      *World
	addr   mark.Addr
	role   string
	loc    mark.Locality
	shard  mark.Shard
	m      word.Machine
	make   func(*node) word.Machine
	gen    int
	frozen bool
	queue  []func()
	base   mark.Stamp
	drift  float64
	wall   time.Duration
	disk   *disk
	asks   map[uint64]func(word.Answer)
	token  uint64
	closes bool
}

// World is one run.
type World struct {
	rnd   *rand.Rand
	now   int64
	seq   uint64
	plan  agenda
	cut   map[pair]bool
	sky   Weather
	nodes map[mark.Addr]*node
	order []mark.Addr
	hands []*hand
	Hist  History
	seeds []mark.Addr
	// Planted bugs: what is sent, asked and answered may be changed on its way,
	// and a note for which Tamper is false is never sent.
	Tamper func(s *word.Send) bool
	Bend   func(verb string, body *json.RawMessage)
	Twist  func(verb string, a *word.Answer)
}

func NewWorld(seed int64) *World {
	return &World{rnd: rand.New(rand.NewSource(seed)), cut: map[pair]bool{}, nodes: map[mark.Addr]*node{}}
}

// Run lets the world go on until a time.
func (w *World) Run(until time.Duration) {
	for len(w.plan) > 0 && w.plan[0].at <= int64(until) {
		p := heap.Pop(&w.plan).(pending)
		w.now = p.at
		p.run()
	}
	w.now = int64(until)
}

func (w *World) tell(h Happening) {
	h.At = w.now
	w.Hist.Add(h)
}

func (w *World) add(addr mark.Addr, role string, loc mark.Locality, make func(*node) word.Machine) *node {
	n := &node{w: w, addr: addr, role: role, loc: loc, make: make, asks: map[uint64]func(word.Answer){},
		base: mark.Stamp(w.rnd.Int63n(1 << 50)), drift: 1 + (w.rnd.Float64()-0.5)*4e-4}
	if role == "helm" {
		n.disk = &disk{w: w}
	}
	w.nodes[addr], w.order = n, append(w.order, addr)
	return n
}

func (n *node) mono() mark.Stamp { return n.base + mark.Stamp(float64(n.w.now)*n.drift) }

func (n *node) clock() mark.Now {
	return mark.Now{Mono: n.mono(), Wall: mark.Wall(origin + n.w.now + int64(n.wall))}
}

// boot starts the node's process.
func (n *node) boot() {
	if n.make == nil {
		return
	}
	n.gen++
	n.frozen, n.queue, n.closes = false, nil, false
	clear(n.asks)
	n.m = n.make(n)
	n.step(word.Event{})
	gen := n.gen
	var beat func()
	beat = func() {
		if n.gen == gen && n.m != nil {
			if !n.frozen {
				n.step(word.Event{})
			}
			n.w.at(tick, beat)
		}
	}
	n.w.at(time.Duration(n.w.rnd.Int63n(int64(tick))), beat)
}

// kill ends the process at once; what the disk had not synced is torn.
func (n *node) kill() {
	n.gen++
	n.m, n.frozen, n.queue = nil, false, nil
	if n.disk != nil {
		n.disk.power()
	}
}

// deliver gives the node an event, at the thaw if it is frozen.
func (n *node) deliver(run func()) {
	switch {
	case n.m == nil:
	case n.frozen:
		if len(n.queue) < backed {
			n.queue = append(n.queue, run)
		}
	default:
		run()
	}
}

func (n *node) freeze() { n.frozen = n.m != nil }

func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	list := n.queue
	n.queue = nil
	for _, run := range list {
		n.deliver(run)
	}
}

func (n *node) step(e word.Event) {
	e.Now = n.clock()
	out := n.m.Step(e)
	w, gen := n.w, n.gen
	for _, s := range out.Sends {
		if w.Tamper != nil && !w.Tamper(&s) {
			continue
		}
		w.carry(n.addr, s.To, func() {
			if t := w.nodes[s.To]; t != nil {
				note := s.Note
				t.deliver(func() { t.step(word.Event{Note: &note}) })
			}
		})
	}
	if out.Batch != nil {
		n.disk.put(write{out.Batch, out.Seq, out.Whole, func(seq uint64) {
			if n.gen == gen {
				n.deliver(func() { n.step(word.Event{Synced: seq}) })
			}
		}})
	}
	for _, a := range out.Answers {
		if back := n.asks[a.Token]; back != nil {
			delete(n.asks, a.Token)
			back(a)
		}
	}
	if n.closes && out.Idle {
		n.kill()
	}
}

// ask carries a request from an address to a node and the answer back.
func (w *World) ask(from, to mark.Addr, verb, arg string, body json.RawMessage, back func(word.Answer)) {
	if w.Bend != nil {
		w.Bend(verb, &body)
	}
	w.carry(from, to, func() {
		n := w.nodes[to]
		if n == nil {
			return
		}
		n.deliver(func() {
			n.token++
			n.asks[n.token] = func(a word.Answer) {
				if w.Twist != nil {
					w.Twist(verb, &a)
				}
				w.carry(to, from, func() { back(a) })
			}
			n.step(word.Event{Ask: &word.Ask{Token: n.token, Verb: verb, Arg: arg, Body: body}})
		})
	})
}

// chance gives a machine randomness of its own, from the world's.
func (w *World) chance() *rand.Rand { return rand.New(rand.NewSource(w.rnd.Int63())) }

func (w *World) helm(addr mark.Addr, loc mark.Locality) *node {
	return w.add(addr, "helm", loc, func(n *node) word.Machine {
		recs, keep, err := lore.Scan(n.disk.safe)
		if err != nil {
			recs, keep = nil, 0
		}
		n.disk.safe = n.disk.safe[:keep]
		core := accord.Defaults
		return helm.New(n.clock(), w.chance(), helm.Place{Addr: addr, Loc: loc, Seeds: w.seeds, Core: core, Truth: truth.Defaults}, recs)
	})
}

func (w *World) gate(addr mark.Addr, loc mark.Locality) *node {
	return w.add(addr, "gate", loc, func(n *node) word.Machine {
		return gate.New(n.clock(), w.chance(), gate.Place{Addr: addr, Loc: loc, Seeds: w.seeds})
	})
}

func (w *World) ward(addr mark.Addr, loc mark.Locality, m Make) *node {
	n := w.add(addr, "ward", loc, func(n *node) word.Machine {
		return ward.New(n.clock(), w.chance(), ward.Place{Addr: addr, Loc: loc, Shard: m.Shard, Seeds: w.seeds, Truth: truth.Defaults})
	})
	n.shard = m.Shard
	return n
}

// hand is a worker process in the world, and its calls.
type hand struct {
	node          *node // its clocks; it carries no machine
	ward          mark.Addr
	make          Make
	w             *Worker
	gen           int
	deaf, willing bool
}

func (w *World) worker(addr, ward mark.Addr, loc mark.Locality, m Make) *hand {
	h := &hand{ward: ward, make: m}
	h.node = w.add(addr, "worker", loc, nil)
	w.hands = append(w.hands, h)
	return h
}

func (h *hand) boot() {
	n := h.node
	h.gen++
	n.frozen, n.queue = false, nil
	h.w = NewWorker(h.make, mark.ID(fmt.Sprintf("%s.%d", n.addr, h.gen)), n.w.chance(), n.w.tell)
	h.w.Deaf, h.w.Willing = h.deaf, h.willing
	n.w.tell(Happening{What: Staying, Who: string(h.w.ID), Shard: h.make.Shard, Make: &h.make})
	gen := h.gen
	var beat func()
	beat = func() {
		if h.gen != gen || h.w == nil {
			return
		}
		if !n.frozen {
			if h.w.Tick(n.mono()); h.w.News {
				h.call()
			}
		}
		n.w.at(10*time.Millisecond, beat)
	}
	beat()
	h.call()
}

func (h *hand) kill() {
	if h.w == nil {
		return
	}
	h.node.w.tell(Happening{What: Died, Who: string(h.w.ID), Shard: h.make.Shard})
	h.gen++
	h.w = nil
	h.node.frozen, h.node.queue = false, nil
}

func (h *hand) freeze() {
	if h.w != nil && !h.node.frozen {
		h.node.frozen = true
		h.node.w.tell(Happening{What: Froze, Who: string(h.w.ID), Shard: h.make.Shard})
	}
}

func (h *hand) thaw() {
	if h.w == nil || !h.node.frozen {
		return
	}
	h.node.w.tell(Happening{What: Thawed, Who: string(h.w.ID), Shard: h.make.Shard})
	h.node.frozen = false
	h.w.Tick(h.node.mono())
	list := h.node.queue
	h.node.queue = nil
	for _, run := range list {
		run()
	}
	h.call()
}

// call makes a call and waits for its answer, or calls again after a while.
func (h *hand) call() {
	if h.w == nil || h.node.frozen {
		return
	}
	w, gen := h.node.w, h.gen
	p := h.w.Call(h.node.mono())
	on := func() bool { return h.gen == gen && h.w != nil && p.Call == h.w.call }
	w.ask(h.node.addr, h.ward, "poll", "", word.Body(p), func(a word.Answer) {
		take := func() {
			if !on() {
				return
			}
			var r truth.Answer
			if a.Fault == nil && json.Unmarshal(a.Body, &r) == nil {
				h.w.Take(h.node.mono(), r)
			}
			w.at(time.Millisecond, func() {
				if on() {
					h.call()
				}
			})
		}
		if h.node.frozen {
			h.node.queue = append(h.node.queue, take)
			return
		}
		take()
	})
	w.at(400*time.Millisecond, func() {
		if on() {
			h.call()
		}
	})
}

// leave has the worker say that it is going, or is not.
func (h *hand) leave(on bool) {
	if h.w == nil || h.w.Leave == on {
		return
	}
	h.w.Leave = on
	what := Staying
	if on {
		what = Leaving
	}
	h.node.w.tell(Happening{What: what, Who: string(h.w.ID), Shard: h.make.Shard})
}
