// A daemon on several addresses: each answers its own, bounds of connections
// change without a restart, and calls to a worker come back as events.
package door

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/word"
)

// echo is a machine that calls a worker at its first step and keeps the replies.
type echo struct {
	calls   []word.WorkerCall
	replies chan word.WorkerReply
	closed  bool
}

func (m *echo) Step(e word.Event) word.Out {
	out := word.Out{Calls: m.calls, Idle: m.closed}
	m.calls = nil
	if e.Reply != nil {
		m.replies <- *e.Reply
	}
	if e.Ask != nil {
		out.Answers = []word.Answer{{Token: e.Ask.Token, Code: 200, Body: word.Body(e.Ask.Limit > 0)}}
	}
	m.closed = m.closed || e.Close
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

func TestEachAddressAnswersItsOwn(t *testing.T) {
	is := is.New(t)
	a, b := free(t), free(t)
	o := NewOwner(NewPost(context.Background(), ""), nil)
	o.Carry(&echo{})
	p := &Pages{Owner: o, Ready: func() bool { return true }}
	var limits atomic.Pointer[blueprint.Limits]
	limits.Store(&blueprint.Limits{Header: 1000, IdleMS: 100})
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error)
	go func() {
		end <- Serve(ctx, logr.Discard(), p, Leave(800*time.Millisecond, 200*time.Millisecond),
			Port{Addr: a, Handler: said("inner")}, Port{Addr: b, Handler: said("front"), Limits: func() blueprint.Limits { return *limits.Load() }})
	}()
	get := func(to, head string) string {
		for range 100 {
			q, _ := http.NewRequest("GET", "http://"+to, nil)
			q.Header.Set("X-Long", head)
			q.Close = true
			if res, err := http.DefaultClient.Do(q); err == nil {
				text, _ := io.ReadAll(res.Body)
				res.Body.Close()
				return fmt.Sprint(res.StatusCode, " ", string(text))
			}
			time.Sleep(10 * time.Millisecond)
		}
		return "nobody"
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
	limits.Store(&blueprint.Limits{Header: 16 << 10})
	is.Equal(get(b, long), "200 front") // without a restart
	kept.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, kept)
	is.NoErr(err) // idle past the bound it was made under: closed
	from := time.Now()
	stop()
	time.Sleep(50 * time.Millisecond)
	is.True(!p.Open())
	is.Equal(get(b, ""), "200 front") // not ready, but still answering
	is.NoErr(<-end)
	is.True(time.Since(from) < 800*time.Millisecond)
	_, err = net.Dial("tcp", b)
	is.True(err != nil)
}

func TestCallsComeBackAsEvents(t *testing.T) {
	is := is.New(t)
	m := &echo{replies: make(chan word.WorkerReply, 100)}
	m.calls = append(m.calls, word.WorkerCall{No: 1, Kind: word.Hold, Wait: time.Second, Limit: 5 * time.Second})
	for no := uint64(2); no < 52; no++ {
		m.calls = append(m.calls, word.WorkerCall{No: no, Kind: word.Start, Limit: 300 * time.Millisecond})
	}
	o := NewOwner(NewPost(context.Background(), ""), nil)
	o.Carry(m)
	var under, most atomic.Int64
	o.Caller = func(ctx context.Context, c word.WorkerCall) word.WorkerReply {
		if c.Kind == word.Hold {
			return word.WorkerReply{Result: word.Taken}
		}
		if n := under.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer under.Add(-1)
		time.Sleep(600 * time.Millisecond) // longer than the others can wait
		return word.WorkerReply{Result: word.Silent}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go o.Run(ctx)
	got := map[word.Result]int{}
	is.Equal((<-m.replies).No, uint64(1)) // the hold does not wait for the rest
	for range 50 {
		got[(<-m.replies).Result]++
	}
	is.Equal(got, map[word.Result]int{word.Silent: callsAtOnce, word.Sick: 50 - callsAtOnce}) // the others were never sent
	is.Equal(most.Load(), int64(callsAtOnce))
}

func TestAnAskerSaysHowLongItWaits(t *testing.T) {
	is := is.New(t)
	o := NewOwner(NewPost(context.Background(), ""), nil)
	o.Carry(&echo{})
	ctx, stop := context.WithCancel(context.Background())
	go o.Run(ctx)
	is.Equal(string(o.Ask(context.Background(), "x", "", nil).Body), "false")
	short, done := context.WithTimeout(ctx, time.Second)
	defer done()
	is.Equal(string(o.Ask(short, "x", "", nil).Body), "true")
	stop()
	<-o.closed
	is.Equal(o.Ask(context.Background(), "x", "", nil).Fault.Kind, fault.Closing)
}
