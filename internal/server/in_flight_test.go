// Requests that are under way while a daemon ends or a peer breaks off: what may
// have been taken is never told as refused, and nothing is sent twice.
package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// muteMachine is a machine that answers nothing.
type muteMachine struct{ requests int }

func (m *muteMachine) Step(e wire.Event) (out wire.Effects) {
	if e.Request != nil {
		m.requests++
	}
	return
}

func TestRequestInFlightAtShutdownIsUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		m := &muteMachine{}
		o := NewEventLoop(NewSender(ctx, ""), nil)
		o.SetMachine(m)
		go o.Run(ctx)
		got := make(chan wire.Response)
		go func() { got <- o.Ask(context.Background(), "job.put", "a", nil) }()
		synctest.Wait() // the machine has it, and may have handed it to the leader
		is.Equal(m.requests, 1)
		stop()
		is.Equal((<-got).Error.Kind, apierror.OutcomeUnknown)
		is.Equal(o.Ask(context.Background(), "job.put", "a", nil).Error.Kind, apierror.ShuttingDown) // this one it never saw
		is.Equal(m.requests, 1)
	})
}

// startBreakingPeer takes requests on raw connections: it answers the first on each, and does
// something else with the second.
func startBreakingPeer(t *testing.T, second func(net.Conn, *bufio.Reader)) (to types.Addr, asked *atomic.Int32, ended chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	asked, ended = &atomic.Int32{}, make(chan struct{}, 10)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			if n == 0 {
				consumeRequest(in)
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
			if _, err := in.Peek(1); err == nil {
				asked.Add(1)
				second(c, in)
			}
			c.Close()
			ended <- struct{}{}
		}
	}()
	return types.Addr(ln.Addr().String()), asked, ended
}

func consumeRequest(in *bufio.Reader) {
	if q, err := http.ReadRequest(in); err == nil {
		io.Copy(io.Discard, q.Body)
	}
}

// A post is sent once, whenever its peer breaks off: the machines repeat it, if
// they want to.
func TestMessagesAreNotResentByTheTransport(t *testing.T) {
	for name, second := range map[string]func(net.Conn, *bufio.Reader){
		"closed before it is read": func(net.Conn, *bufio.Reader) {},
		"reset before it is read":  func(c net.Conn, _ *bufio.Reader) { c.(*net.TCPConn).SetLinger(0) },
		"closed once it is read":   func(_ net.Conn, in *bufio.Reader) { consumeRequest(in) },
		"reset once it is read": func(c net.Conn, in *bufio.Reader) {
			consumeRequest(in)
			c.(*net.TCPConn).SetLinger(0)
		},
		"half an answer": func(c net.Conn, in *bufio.Reader) {
			consumeRequest(in)
			io.WriteString(c, "HTTP/1.1 20")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to, asked, ended := startBreakingPeer(t, second)
			p := NewSender(t.Context(), "")
			group := []wire.Message{{Kind: "a"}}
			p.deliver(to, group)
			is.Equal(p.Sent.Load(), uint64(1))
			p.deliver(to, group)
			<-ended
			is.Equal(asked.Load(), int32(1))
			is.Equal(p.Failed.Load(), uint64(1))
		})
	}
}

func TestMessagesAreNotRedirected(t *testing.T) {
	is := is.New(t)
	var other atomic.Int32
	far := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { other.Add(1) }))
	defer far.Close()
	near := httptest.NewServer(http.RedirectHandler(far.URL, http.StatusTemporaryRedirect))
	defer near.Close()
	p := NewSender(t.Context(), "")
	p.deliver(types.Addr(strings.TrimPrefix(near.URL, "http://")), []wire.Message{{Kind: "a"}})
	is.Equal(other.Load(), int32(0))
}
