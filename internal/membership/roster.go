// Package membership is the roster: who is there, where, as what, and how sound each
// seems, so that any one live address leads to all the rest, the present controllers
// among them. Nothing that must be right rests on it.
//
// A daemon says little while all is well, however many there are. Any message
// from a peer shows that it lives. Gateways and controllers ask the leader for the cards
// that changed since they last asked; agents keep the controllers and a few others and
// ask one of those now and then. Who hears of no leader asks more widely, and a
// new leader tells all it knows of. This file is when something is said.
package membership

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Card is what a daemon says of itself. V counts its changes: its owner raises
// it, also past what it hears others have of an earlier process.
type Card struct {
	Addr  types.Addr `json:"addr"`
	ID    types.ID   `json:"id,omitempty"`
	Role  string     `json:"role"`
	Zone  types.Zone `json:"locality"`
	Name  string     `json:"cluster,omitempty"`
	Term  types.Term `json:"term,omitempty"`
	Leads bool       `json:"leads,omitempty"`
	Part  string     `json:"part,omitempty"`
	Ready bool       `json:"ready"`
	Issue string     `json:"program,omitempty"`
	V     uint64     `json:"v,omitempty"`
}

// Mate is a card and how long ago its daemon was last heard of.
type Peer struct {
	Card
	AgeMS int64 `json:"age_ms"`
}

// Timings and bounds are ours.
const (
	Beat    = 500 * time.Millisecond
	Healthy = 3 * time.Second
	Forget  = 24 * time.Hour
	quiet   = 1500 * time.Millisecond // a leader not heard for so long is looked for
	silent  = 10 * time.Second        // a peer not heard by the leader for so long is told to the others
	repair  = 10 * time.Minute        // between two exchanges of all cards with the leader
	loud    = 3 * time.Second         // how long a new leader tells those that it has not heard yet
	few     = 4                       // peers of each kind that an agent keeps
	part    = 64                      // changed cards in a hello
	bound   = 20_000
)

// pause is how many beats go by between two questions of a daemon that hears
// the leader.
var pause = map[string]uint64{"controller": 1, "gateway": 4, "agent": 16}

// Roster is one daemon's view.
type Roster struct {
	rnd         *rand.Rand
	me          Card
	seeds       []types.Addr
	all         map[types.Addr]*entry
	list        []types.Addr // the keys of all, in order
	controllers []types.Addr // those of the controllers
	agents      map[string]*entry
	zones       map[types.Zone]*zoneState
	sums        Sums
	seq         uint64
	log         []change
	now         types.Stamp
	told        types.Stamp
	beats       uint64
	turn        int
	chatted     types.Addr  // the peer that this agent asked last
	chattedAt   types.Stamp // and when
	led         types.Stamp // since when this daemon leads
	followed    types.Addr  // whose changes are followed: the leader
	taken       uint64      // how far
	odd         int         // answers in a row that showed other cards there than here
	whole       types.Stamp // when all were last asked for
	vouch       types.Stamp // when the leader last told all that had changed
	asked       uint64      // the version of this daemon's card in its last question to the leader
	known       uint64      // the one that the leader has answered to
	guest       Peer        // the agent that asked last, and when
	came        types.Stamp
	sends       []wire.Send
}

const never = types.Stamp(-1 << 61)

func New(rnd *rand.Rand, me Card, seeds []types.Addr) *Roster {
	me.V = 1 + uint64(rnd.Intn(1<<20))
	r := &Roster{rnd: rnd, me: me, seeds: seeds, all: map[types.Addr]*entry{}, agents: map[string]*entry{}, zones: map[types.Zone]*zoneState{},
		told: never, led: never, whole: never, vouch: never}
	r.sums.add(me)
	return r
}

// keeps tells whether this daemon keeps the cards of all.
func (r *Roster) keeps() bool { return r.me.Role != "agent" }

// Me sets this daemon's card; a new leader is told to all at once.
func (r *Roster) Me(c Card) {
	c.V = r.me.V
	same := c
	if c.Role != "controller" {
		same.Name = r.me.Name // what it holds for the cluster's name is no news
	}
	if !c.Leads {
		same.Term = r.me.Term
	}
	if same == r.me {
		r.me = c
		return
	}
	leads := c.Leads && !r.me.Leads
	r.sums.drop(r.me)
	c.V++
	r.me = c
	r.sums.add(c)
	if leads {
		r.led = r.now
		r.proclaim()
	}
}

// proclaim tells that this daemon leads to all not heard since it does.
func (r *Roster) proclaim() {
	n := wire.Make(r.me.Addr, "", wire.Hello, hello{Me: r.me}).Message
	for _, a := range r.list {
		if r.all[a].direct <= r.led {
			r.sends = append(r.sends, wire.Send{To: a, Message: n})
		}
	}
}

// Tick says what is due.
func (r *Roster) Tick(now types.Stamp) {
	r.now = now
	if now.Sub(r.told) < Beat {
		return
	}
	r.told = now
	r.beats++
	lead := r.Lead()
	switch due := r.beats%pause[r.me.Role] == 0; {
	case lead == r.me.Addr:
		r.watch()
	case lead == "" || now.Sub(r.all[lead].direct) > quiet:
		r.seek()
	case due && r.keeps() || r.known != r.me.V:
		r.ask(lead)
	case due:
		r.chat()
	}
	if r.me.Role == "controller" && r.beats%2 == 0 {
		if a, ok := r.some("agent"); ok { // so that agents come to know of new controllers
			r.say(a, r.base())
		}
	}
	if r.beats%64 == 0 {
		for _, a := range slices.Clone(r.list) {
			if now.Sub(r.last(r.all[a])) > Forget {
				r.drop(a)
			}
		}
	}
}

// watch is the leader's: a peer that falls silent, or comes back, is a change.
func (r *Roster) watch() {
	if r.now.Sub(r.led) < loud {
		r.proclaim()
	}
	for _, a := range r.list {
		e := r.all[a]
		gone := r.now.Sub(e.heard) >= silent
		if e.silent != gone && (!gone || r.now.Sub(r.led) >= silent) {
			e.silent = gone
			r.changed(e)
		}
	}
}

// seek asks for the leader: seeds, controllers (an agent one of them in turn, since
// there are many agents), and a peer by chance.
func (r *Roster) seek() {
	asked := map[types.Addr]bool{r.me.Addr: true}
	ask := func(a types.Addr) {
		if !asked[a] {
			asked[a] = true
			r.ask(a)
		}
	}
	for _, s := range r.seeds {
		if e := r.all[s]; e == nil || r.now.Sub(e.direct) > Healthy {
			ask(s)
		}
	}
	for i, a := range r.controllers {
		if r.keeps() || i == r.turn%len(r.controllers) {
			ask(a)
		}
	}
	r.turn++
	if a, ok := r.some(""); ok {
		ask(a)
	}
}

// chat is an agent's question to one of the few peers that it keeps. A peer that left
// the last question unanswered while the leader was heard is gone, and forgotten.
func (r *Roster) chat() {
	if e := r.all[r.chatted]; e != nil && e.card.Role == "agent" && e.direct < r.chattedAt {
		r.drop(r.chatted)
	}
	a, ok := r.some("agent")
	if !ok {
		a, ok = r.some("")
	}
	if ok {
		r.chatted, r.chattedAt = a, r.now
		r.ask(a)
	}
}

// some picks a peer of a role, or of any, by chance.
func (r *Roster) some(role string) (types.Addr, bool) {
	if len(r.list) == 0 {
		return "", false
	}
	from := r.rnd.Intn(len(r.list))
	for i := range r.list {
		if a := r.list[(from+i)%len(r.list)]; role == "" || r.all[a].card.Role == role {
			return a, true
		}
	}
	return "", false
}

// Out drains what there is to send.
func (r *Roster) Out() []wire.Send {
	s := r.sends
	r.sends = nil
	return s
}
