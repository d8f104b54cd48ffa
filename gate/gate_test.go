// The gate says that nothing was taken only where nothing can have been, and gives
// a request up before whoever asked has done so.
package gate

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/fault"
	"coppercourse/kin"
	"coppercourse/mark"
	"coppercourse/word"
)

// desk is a gate and the calls that it has sent.
type desk struct {
	g    *Gate
	now  mark.Stamp
	sent []word.Send
	outs []word.Answer
}

func (d *desk) step(e word.Event) {
	e.Now = mark.Now{Mono: d.now}
	out := d.g.Step(e)
	for _, s := range out.Sends {
		if s.Note.Kind == word.Call {
			d.sent = append(d.sent, s)
		}
	}
	d.outs = append(d.outs, out.Answers...)
}

func (d *desk) pass(t time.Duration) {
	for until := d.now.Add(t); d.now < until; d.now = d.now.Add(20 * time.Millisecond) {
		d.hear()
		d.step(word.Event{})
	}
}

// hear lets both helms say hello; a leads.
func (d *desk) hear() {
	for _, c := range []kin.Card{{Addr: "a", Role: "helm", Term: 1, Leads: true}, {Addr: "b", Role: "helm", Term: 1}} {
		s := word.Make(c.Addr, "g", word.Hello, map[string]any{"me": c})
		d.step(word.Event{Note: &s.Note})
	}
}

func (d *desk) reply(from mark.Addr, n int, r word.ReplyBody) {
	c, _ := word.Read[word.CallBody](d.sent[n].Note)
	r.ID = c.ID
	s := word.Make(from, "g", word.Reply, r)
	d.step(word.Event{Note: &s.Note})
}

func begin(limit time.Duration) *desk {
	d := &desk{now: mark.Stamp(time.Minute)}
	d.g = New(mark.Now{Mono: d.now}, rand.New(rand.NewSource(1)), Place{Addr: "g", Loc: "z"})
	d.hear()
	d.step(word.Event{})
	d.step(word.Event{Ask: &word.Ask{Token: 1, Verb: "job.put", Arg: "j", Limit: limit}})
	return d
}

func TestARefusalAfterSilenceIsUnsure(t *testing.T) {
	is := is.New(t)
	full := word.ReplyBody{Fault: fault.New(fault.Full, "", "full")}
	d := begin(0)
	d.reply("a", 0, full)
	is.Equal(d.outs[0].Fault.Kind, fault.Full) // the only one that was asked

	d = begin(0)
	d.pass(Leg + 40*time.Millisecond)
	is.Equal(len(d.sent), 2) // a was silent
	d.reply(d.sent[1].To, 1, full)
	is.Equal(d.outs[0].Fault.Kind, fault.Unsure)

	d = begin(0)
	d.pass(Leg + 40*time.Millisecond)
	d.reply("a", 0, full) // the other one has not answered
	is.Equal(d.outs[0].Fault.Kind, fault.Unsure)

	d = begin(0)
	d.reply("a", 0, word.ReplyBody{Away: true, Lead: "b"})
	is.Equal(d.sent[1].To, mark.Addr("b"))
	d.reply("b", 1, full)
	is.Equal(d.outs[0].Fault.Kind, fault.Full) // a has said that it took nothing
}

func TestARequestIsGivenUpInItsTime(t *testing.T) {
	is := is.New(t)
	d := begin(400 * time.Millisecond)
	d.pass(340 * time.Millisecond)
	is.Equal(len(d.outs), 0)
	d.pass(40 * time.Millisecond)
	is.Equal(d.outs[0].Fault.Kind, fault.Unsure)

	d = begin(400 * time.Millisecond)
	for n := 0; len(d.outs) == 0; n = len(d.sent) - 1 { // nobody leads
		d.reply(d.sent[n].To, n, word.ReplyBody{Away: true})
		d.pass(20 * time.Millisecond)
	}
	is.Equal(d.outs[0].Fault.Kind, fault.NoLead) // nothing can have been taken
}
