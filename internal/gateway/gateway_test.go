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

// harness is a gateway and the calls that it has sent.
type harness struct {
	gateway *Gateway
	now     types.MonoTime
	sent    []wire.OutboundMessage
	answers []wire.Response
}

func (h *harness) step(e wire.Event) {
	e.Now = types.Now{Mono: h.now}
	out := h.gateway.Step(e)
	for _, s := range out.Messages {
		if s.Message.Kind == wire.ForwardRequest {
			h.sent = append(h.sent, s)
		}
	}
	h.answers = append(h.answers, out.Responses...)
}

func (h *harness) advance(t time.Duration) {
	for until := h.now.Add(t); h.now < until; h.now = h.now.Add(20 * time.Millisecond) {
		h.helloFromControllers()
		h.step(wire.Event{})
	}
}

// helloFromControllers lets both controllers say hello; a leads.
func (h *harness) helloFromControllers() {
	for _, c := range []membership.MemberInfo{{Addr: "a", Role: "controller", Term: 1, Leads: true}, {Addr: "b", Role: "controller", Term: 1}} {
		s := wire.NewMessage(c.Addr, "g", wire.Hello, map[string]any{"me": c})
		h.step(wire.Event{Message: &s.Message})
	}
}

func (h *harness) reply(from types.Addr, n int, r wire.ForwardedReply) {
	c, _ := wire.DecodeBody[wire.ForwardedRequest](h.sent[n].Message)
	r.ID = c.ID
	s := wire.NewMessage(from, "g", wire.ForwardReply, r)
	h.step(wire.Event{Message: &s.Message})
}

func newHarness(limit time.Duration) *harness {
	d := &harness{now: types.MonoTime(time.Minute)}
	d.gateway = New(types.Now{Mono: d.now}, rand.New(rand.NewSource(1)), Options{Addr: "g", Zone: "z"})
	d.helloFromControllers()
	d.step(wire.Event{})
	d.step(wire.Event{Request: &wire.Request{Token: 1, Verb: "job.put", Arg: "j", Timeout: limit}})
	return d
}

func TestARefusalAfterSilenceIsUnsure(t *testing.T) {
	is := is.New(t)
	full := wire.ForwardedReply{Error: apierror.New(apierror.QueueFull, "", "full")}
	d := newHarness(0)
	d.reply("a", 0, full)
	is.Equal(d.answers[0].Error.Kind, apierror.QueueFull) // the only one that was asked

	d = newHarness(0)
	d.advance(AttemptTimeout + 40*time.Millisecond)
	is.Equal(len(d.sent), 2) // a was silent
	d.reply(d.sent[1].To, 1, full)
	is.Equal(d.answers[0].Error.Kind, apierror.OutcomeUnknown)

	d = newHarness(0)
	d.advance(AttemptTimeout + 40*time.Millisecond)
	d.reply("a", 0, full) // the other one has not answered
	is.Equal(d.answers[0].Error.Kind, apierror.OutcomeUnknown)

	d = newHarness(0)
	d.reply("a", 0, wire.ForwardedReply{NotLeader: true, Leader: "b"})
	is.Equal(d.sent[1].To, types.Addr("b"))
	d.reply("b", 1, full)
	is.Equal(d.answers[0].Error.Kind, apierror.QueueFull) // a has said that it took nothing
}

func TestARequestIsGivenUpInItsTime(t *testing.T) {
	is := is.New(t)
	d := newHarness(400 * time.Millisecond)
	d.advance(340 * time.Millisecond)
	is.Equal(len(d.answers), 0)
	d.advance(40 * time.Millisecond)
	is.Equal(d.answers[0].Error.Kind, apierror.OutcomeUnknown)

	d = newHarness(400 * time.Millisecond)
	for n := 0; len(d.answers) == 0; n = len(d.sent) - 1 { // nobody leads
		d.reply(d.sent[n].To, n, wire.ForwardedReply{NotLeader: true})
		d.advance(20 * time.Millisecond)
	}
	is.Equal(d.answers[0].Error.Kind, apierror.NoLeader) // nothing can have been taken
}

// answeredBodies is the bodies of the answers that callers were given.
func (h *harness) answeredBodies() (list []string) {
	for _, a := range h.answers {
		list = append(list, string(a.Body))
	}
	return
}

func okReply(text string) wire.ForwardedReply {
	return wire.ForwardedReply{StatusCode: 200, Body: []byte(text)}
}

// An answer goes to the caller whose call it names, once: the second of two
// daemons that answer one request, and one that answers after its request was
// given up, tell nobody anything.
func TestAnAnswerBelongsToItsCallAlone(t *testing.T) {
	is := is.New(t)
	d := newHarness(0)
	d.advance(AttemptTimeout + 40*time.Millisecond)
	is.Equal(len(d.sent), 2) // a was silent, b was asked
	d.step(wire.Event{Request: &wire.Request{Token: 2, Verb: "job.get", Arg: "k"}})
	is.Equal(len(d.sent), 3)
	d.reply("b", 1, okReply(`"of j"`))
	d.reply("a", 0, okReply(`"of j"`)) // the first one asked answers too
	is.Equal(d.answeredBodies(), []string{`"of j"`})
	is.Equal(d.answers[0].Token, uint64(1))
	d.reply("a", 2, okReply(`"of k"`))
	is.Equal(d.answers[1].Token, uint64(2))

	d = newHarness(400 * time.Millisecond)
	d.advance(400 * time.Millisecond)
	is.Equal(d.answers[0].Error.Kind, apierror.OutcomeUnknown)
	d.step(wire.Event{Request: &wire.Request{Token: 2, Verb: "job.get", Arg: "k"}})
	d.reply("a", 0, okReply(`"of j"`)) // too late
	is.Equal(len(d.answers), 1)
	d.reply("a", 1, okReply(`"of k"`))
	is.Equal(d.answers[1].Token, uint64(2))
	is.Equal(len(d.gateway.requests.pending), 0)
}

// The next process at an address takes no answer that is meant for the one
// before: the numbers of their calls begin at places drawn at random.
func TestAnAnswerToAFormerLifeIsDropped(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]bool{}
	for seed := range int64(200) {
		d := &harness{now: types.MonoTime(time.Minute)}
		d.gateway = New(types.Now{Mono: d.now}, rand.New(rand.NewSource(seed)), Options{Addr: "g", Zone: "z"})
		d.helloFromControllers()
		for token := range uint64(50) {
			d.step(wire.Event{Request: &wire.Request{Token: token + 1, Verb: "job.get", Arg: "j"}})
		}
		for _, s := range d.sent {
			c, ok := wire.DecodeBody[wire.ForwardedRequest](s.Message)
			is.True(ok)
			is.True(!seen[c.ID])
			seen[c.ID] = true
		}
		for id := range seen {
			if d.gateway.requests.pending[id] != nil {
				continue
			}
			r := okReply(`"of a former life"`)
			r.ID = id
			s := wire.NewMessage("a", "g", wire.ForwardReply, r)
			d.step(wire.Event{Message: &s.Message})
			if len(seen) > 1000 {
				break
			}
		}
		is.Equal(len(d.answers), 0)
	}
}
