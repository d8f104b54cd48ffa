// Outgoing messages: one queue and one connection for each peer, what waits in
// a queue shares a request, and what does not get through is dropped, since the
// machines repeat whatever matters.
package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	depth = 1024
	heavy = 2 << 20
	share = 128
	bulk  = 256 << 10
	dial  = 300 * time.Millisecond // for a connection; a peer without power says nothing
	limit = 500 * time.Millisecond // for a request, and more for its size
	slow  = 200                    // bytes a millisecond, of a thin link
	lanes = 4000
)

// Post sends notes.
type Post struct {
	ctx     context.Context
	client  *http.Client
	mu      sync.Mutex
	lanes   map[types.Addr]*lane
	Sent    atomic.Uint64
	Failed  atomic.Uint64
	Dropped atomic.Uint64
}

// lane is what waits for one peer, oldest first. It holds so many bytes at most;
// the oldest go first then, since newer ones say the same or more.
type lane struct {
	mu   sync.Mutex
	list []wire.Message
	size int
	wake chan struct{}
}

func (l *lane) put(n wire.Message) (dropped int) {
	l.mu.Lock()
	l.list = append(l.list, n)
	l.size += len(n.Body)
	for l.size > heavy && len(l.list) > 1 || len(l.list) > depth {
		l.size -= len(l.list[0].Body)
		l.list = l.list[1:]
		dropped++
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return
}

// take gives what fits into one request.
func (l *lane) take() (group []wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for i, n := range l.list {
		if i == share || i > 0 && size+len(n.Body) > bulk {
			break
		}
		size += len(n.Body)
		group = append(group, n)
	}
	l.size -= size
	if l.list = l.list[len(group):]; len(l.list) == 0 {
		l.list = nil
	}
	return
}

// NewPost makes a sender whose connections come from the given IP, if any. The
// time of each request goes by its size, so the client has no bound of its own.
func NewPost(ctx context.Context, source string) *Post {
	return &Post{ctx: ctx, client: Client(source, 0), lanes: map[types.Addr]*lane{}}
}

// Send puts a note into its lane; a full lane drops its oldest.
func (p *Post) Send(s wire.Send) {
	p.mu.Lock()
	l := p.lanes[s.To]
	if l == nil {
		if len(p.lanes) >= lanes {
			p.mu.Unlock()
			p.Dropped.Add(1)
			return
		}
		l = &lane{wake: make(chan struct{}, 1)}
		p.lanes[s.To] = l
		go p.run(s.To, l)
	}
	p.mu.Unlock()
	p.Dropped.Add(uint64(l.put(s.Message)))
}

func (p *Post) run(to types.Addr, l *lane) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-l.wake:
		}
		for group := l.take(); len(group) > 0 && p.ctx.Err() == nil; group = l.take() {
			p.deliver(to, group)
		}
	}
}

func (p *Post) deliver(to types.Addr, group []wire.Message) {
	b := wire.EncodeMessages(group)
	ctx, stop := context.WithTimeout(p.ctx, limit+time.Duration(len(b)/slow)*time.Millisecond)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+"/mate", bytes.NewReader(b))
	if err != nil {
		p.Failed.Add(1)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := p.client.Do(req)
	if err != nil {
		p.Failed.Add(1)
		return
	}
	io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
	res.Body.Close()
	p.Sent.Add(uint64(len(group)))
}
