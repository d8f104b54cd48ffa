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

// lane is what waits for one peer, by class and oldest first. It holds so many bytes
// at most. What is more urgent goes first; the oldest of the least urgent are dropped
// first, since newer ones say the same or more.
type lane struct {
	mu    sync.Mutex
	lists [wire.Classes][]wire.Message
	count int
	size  int
	wake  chan struct{}
}

func (l *lane) put(n wire.Message) (dropped int) {
	l.mu.Lock()
	class := wire.ClassOf(n.Kind)
	l.lists[class] = append(l.lists[class], n)
	l.count++
	l.size += len(n.Body)
	for l.size > heavy && l.count > 1 || l.count > depth {
		l.remove(l.lowest(), 1)
		dropped++
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return
}

// lowest is the least urgent class of which anything waits.
func (l *lane) lowest() wire.Class {
	for c := wire.Classes - 1; c > 0; c-- {
		if len(l.lists[c]) > 0 {
			return c
		}
	}
	return 0
}

// remove takes the oldest of a class out.
func (l *lane) remove(c wire.Class, n int) (group []wire.Message) {
	group = l.lists[c][:n:n]
	for _, m := range group {
		l.size -= len(m.Body)
	}
	l.count -= n
	if l.lists[c] = l.lists[c][n:]; len(l.lists[c]) == 0 {
		l.lists[c] = nil
	}
	return
}

// take gives what fits into one request.
func (l *lane) take() (group []wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for c := range wire.Classes {
		n := 0
		for n < len(l.lists[c]) && len(group)+n < share {
			body := len(l.lists[c][n].Body)
			if size > 0 && size+body > bulk {
				break
			}
			size += body
			n++
		}
		whole := n == len(l.lists[c])
		if n > 0 {
			group = append(group, l.remove(c, n)...)
		}
		if !whole {
			break
		}
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
