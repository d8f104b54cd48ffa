// A daemon on several addresses: each answers its own, bounds of connections
// change without a restart, and calls to a worker come back as events.
package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/wire"
)

// echoMachine is a machine that calls a worker at its first step and keeps the replies.
type echoMachine struct {
	calls    []wire.WorkerCall
	replies  chan wire.WorkerReply
	shutdown bool
}

func (em *echoMachine) Step(e wire.Event) wire.Effects {
	out := wire.Effects{Calls: em.calls, Drained: em.shutdown}
	em.calls = nil
	if e.WorkerReply != nil {
		em.replies <- *e.WorkerReply
	}
	if e.Request != nil {
		out.Responses = []wire.Response{{Token: e.Request.Token, StatusCode: 200, Body: wire.EncodeBody(e.Request.Timeout > 0)}}
	}
	em.shutdown = em.shutdown || e.Shutdown
	return out
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func textHandler(what string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, what) })
}

// testTimeout is a time that only what never ends would take on any machine.
const testTimeout = 2 * time.Minute

func TestEachEndpointServesItsOwnHandler(t *testing.T) {
	is := is.New(t)
	a, b := freeAddr(t), freeAddr(t)
	o := NewEventLoop(NewSender(context.Background(), ""), nil)
	o.SetMachine(&echoMachine{})
	p := &Handlers{Loop: o, Ready: func() bool { return true }}
	var limits atomic.Pointer[config.Limits]
	limits.Store(&config.Limits{HeaderBytes: 1000, IdleTimeoutMillis: 100, HeaderTimeoutMillis: int(testTimeout.Milliseconds())})
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error)
	go func() {
		end <- Serve(ctx, logr.Discard(), p, NewShutdownTiming(800*time.Millisecond, 200*time.Millisecond),
			Endpoint{Addr: a, Handler: textHandler("inner")}, Endpoint{Addr: b, Handler: textHandler("front"), Limits: func() config.Limits { return *limits.Load() }})
	}()
	get := func(to, head string) string {
		for {
			q, _ := http.NewRequest("GET", "http://"+to, nil)
			q.Header.Set("X-Long", head)
			q.Close = true
			if res, err := http.DefaultClient.Do(q); err == nil {
				text, _ := io.ReadAll(res.Body)
				res.Body.Close()
				return fmt.Sprint(res.StatusCode, " ", string(text))
			}
			select {
			case err := <-end:
				t.Fatal("ended before it was told to: ", err)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	is.Equal(get(a, ""), "200 inner")
	is.Equal(get(b, ""), "200 front")
	long := strings.Repeat("x", 6000)
	is.True(strings.HasPrefix(get(b, long), "431"))
	kept, err := net.Dial("tcp", b)
	is.NoErr(err)
	fmt.Fprintf(kept, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(kept), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	limits.Store(&config.Limits{HeaderBytes: 16 << 10, IdleTimeoutMillis: 10 * int(testTimeout.Milliseconds())})
	is.Equal(get(b, long), "200 front") // without a restart
	kept.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = io.Copy(io.Discard, kept)
	is.NoErr(err) // idle past the bound it was made under: closed
	stop()
	is.NoErr(<-end)
	is.True(!p.IsReady())
	_, err = net.Dial("tcp", b)
	is.True(err != nil)
}

// pipeListener is a listener whose connections take no time on any machine.
type pipeListener struct{ *connFeed }

func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// A daemon that is told to end lingers as long as it says, answering as before, and
// has ended within what there is.
func TestDaemonStopsWithinItsGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		o := NewEventLoop(NewSender(ctx, ""), nil)
		o.SetMachine(&echoMachine{})
		p := &Handlers{Loop: o, Ready: func() bool { return true }}
		ln := pipeListener{&connFeed{conns: make(chan net.Conn), done: make(chan struct{})}}
		other := pipeListener{&connFeed{conns: make(chan net.Conn), done: make(chan struct{})}}
		end := make(chan error)
		go func() {
			end <- serve(ctx, logr.Discard(), p, NewShutdownTiming(800*time.Millisecond, 200*time.Millisecond),
				[]*endpointServer{newEndpointServer(other, p, Endpoint{Addr: "inner", Handler: textHandler("inner")}), newEndpointServer(ln, p, Endpoint{Addr: "front", Handler: textHandler("front")})})
		}()
		client := &http.Client{Transport: &http.Transport{DialContext: ln.dial, DisableKeepAlives: true}}
		get := func() string {
			res, err := client.Get("http://front")
			is.NoErr(err)
			defer res.Body.Close()
			text, _ := io.ReadAll(res.Body)
			return fmt.Sprint(res.StatusCode, " ", string(text))
		}
		time.Sleep(time.Second)
		is.True(p.IsReady())
		is.Equal(get(), "200 front")
		from := time.Now()
		stop()
		for _, at := range []time.Duration{50 * time.Millisecond, 199 * time.Millisecond} {
			time.Sleep(at - time.Since(from))
			is.True(!p.IsReady())
			is.Equal(get(), "200 front") // not ready, but still answering
		}
		is.NoErr(<-end)
		took := time.Since(from)
		is.True(took >= 200*time.Millisecond)
		is.True(took < 800*time.Millisecond)
		_, err := client.Get("http://front")
		is.True(err != nil)
	})
}

func TestWorkerRepliesBecomeEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &echoMachine{replies: make(chan wire.WorkerReply, 100)}
		for no := uint64(1); no < 100; no += 2 {
			m.calls = append(m.calls, wire.WorkerCall{Number: no, Kind: wire.StartAttempt, Timeout: 300 * time.Millisecond},
				wire.WorkerCall{Number: no + 1, Kind: wire.RenewLease, LongPollWait: time.Second, Timeout: 5 * time.Second})
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		o := NewEventLoop(NewSender(ctx, ""), nil)
		o.SetMachine(m)
		var mu sync.Mutex
		var under, most int
		o.CallWorker = func(ctx context.Context, c wire.WorkerCall) wire.WorkerReply {
			if c.Kind == wire.RenewLease {
				return wire.WorkerReply{Result: wire.ResultAccepted}
			}
			mu.Lock()
			under++
			most = max(most, under)
			mu.Unlock()
			time.Sleep(600 * time.Millisecond) // longer than the others can wait
			mu.Lock()
			under--
			mu.Unlock()
			return wire.WorkerReply{Result: wire.ResultNoReply}
		}
		go o.Run(ctx)
		got := map[wire.CallResult]int{}
		for range 50 {
			is.Equal((<-m.replies).Number%2, uint64(0)) // holds do not wait for the rest
		}
		for range 50 {
			got[(<-m.replies).Result]++
		}
		is.Equal(got, map[wire.CallResult]int{wire.ResultNoReply: maxConcurrentCalls, wire.ResultUnhealthy: 50 - maxConcurrentCalls}) // the others were never sent
		is.Equal(most, maxConcurrentCalls)
	})
}

func TestRequestCarriesItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		o := NewEventLoop(NewSender(ctx, ""), nil)
		o.SetMachine(&echoMachine{})
		go o.Run(ctx)
		is.Equal(string(o.Ask(context.Background(), "x", "", nil).Body), "false")
		short, done := context.WithTimeout(ctx, time.Second)
		defer done()
		is.Equal(string(o.Ask(short, "x", "", nil).Body), "true")
		stop()
		<-o.stopped
		is.Equal(o.Ask(context.Background(), "x", "", nil).Error.Kind, apierror.ShuttingDown)
	})
}
