package agent

import (
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// An invalid poll is refused with the field at fault, and nothing of it reaches the
// account or the leader.
func TestBadCallsAreRefusedWhole(t *testing.T) {
	is := is.New(t)
	now := types.Now{Mono: 1 << 40}
	w := New(now, rand.New(rand.NewSource(1)), Options{Addr: "w", Shard: "k", Timeouts: protocol.DefaultTimeouts})
	token := uint64(0)
	ask := func(body string) wire.Response {
		token++
		out := w.Step(wire.Event{Now: now, Request: &wire.Request{Token: token, Verb: "poll", Body: []byte(body)}})
		if len(out.Responses) == 0 {
			return wire.Response{}
		}
		return out.Responses[len(out.Responses)-1]
	}
	for body, field := range map[string]string{
		`nonsense`:   "",
		`{"call":1}`: "worker",
		`{"worker":"a","call":1,"room":{"cores":-1}}`:                                           "room",
		`{"worker":"a","call":1,"kinds":["a b"]}`:                                               "kinds[0]",
		`{"worker":"a","call":1,"running":[{"leg":{"job":"j","n":-1,"leg":1}}]}`:                "running[0].leg",
		`{"worker":"a","call":1,"running":[{"leg":{"job":"j","leg":1},"room":{"cores":-9}}]}`:   "running[0].room",
		`{"worker":"a","call":1,"ended":[{"leg":{"job":"j","n":0,"leg":0},"fate":"ok"}]}`:       "ended[0].leg",
		`{"worker":"a","call":1,"ended":[{"leg":{"job":"j","n":0,"leg":1},"fate":"splendid"}]}`: "ended[0].fate",
		`{"worker":"a","call":1,"ended":[{"leg":{"job":"j","n":0,"leg":1},"fate":"lost"}]}`:     "ended[0].fate",
	} {
		a := ask(body)
		is.True(a.Error != nil)
		is.Equal(a.Error.Field, field)
	}
	is.Equal(len(w.Status().Executor.Attempts), 0)
	is.Equal(w.Status().Executor.Worker, types.ID(""))                  // none of it was taken
	is.Equal(ask(`{"worker":"a","call":1,"stamp":5}`), wire.Response{}) // a good one is held
	a := ask(`{"worker":"a","call":1,"stamp":5}`)
	is.Equal(a.Error.Kind, apierror.StaleVersion)
	is.Equal(a.Token, token) // the call held before it is still held
	is.True(w.poll.held())
}
