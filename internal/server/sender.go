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
	maxQueuedMessages     = 1024
	maxQueuedBytes        = 2 << 20
	maxMessagesPerRequest = 128
	maxRequestBytes       = 256 << 10
	dialTimeout           = 300 * time.Millisecond // for a connection; a peer without power says nothing
	requestTimeout        = 500 * time.Millisecond // for a request, and more for its size
	minBytesPerMS         = 200                    // bytes a millisecond, of a thin link
	maxPeers              = 4000
)

// Sender sends notes.
type Sender struct {
	ctx     context.Context
	client  *http.Client
	mu      sync.Mutex
	queues  map[types.Addr]*peerQueue
	Sent    atomic.Uint64
	Failed  atomic.Uint64
	Dropped atomic.Uint64
}

// peerQueue is what waits for one peer, by class and oldest first. It holds so many bytes
// at most. What is more urgent goes first; the oldest of the least urgent are dropped
// first, since newer ones say the same or more.
type peerQueue struct {
	mu      sync.Mutex
	byClass [wire.NumClasses][]wire.Message
	count   int
	size    int
	wake    chan struct{}
}

func (p *peerQueue) put(n wire.Message) (dropped int) {
	p.mu.Lock()
	class := wire.ClassOfKind(n.Kind)
	p.byClass[class] = append(p.byClass[class], n)
	p.count++
	p.size += len(n.Body)
	for p.size > maxQueuedBytes && p.count > 1 || p.count > maxQueuedMessages {
		p.remove(p.leastUrgent(), 1)
		dropped++
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return
}

// leastUrgent is the least urgent class of which anything waits.
func (p *peerQueue) leastUrgent() wire.Class {
	for c := wire.NumClasses - 1; c > 0; c-- {
		if len(p.byClass[c]) > 0 {
			return c
		}
	}
	return 0
}

// remove takes the oldest of a class out.
func (p *peerQueue) remove(c wire.Class, n int) (group []wire.Message) {
	group = p.byClass[c][:n:n]
	for _, m := range group {
		p.size -= len(m.Body)
	}
	p.count -= n
	if p.byClass[c] = p.byClass[c][n:]; len(p.byClass[c]) == 0 {
		p.byClass[c] = nil
	}
	return
}

// take gives what fits into one request.
func (p *peerQueue) take() (group []wire.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for c := range wire.NumClasses {
		n := 0
		for n < len(p.byClass[c]) && len(group)+n < maxMessagesPerRequest {
			body := len(p.byClass[c][n].Body)
			if size > 0 && size+body > maxRequestBytes {
				break
			}
			size += body
			n++
		}
		whole := n == len(p.byClass[c])
		if n > 0 {
			group = append(group, p.remove(c, n)...)
		}
		if !whole {
			break
		}
	}
	return
}

// NewSender makes a sender whose connections come from the given IP, if any. The
// time of each request goes by its size, so the client has no bound of its own.
func NewSender(ctx context.Context, source string) *Sender {
	return &Sender{ctx: ctx, client: NewClient(source, 0), queues: map[types.Addr]*peerQueue{}}
}

// Send puts a note into its lane; a full lane drops its oldest.
func (se *Sender) Send(s wire.OutboundMessage) {
	se.mu.Lock()
	l := se.queues[s.To]
	if l == nil {
		if len(se.queues) >= maxPeers {
			se.mu.Unlock()
			se.Dropped.Add(1)
			return
		}
		l = &peerQueue{wake: make(chan struct{}, 1)}
		se.queues[s.To] = l
		go se.sendQueued(s.To, l)
	}
	se.mu.Unlock()
	se.Dropped.Add(uint64(l.put(s.Message)))
}

func (se *Sender) sendQueued(to types.Addr, l *peerQueue) {
	for {
		select {
		case <-se.ctx.Done():
			return
		case <-l.wake:
		}
		for group := l.take(); len(group) > 0 && se.ctx.Err() == nil; group = l.take() {
			se.deliver(to, group)
		}
	}
}

func (se *Sender) deliver(to types.Addr, group []wire.Message) {
	b := wire.EncodeMessages(group)
	ctx, stop := context.WithTimeout(se.ctx, requestTimeout+time.Duration(len(b)/minBytesPerMS)*time.Millisecond)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+"/mate", bytes.NewReader(b))
	if err != nil {
		se.Failed.Add(1)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := se.client.Do(req)
	if err != nil {
		se.Failed.Add(1)
		return
	}
	io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
	res.Body.Close()
	se.Sent.Add(uint64(len(group)))
}
