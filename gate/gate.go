// Package gate is the callers' and operators' door as one state machine. It
// checks what needs no leader, grants entry, hands over the rest to the leader
// and answers every request it has read: with the leader's answer, or, when it
// gives up, at once with when to come back.
package gate

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/kin"
	"coppercourse/mark"
	"coppercourse/news"
	"coppercourse/trail"
	"coppercourse/word"
)

// Place is where a gate runs.
type Place struct {
	Addr  mark.Addr
	Loc   mark.Locality
	Seeds []mark.Addr
	Issue string
	Stale time.Duration // how old a confirmation of the table may be; 0 is news.Stale
}

// Bounds and timings, ours.
const (
	Crowd = 512                     // requests under way at once
	Leg   = 700 * time.Millisecond  // how long one helm is waited for
	Limit = 2500 * time.Millisecond // how long a request is worked on
	early = 50 * time.Millisecond   // before whoever asks has given up
)

type call struct {
	ask   word.Ask
	from  mark.Stamp
	limit time.Duration
	sent  mark.Stamp
	to    mark.Addr
	legs  int
	open  bool // somebody asked before has not answered, and may have taken it
}

// Gate is one door.
type Gate struct {
	place Place
	now   mark.Now
	kin   *kin.Roster
	news  *news.Reader
	Trail *trail.Ring
	calls map[uint64]*call
	next  uint64
	turn  int
	lost  mark.Stamp // since when no leader is known; 0 when one is
	drain bool
	told  []report
	sends []word.Send
	outs  []word.Answer
	Sums  Sums
	pace  float64 // requests answered a second, to tell when to come back
	last  mark.Stamp
}

// Sums are counters since start.
type Sums struct {
	Calls, Answered, Refused, GivenUp, Legs, Crowded uint64
}

func New(now mark.Now, rnd *rand.Rand, p Place) *Gate {
	if p.Stale == 0 {
		p.Stale = news.Stale
	}
	g := &Gate{place: p, now: now, news: news.NewReader(p.Addr, p.Stale), calls: map[uint64]*call{}, Trail: trail.New(),
		next: rnd.Uint64() >> 12, lost: now.Mono}
	g.kin = kin.New(rnd, g.card(), p.Seeds)
	return g
}

func (g *Gate) card() kin.Card {
	c := kin.Card{Addr: g.place.Addr, Role: "gate", Loc: g.place.Loc, Ready: g.Ready(), Issue: g.place.Issue}
	if g.kin != nil {
		c.Name = g.kin.Cluster()
	}
	return c
}

// Ready tells whether the platform may send callers here.
func (g *Gate) Ready() bool {
	return !g.drain && g.kin != nil && g.kin.Lead() != "" && g.news.Fresh(g.now.Mono)
}

// Table is the table as the gate has it, and whether it may be decided by.
func (g *Gate) Table() (blueprint.Table, bool) { return g.news.Table, g.news.Fresh(g.now.Mono) }

// Step takes one event.
func (g *Gate) Step(e word.Event) word.Out {
	g.now = e.Now
	switch {
	case e.Note != nil:
		g.take(*e.Note)
	case e.Ask != nil:
		g.enter(*e.Ask)
	case e.Close:
		g.drain = true
	default:
		g.tick()
	}
	g.sends = append(g.sends, g.news.Tick(g.now.Mono, g.kin.Lead())...)
	out := word.Out{Sends: append(g.sends, g.kin.Out()...), Answers: g.outs, Idle: g.drain && len(g.calls) == 0}
	g.sends, g.outs = nil, nil
	return out
}

func (g *Gate) take(n word.Note) {
	switch {
	case g.kin.Take(g.now.Mono, n):
	case n.Kind == word.Told:
		if g.news.Take(n) {
			g.Trail.Add(g.now.Wall, trail.Table(g.news.Table.Edition), "in use here")
		}
	case n.Kind == word.Status:
		g.keep(n)
	case n.Kind == word.Reply:
		if r, ok := word.Read[word.ReplyBody](n); ok {
			g.reply(n.From, r)
		}
	}
}

func (g *Gate) tick() {
	g.kin.Me(g.card())
	g.kin.Tick(g.now.Mono)
	g.repeat()
	if g.kin.Lead() != "" {
		g.lost = 0
	} else if g.lost == 0 {
		g.lost = g.now.Mono
	}
	for _, id := range slices.Sorted(maps.Keys(g.calls)) {
		c := g.calls[id]
		switch {
		case g.now.Mono.Sub(c.from) >= c.limit:
			g.Sums.GivenUp++
			g.fail(id, g.giveUp(c))
		case c.to == "" || g.now.Mono.Sub(c.sent) >= Leg:
			g.send(id, c, "")
		}
	}
}

// giveUp says which it is: nobody has seen the request, or somebody may have.
func (g *Gate) giveUp(c *call) *fault.Fault {
	if c.open || c.to != "" {
		return fault.New(fault.Unsure, "", "no answer from the leader; the request may have been taken; send the same again").After(g.back())
	}
	return fault.New(fault.NoLead, "", "no leader can be reached from here").After(g.back())
}

// back estimates when a leader will be reachable: an election is short, a cut
// that has lasted for long is likely to last as long again.
func (g *Gate) back() time.Duration {
	if g.lost == 0 {
		return time.Second
	}
	return min(30*time.Second, 2*time.Second+g.now.Mono.Sub(g.lost)/4)
}

// enter grants entry or refuses it.
func (g *Gate) enter(a word.Ask) {
	g.Sums.Calls++
	switch f := g.refuse(a); {
	case f != nil:
		g.Sums.Refused++
		g.outs = append(g.outs, word.Answer{Token: a.Token, Fault: f})
		return
	case a.Verb == "mates":
		g.outs = append(g.outs, word.Answer{Token: a.Token, Code: 200, Body: word.Body(g.kin.Mates())})
		return
	}
	g.next++
	c := &call{ask: a, from: g.now.Mono, limit: Limit}
	if a.Limit > 0 {
		c.limit = min(Limit, max(a.Limit-early, a.Limit/2))
	}
	g.calls[g.next] = c
	if a.Verb == "job.put" {
		g.Trail.Add(g.now.Wall, trail.Job(mark.JobID(a.Arg)), "granted entry")
	}
	g.send(g.next, c, "")
}

func (g *Gate) refuse(a word.Ask) *fault.Fault {
	switch {
	case a.Verb == "mates":
		return nil
	case len(g.calls) >= Crowd:
		g.Sums.Crowded++
		return fault.New(fault.Crowd, "", "this gate has all the requests under way that it may have").
			After(time.Duration(float64(len(g.calls)) / max(g.pace, 1) * float64(time.Second)))
	case g.lost != 0 && g.now.Mono.Sub(g.lost) > Limit:
		return fault.New(fault.NoLead, "", "no leader can be reached from here").After(g.back())
	}
	return nil
}

// send hands a call over to the leader, or to the helms in turn.
func (g *Gate) send(id uint64, c *call, hint mark.Addr) {
	to := hint
	if to == "" {
		to = g.kin.Lead()
	}
	if helms := g.kin.Helms(); len(helms) > 0 && (to == "" || to == c.to && hint == "") {
		g.turn++
		to = helms[g.turn%len(helms)].Addr
	}
	if to == "" {
		return
	}
	c.open = c.open || c.to != ""
	c.to, c.sent = to, g.now.Mono
	c.legs++
	g.Sums.Legs++
	g.sends = append(g.sends, word.Make(g.place.Addr, to, word.Call, word.CallBody{ID: id, Verb: c.ask.Verb, Arg: c.ask.Arg, Body: c.ask.Body}))
}

func (g *Gate) reply(from mark.Addr, r word.ReplyBody) {
	c := g.calls[r.ID]
	switch {
	case c == nil:
	case r.Away:
		other := r.Lead != "" && r.Lead != c.to
		if from == c.to {
			c.to, c.sent = "", g.now.Mono
		}
		if other && c.legs < 6 {
			g.send(r.ID, c, r.Lead)
		}
	case r.Fault != nil && r.Fault.Kind == fault.Unsure:
		c.to, c.open = "", true
	case r.Fault != nil && (c.open || from != c.to) && changes[c.ask.Verb] && untaken(r.Fault.Kind):
		g.fail(r.ID, fault.New(fault.Unsure, "", "one helm refused the request, another may have taken it; send the same again").After(g.back()))
	case r.Fault != nil:
		g.fail(r.ID, r.Fault)
	default:
		g.end(r.ID, word.Answer{Code: r.Code, Body: r.Body})
	}
}

// untaken tells a refusal by which whoever asked may think that nothing was done.
func untaken(k fault.Kind) bool {
	return fault.Later[k] || k == fault.NoQueue || k == fault.Unplaced
}

// changes are the verbs that take something in.
var changes = map[string]bool{"job.put": true, "job.cancel": true, "table.put": true}

func (g *Gate) fail(id uint64, f *fault.Fault) { g.end(id, word.Answer{Fault: f}) }

func (g *Gate) end(id uint64, a word.Answer) {
	a.Token = g.calls[id].ask.Token
	delete(g.calls, id)
	g.Sums.Answered++
	if g.last != 0 {
		g.pace += 0.05 * (1/max(g.now.Mono.Sub(g.last).Seconds(), 0.001) - g.pace)
	}
	g.last = g.now.Mono
	g.outs = append(g.outs, a)
}

// StatusView is a gate's account of itself.
type StatusView struct {
	Role    string       `json:"role"`
	Program string       `json:"program"`
	Ready   bool         `json:"ready"`
	Leader  mark.Addr    `json:"leader"`
	LostMS  int64        `json:"without_leader_ms"`
	Edition mark.Edition `json:"table_edition"`
	Fresh   bool         `json:"table_confirmed"`
	Under   int          `json:"requests_under_way"`
	Mates   []kin.Mate   `json:"mates"`
	Sums    Sums         `json:"sums"`
}

func (g *Gate) Status() StatusView {
	v := StatusView{Role: "gate", Program: g.place.Issue, Ready: g.Ready(), Leader: g.kin.Lead(), Edition: g.news.Table.Edition,
		Fresh: g.news.Fresh(g.now.Mono), Under: len(g.calls), Mates: g.kin.Mates(), Sums: g.Sums}
	if g.lost != 0 {
		v.LostMS = g.now.Mono.Sub(g.lost).Milliseconds()
	}
	return v
}
