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
	depth = 1024
	share = 128
	limit = time.Second
	lanes = 4000
)

// Post sends notes.
type Post struct {
	ctx     context.Context
	client  *http.Client
	mu      sync.Mutex
	lanes   map[mark.Addr]chan word.Note
	Sent    atomic.Uint64
	Failed  atomic.Uint64
	Dropped atomic.Uint64
}

// NewPost makes a sender whose connections come from the given IP, if any.
func NewPost(ctx context.Context, source string) *Post {
	return &Post{ctx: ctx, client: Client(source, 2*time.Second), lanes: map[mark.Addr]chan word.Note{}}
}

// Send puts a note into its lane; a full lane drops it.
func (p *Post) Send(s word.Send) {
	p.mu.Lock()
	lane := p.lanes[s.To]
	if lane == nil {
		if len(p.lanes) >= lanes {
			p.mu.Unlock()
			p.Dropped.Add(1)
			return
		}
		lane = make(chan word.Note, depth)
		p.lanes[s.To] = lane
		go p.run(s.To, lane)
	}
	p.mu.Unlock()
	select {
	case lane <- s.Note:
	default:
		p.Dropped.Add(1)
	}
}

func (p *Post) run(to mark.Addr, lane chan word.Note) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case n := <-lane:
			group := []word.Note{n}
			for len(lane) > 0 && len(group) < share {
				group = append(group, <-lane)
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
