// The member itself: what it holds, how it starts from its disk records, what
// it does as time passes, and the two lists it gathers in a step (what to send
// and what to write). Sends that rest on something written wait until the
// shell tells that the write is synced.
package raft

import (
	"encoding/json"
	"math/rand"
	"sort"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type role string

const (
	empty  role = "empty"
	learn  role = "learner"
	follow role = "follower"
	stand  role = "candidate"
	lead   role = "leader"
	out    role = "out"
)

type held struct {
	seq  uint64
	term types.Term
	send wire.Send
}

type track struct {
	next, match types.Index
	round       types.Stamp
	heard       types.Stamp
	off         types.Wall
	sent        types.Stamp
	part        int // of the snapshot that it has
	flow        flow
}

// Node is one member. It is owned by one goroutine and does no I/O.
type Node struct {
	pace   Timeouts
	rnd    *rand.Rand
	self   Member
	origin Bootstrap

	name   string
	vow    Vow
	role   role
	why    string
	snap   Snap
	coming Snap // a leader's, not whole yet
	grown  int  // bytes of entries since the snapshot
	log    []Entry
	roll   Roll
	rollAt types.Index
	commit types.Index
	synced types.Index

	wrote, done uint64
	vowSeq      uint64
	marks       []struct {
		seq uint64
		at  types.Index
	}
	held  []held
	stall types.Stamp

	now     types.Now
	tick    types.Tick
	tickAt  types.Stamp
	tickOf  types.Term // whose clock it follows
	boot    types.Stamp
	heard   types.Stamp
	wait    types.Stamp
	leader  types.ID
	leadAt  types.Addr
	votes   map[types.ID]bool
	led     types.Stamp // when this member led last
	ruled   types.Stamp // until when an earlier leader can have had authority
	pre     bool
	peers   map[types.ID]*track
	first   types.Index
	calm    types.Stamp // when a voter was last silent, to this leader
	pulse   types.Stamp
	heir    types.ID
	heirBy  types.Stamp
	going   bool // this member is about to stop and takes no duty
	pledge  *Charter
	pledged types.Stamp
	offers  map[types.ID]bool
	seen    []Seen
	others  []types.Addr // daemons that are no controllers
	asked   types.Stamp

	sends   []wire.Send
	writes  []Record
	whole   bool
	instead []Record // of a compaction: what would be appended without it; nil if the file must be replaced
	loading bool     // the state is still being read back
}

// New starts a member from the records of its disk. fresh is the identity to
// take if the folder is empty; whether it is the first start of all is kept with it.
func New(now types.Now, pace Timeouts, rnd *rand.Rand, me Member, o Bootstrap, recs [][]byte, fresh types.ID) *Node {
	c := &Node{pace: pace, rnd: rnd, self: me, origin: o, role: empty, now: now, boot: now.Mono, tickAt: now.Mono,
		heard: now.Mono, led: never, peers: map[types.ID]*track{}, offers: map[types.ID]bool{}}
	c.self.ID = ""
	for _, b := range recs {
		var r Record
		if len(c.snap.Parts) < c.snap.Count {
			c.snap.Parts = append(c.snap.Parts, b)
		} else if json.Unmarshal(b, &r) == nil {
			c.load(r)
		}
	}
	if c.self.ID == "" {
		c.mint(fresh)
	}
	c.synced, c.pledged = c.last(), now.Mono
	if n := len(c.log); n > 0 && c.log[n-1].Term > c.vow.Term {
		c.vow = Vow{Term: c.log[n-1].Term}
	}
	c.settle()
	c.rest()
	return c
}

func (c *Node) mint(id types.ID) {
	c.self.ID, c.pledge, c.offers = id, nil, map[types.ID]bool{}
	c.self.Guest = !c.origin.First
	c.write(Record{Self: &Self{id, c.origin.First}})
}

func (c *Node) load(r Record) {
	if r.Self != nil {
		c.self.ID, c.self.Guest, c.pledge = r.Self.ID, !r.Self.First, nil
		c.origin.First = r.Self.First
	}
	if r.Pledge != nil {
		c.pledge = r.Pledge
	}
	if r.Charter != nil {
		c.name, c.roll, c.snap.Roll, c.pledge = r.Charter.Name, r.Charter.Roll, r.Charter.Roll, nil
	}
	if r.Vow != nil {
		c.vow = *r.Vow
	}
	if r.Snap != nil {
		c.snap, c.log, c.commit = *r.Snap, nil, r.Snap.Index
	}
	if len(r.Entries) > 0 {
		c.put(r.Entries)
	}
	c.reroll()
}

// put lays entries over the log from their first index on.
func (c *Node) put(list []Entry) {
	i := list[0].Index
	if i <= c.snap.Index {
		return
	}
	c.log = append(c.log[:i-c.snap.Index-1], list...)
	if i <= c.rollAt {
		c.reroll()
		return
	}
	c.enroll(list)
}

func (c *Node) reroll() {
	c.roll, c.rollAt = c.snap.Roll, c.snap.Index
	c.enroll(c.log)
}

func (c *Node) enroll(list []Entry) {
	for _, e := range list {
		if e.Roll != nil {
			c.roll, c.rollAt = e.Roll, e.Index
		}
	}
}

// settle finds the role that the roll gives when this member does not lead.
func (c *Node) settle() {
	if c.role == out {
		return
	}
	m, ok := c.roll.Find(c.self.ID)
	switch {
	case c.name == "":
		c.role = empty
	case ok && m.Vote:
		c.role = follow
	default:
		c.role = learn
	}
}

func (c *Node) rest() {
	c.wait = c.now.Mono.Add(c.pace.Least + c.span(c.pace.Least))
}

func (c *Node) last() types.Index { return c.snap.Index + types.Index(len(c.log)) }

func (c *Node) term(i types.Index) (types.Term, bool) {
	switch {
	case i == c.snap.Index:
		return c.snap.Term, true
	case i < c.snap.Index || i > c.last():
		return 0, false
	}
	return c.log[i-c.snap.Index-1].Term, true
}

func (c *Node) write(r Record) {
	if len(c.writes) == 0 {
		c.wrote++
		if c.wrote == c.done+1 {
			c.stall = c.now.Mono
		}
	}
	c.writes = append(c.writes, r)
	if c.instead != nil {
		c.instead = append(c.instead, r)
	}
}

func (c *Node) swear(v Vow) {
	c.vow = v
	c.write(Record{Vow: &v})
	c.vowSeq = c.wrote
}

// say sends once the vow is on disk; after sends once all written so far is.
func (c *Node) say(to types.Addr, kind string, body any) { c.hold(c.vowSeq, to, kind, body) }

func (c *Node) hold(seq uint64, to types.Addr, kind string, body any) {
	s := wire.Make(c.self.Addr, to, kind, body)
	if seq <= c.done {
		c.sends = append(c.sends, s)
		return
	}
	if kind == wire.Append2 && c.stuck() {
		c.dropHeld(s)
	}
	c.held = append(c.held, held{seq, c.vow.Term, s})
}

// Synced tells that all batches up to seq are on disk.
func (c *Node) Synced(now types.Now, seq uint64) {
	c.now, c.done, c.stall = now, max(c.done, seq), now.Mono
	for len(c.marks) > 0 && c.marks[0].seq <= c.done {
		c.synced = max(c.synced, c.marks[0].at)
		c.marks = c.marks[1:]
	}
	kept := c.held[:0]
	for _, h := range c.held {
		if h.seq > c.done {
			kept = append(kept, h)
		} else if h.term == c.vow.Term {
			c.sends = append(c.sends, h.send)
		}
	}
	c.held = kept
	if c.role == lead {
		c.advance()
	}
}

// Out drains what the step gathered: sends, one batch of records with its
// number, and whether the batch replaces the file.
func (c *Node) Out() (sends []wire.Send, batch [][]byte, seq uint64, whole bool) {
	if c.role == lead {
		c.led = c.now.Mono
		c.flush()
	}
	batch = encode(c.writes)
	sends, seq, whole = c.sends, c.wrote, c.whole
	c.sends, c.writes, c.whole, c.instead = nil, nil, false, nil
	return
}

// encode writes records as they stand in the file.
func encode(list []Record) (batch [][]byte) {
	for _, r := range list {
		if r.part != nil {
			batch = append(batch, r.part)
			continue
		}
		b, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		batch = append(batch, b)
	}
	return batch
}

// Advance sets the time of the step that begins, whatever its event is: Firm and
// Grace go by it.
func (c *Node) Advance(now types.Now) { c.now = now }

// Tick lets time pass.
func (c *Node) Tick(now types.Now) {
	c.now = now
	if c.role == lead {
		c.duty()
		return
	}
	if c.role == empty {
		c.gather()
	}
	if c.role != empty && c.role != out && now.Mono.Sub(c.heard) > c.pace.Dead/2 && now.Mono.Sub(c.asked) > c.pace.Stall {
		c.asked = now.Mono
		c.knock()
	}
	if (c.role == follow || c.role == stand) && now.Mono >= c.wait && !c.stuck() && !c.loading && !c.going {
		c.campaign(true, false)
	}
}

// Clock is the cluster's own time as this member knows it.
func (c *Node) Clock() types.Tick { return c.tick.Add(c.now.Mono.Sub(c.tickAt)) }

// follow takes the clock of the leader of a term. What a leader says is older
// by its way here, so a follower's clock is never ahead of its leader's; one
// kept from an earlier leader might be, and is given up. Whoever leads next has
// followed the last leader that committed anything, so the cluster's clock may
// fall behind at a change of leader, by a message's delay, and never runs ahead.
func (c *Node) follow(t types.Term, tick types.Tick) {
	if t != c.tickOf {
		c.tickOf, c.tick, c.tickAt = t, tick, c.now.Mono
		return
	}
	c.Wind(tick)
}

// Wind moves the clock forward to at least t; what peers told of their walls
// was counted from where the clock stood, and moves with it.
func (c *Node) Wind(t types.Tick) {
	by := t - c.Clock()
	if by <= 0 {
		return
	}
	c.tick, c.tickAt = t, c.now.Mono
	for _, m := range c.peers {
		m.off -= types.Wall(by)
	}
}

// Offs gives how far each voter's wall clock is from this leader's clock. What
// a peer told is older by its way here, so it can only seem too small.
func (c *Node) Offs() []types.Wall {
	list := []types.Wall{c.now.Wall - types.Wall(c.Clock())}
	for id, t := range c.peers {
		if m, ok := c.roll.Find(id); ok && m.Vote && id != c.self.ID && c.now.Mono.Sub(t.heard) < c.pace.Stall {
			list = append(list, t.off)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (c *Node) ID() types.ID              { return c.self.ID }
func (c *Node) Name() string              { return c.name }
func (c *Node) Role() string              { return string(c.role) }
func (c *Node) Term() types.Term          { return c.vow.Term }
func (c *Node) Leader() types.Addr        { return c.leadAt }
func (c *Node) Leads() bool               { return c.role == lead }
func (c *Node) Why() string               { return c.why }
func (c *Node) Roll() Roll                { return c.roll }
func (c *Node) RollAt() types.Index       { return c.rollAt }
func (c *Node) Commit() types.Index       { return c.commit }
func (c *Node) State() Snap               { return c.snap }
func (c *Node) Grown() int                { return c.grown }
func (c *Node) Entry(i types.Index) Entry { return c.log[i-c.snap.Index-1] }
