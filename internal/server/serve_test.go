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

// echo is a machine that calls a worker at its first step and keeps the replies.
type echo struct {
	calls   []wire.WorkerCall
	replies chan wire.WorkerReply
	closed  bool
}

func (ec *echo) Step(e wire.Event) wire.Out {
	out := wire.Out{Calls: ec.calls, Idle: ec.closed}
	ec.calls = nil
	if e.Reply != nil {
		ec.replies <- *e.Reply
	}
	if e.Ask != nil {
		out.Answers = []wire.Answer{{Token: e.Ask.Token, Code: 200, Body: wire.Body(e.Ask.Limit > 0)}}
	}
	ec.closed = ec.closed || e.Close
	return out
}

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func said(what string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, what) })
}

// hang is a time that only what never ends would take on any machine.
const hang = 2 * time.Minute

func TestEachAddressAnswersItsOwn(t *testing.T) {
	is := is.New(t)
	a, b := free(t), free(t)
	o := NewOwner(NewPost(context.Background(), ""), nil)
	o.Carry(&echo{})
	p := &Pages{Owner: o, Ready: func() bool { return true }}
	var limits atomic.Pointer[config.Limits]
	limits.Store(&config.Limits{HeaderBytes: 1000, IdleTimeoutMillis: 100, HeaderTimeoutMillis: int(hang.Milliseconds())})
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error)
	go func() {
		end <- Serve(ctx, logr.Discard(), p, Leave(800*time.Millisecond, 200*time.Millisecond),
			Port{Addr: a, Handler: said("inner")}, Port{Addr: b, Handler: said("front"), Limits: func() config.Limits { return *limits.Load() }})
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
	limits.Store(&config.Limits{HeaderBytes: 16 << 10, IdleTimeoutMillis: 10 * int(hang.Milliseconds())})
	is.Equal(get(b, long), "200 front") // without a restart
	kept.SetReadDeadline(time.Now().Add(hang))
	_, err = io.Copy(io.Discard, kept)
	is.NoErr(err) // idle past the bound it was made under: closed
	stop()
	is.NoErr(<-end)
	is.True(!p.Open())
	_, err = net.Dial("tcp", b)
	is.True(err != nil)
}

// pipes is a listener whose connections take no time on any machine.
type pipes struct{ *feed }

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.in <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// A daemon that is told to end lingers as long as it says, answering as before, and
// has ended within what there is.
func TestADaemonEndsWithinItsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		o := NewOwner(NewPost(ctx, ""), nil)
		o.Carry(&echo{})
		p := &Pages{Owner: o, Ready: func() bool { return true }}
		ln := pipes{&feed{in: make(chan net.Conn), done: make(chan struct{})}}
		other := pipes{&feed{in: make(chan net.Conn), done: make(chan struct{})}}
		end := make(chan error)
		go func() {
			end <- serve(ctx, logr.Discard(), p, Leave(800*time.Millisecond, 200*time.Millisecond),
				[]*server{open(other, p, Port{Addr: "inner", Handler: said("inner")}), open(ln, p, Port{Addr: "front", Handler: said("front")})})
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
		is.True(p.Open())
		is.Equal(get(), "200 front")
		from := time.Now()
		stop()
		for _, at := range []time.Duration{50 * time.Millisecond, 199 * time.Millisecond} {
			time.Sleep(at - time.Since(from))
			is.True(!p.Open())
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

func TestCallsComeBackAsEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &echo{replies: make(chan wire.WorkerReply, 100)}
		for no := uint64(1); no < 100; no += 2 {
			m.calls = append(m.calls, wire.WorkerCall{No: no, Kind: wire.Start, Limit: 300 * time.Millisecond},
				wire.WorkerCall{No: no + 1, Kind: wire.Hold, Wait: time.Second, Limit: 5 * time.Second})
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		o := NewOwner(NewPost(ctx, ""), nil)
		o.Carry(m)
		var mu sync.Mutex
		var under, most int
		o.Caller = func(ctx context.Context, c wire.WorkerCall) wire.WorkerReply {
			if c.Kind == wire.Hold {
				return wire.WorkerReply{Result: wire.Taken}
			}
			mu.Lock()
			under++
			most = max(most, under)
			mu.Unlock()
			time.Sleep(600 * time.Millisecond) // longer than the others can wait
			mu.Lock()
			under--
			mu.Unlock()
			return wire.WorkerReply{Result: wire.Silent}
		}
		go o.Run(ctx)
		got := map[wire.Result]int{}
		for range 50 {
			is.Equal((<-m.replies).No%2, uint64(0)) // holds do not wait for the rest
		}
		for range 50 {
			got[(<-m.replies).Result]++
		}
		is.Equal(got, map[wire.Result]int{wire.Silent: callsAtOnce, wire.Sick: 50 - callsAtOnce}) // the others were never sent
		is.Equal(most, callsAtOnce)
	})
}

func TestAnAskerSaysHowLongItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		o := NewOwner(NewPost(ctx, ""), nil)
		o.Carry(&echo{})
		go o.Run(ctx)
		is.Equal(string(o.Ask(context.Background(), "x", "", nil).Body), "false")
		short, done := context.WithTimeout(ctx, time.Second)
		defer done()
		is.Equal(string(o.Ask(short, "x", "", nil).Body), "true")
		stop()
		<-o.closed
		is.Equal(o.Ask(context.Background(), "x", "", nil).Fault.Kind, apierror.ShuttingDown)
	})
}
