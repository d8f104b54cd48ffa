package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// maxPeers bounds the peers that a daemon keeps a queue for.
	maxPeers = 4000
	// requestTimeout bounds a request to a peer, besides the time that its size takes at
	// minBytesPerMS, the rate of a slow link in bytes a millisecond.
	requestTimeout = 500 * time.Millisecond
	minBytesPerMS  = 200
	// maxDiscardedBytes is how much of a response is read so that its connection can be
	// used again.
	maxDiscardedBytes = 4096
)

// messagesPath is where every daemon takes the messages of its peers.
const messagesPath = "/mate"

// Sender sends messages to other daemons. Each peer has a queue, a goroutine and a
// connection of its own; the messages queued for it share a request. A message that can't
// be delivered is dropped, since the machines repeat whatever matters.
type Sender struct {
	Sent    atomic.Uint64 // messages that a peer has taken
	Failed  atomic.Uint64 // requests without a response
	Dropped atomic.Uint64 // messages for which there was no room

	dialer *net.Dialer
	mu     sync.Mutex
	queues map[types.Addr]*peerQueue
	closed bool

	// The context is a field because it ends the goroutines of all peers at once. Each
	// request has its own one, derived from it.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewSender returns a sender whose connections come from a source IP, if it is not empty.
// Close ends it.
func NewSender(source string) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		dialer: NewDialer(source),
		queues: map[types.Addr]*peerQueue{},
		ctx:    ctx,
		cancel: cancel,
	}
}

// Send queues a message and returns at once.
func (s *Sender) Send(message wire.OutboundMessage) {
	queue := s.queueFor(message.To)
	if queue == nil {
		s.Dropped.Add(1)
		return
	}
	s.Dropped.Add(uint64(queue.push(message.Message)))
}

// queueFor returns the queue of a peer. It starts the peer's goroutine with the first
// message, and returns nil if there are too many peers or the sender is closed.
func (s *Sender) queueFor(to types.Addr) *peerQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[to]
	if queue == nil && !s.closed && len(s.queues) < maxPeers {
		queue = newPeerQueue()
		s.queues[to] = queue
		s.running.Go(func() { s.sendQueued(to, queue) })
	}
	return queue
}

// sendQueued sends the queued messages of a peer until the sender is closed. A connection
// that has not been used for idleConnTimeout is closed.
func (s *Sender) sendQueued(to types.Addr, queue *peerQueue) {
	connection := newPeerConnection(s.dialer, to)
	defer connection.close()
	idle := time.NewTimer(idleConnTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-idle.C:
			connection.close()
			continue
		case <-queue.wake:
		}
		for group := queue.popBatch(); len(group) > 0 && s.ctx.Err() == nil; group = queue.popBatch() {
			s.sendBatch(connection, group)
		}
		idle.Reset(idleConnTimeout)
	}
}

// deliver makes one request with a group of messages and counts its outcome. Any response
// counts as success, since only the peer's machine decides what becomes of the messages.
func (s *Sender) sendBatch(connection *peerConnection, group []wire.Message) {
	body := wire.EncodeMessages(group)
	timeout := requestTimeout + time.Duration(len(body)/minBytesPerMS)*time.Millisecond
	if err := connection.post(s.ctx, body, timeout); err != nil {
		s.Failed.Add(1)
		return
	}
	s.Sent.Add(uint64(len(group)))
}

// Close drops the queued messages, cancels the requests in flight and waits for the
// goroutines of all peers.
func (s *Sender) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.running.Wait()
}
