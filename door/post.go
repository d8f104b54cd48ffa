// Outgoing messages: one queue and one connection for each mate, what waits in
// a queue shares a request, and what does not get through is dropped, since the
// machines repeat whatever matters.
package door

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coppercourse/mark"
	"coppercourse/word"
)

const (
	share = 128
	limit = time.Second
	lanes = 4000
)

// Post sends notes.
type Post struct {
	ctx     context.Context
	client  *http.Client
	mu      sync.Mutex
	lanes   map[mark.Addr]*lane
	Sent    atomic.Uint64
	Failed  atomic.Uint64
	Dropped atomic.Uint64
}

// NewPost makes a sender whose connections come from the given IP, if any.
func NewPost(ctx context.Context, source string) *Post {
	return &Post{ctx: ctx, client: Client(source, 2*time.Second), lanes: map[mark.Addr]*lane{}}
}

// Send puts a note into its lane.
func (p *Post) Send(s word.Send) {
	p.mu.Lock()
	l := p.lanes[s.To]
	if l == nil {
		if len(p.lanes) >= lanes {
			p.mu.Unlock()
			p.Dropped.Add(1)
			return
		}
		l = newLane()
		p.lanes[s.To] = l
		go p.run(s.To, l)
	}
	p.mu.Unlock()
	if !l.put(s.Note, time.Now()) {
		p.Dropped.Add(1)
	}
}

func (p *Post) run(to mark.Addr, l *lane) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-l.wake:
		}
		for p.ctx.Err() == nil {
			group, dropped := l.take(time.Now())
			p.Dropped.Add(uint64(dropped))
			if group == nil {
				break
			}
			p.deliver(to, group)
		}
	}
}

func (p *Post) deliver(to mark.Addr, group []word.Note) {
	b, err := json.Marshal(group)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithTimeout(p.ctx, limit+time.Duration(len(b)/1000)*time.Millisecond)
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
