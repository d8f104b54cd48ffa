// The gateway says that nothing was taken only where nothing can have been, and gives
// a request up before whoever asked has done so.
package gateway

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/membership"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// desk is a gateway and the calls that it has sent.
type desk struct {
	g    *Gateway
	now  types.Stamp
	sent []wire.Send
	outs []wire.Answer
}

func (d *desk) step(e wire.Event) {
	e.Now = types.Now{Mono: d.now}
	out := d.g.Step(e)
	for _, s := range out.Sends {
		if s.Message.Kind == wire.Call {
			d.sent = append(d.sent, s)
		}
	}
	d.outs = append(d.outs, out.Answers...)
}

func (d *desk) pass(t time.Duration) {
	for until := d.now.Add(t); d.now < until; d.now = d.now.Add(20 * time.Millisecond) {
		d.hear()
		d.step(wire.Event{})
	}
}

// hear lets both controllers say hello; a leads.
func (d *desk) hear() {
	for _, c := range []membership.Card{{Addr: "a", Role: "controller", Term: 1, Leads: true}, {Addr: "b", Role: "controller", Term: 1}} {
		s := wire.Make(c.Addr, "g", wire.Hello, map[string]any{"me": c})
		d.step(wire.Event{Message: &s.Message})
	}
}

func (d *desk) reply(from types.Addr, n int, r wire.ReplyBody) {
	c, _ := wire.Read[wire.CallBody](d.sent[n].Message)
	r.ID = c.ID
	s := wire.Make(from, "g", wire.Reply, r)
	d.step(wire.Event{Message: &s.Message})
}

func begin(limit time.Duration) *desk {
	d := &desk{now: types.Stamp(time.Minute)}
	d.g = New(types.Now{Mono: d.now}, rand.New(rand.NewSource(1)), Place{Addr: "g", Zone: "z"})
	d.hear()
	d.step(wire.Event{})
	d.step(wire.Event{Ask: &wire.Ask{Token: 1, Verb: "job.put", Arg: "j", Limit: limit}})
	return d
}

func TestARefusalAfterSilenceIsUnsure(t *testing.T) {
	is := is.New(t)
	full := wire.ReplyBody{Fault: apierror.New(apierror.Full, "", "full")}
	d := begin(0)
	d.reply("a", 0, full)
	is.Equal(d.outs[0].Fault.Kind, apierror.Full) // the only one that was asked

	d = begin(0)
	d.pass(Attempt + 40*time.Millisecond)
	is.Equal(len(d.sent), 2) // a was silent
	d.reply(d.sent[1].To, 1, full)
	is.Equal(d.outs[0].Fault.Kind, apierror.Unsure)

	d = begin(0)
	d.pass(Attempt + 40*time.Millisecond)
	d.reply("a", 0, full) // the other one has not answered
	is.Equal(d.outs[0].Fault.Kind, apierror.Unsure)

	d = begin(0)
	d.reply("a", 0, wire.ReplyBody{Away: true, Lead: "b"})
	is.Equal(d.sent[1].To, types.Addr("b"))
	d.reply("b", 1, full)
	is.Equal(d.outs[0].Fault.Kind, apierror.Full) // a has said that it took nothing
}

func TestARequestIsGivenUpInItsTime(t *testing.T) {
	is := is.New(t)
	d := begin(400 * time.Millisecond)
	d.pass(340 * time.Millisecond)
	is.Equal(len(d.outs), 0)
	d.pass(40 * time.Millisecond)
	is.Equal(d.outs[0].Fault.Kind, apierror.Unsure)

	d = begin(400 * time.Millisecond)
	for n := 0; len(d.outs) == 0; n = len(d.sent) - 1 { // nobody leads
		d.reply(d.sent[n].To, n, wire.ReplyBody{Away: true})
		d.pass(20 * time.Millisecond)
	}
	is.Equal(d.outs[0].Fault.Kind, apierror.NoLead) // nothing can have been taken
}
