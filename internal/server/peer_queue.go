package server

import (
	"sync"

	"coppercourse/internal/wire"
)

// Limits of the messages queued for one peer, and of those in one request.
const (
	maxQueuedMessages     = 1024
	maxQueuedBytes        = 2 << 20
	maxMessagesPerRequest = 128
	maxRequestBytes       = 256 << 10
)

// peerQueue holds the messages for one peer by class, oldest first. More urgent ones are
// sent first. A full queue drops the oldest message of the least urgent class, which newer
// ones make obsolete. It is safe for concurrent use.
type peerQueue struct {
	mu      sync.Mutex
	byClass [wire.NumClasses][]wire.Message
	count   int
	bytes   int           // of all bodies
	wake    chan struct{} // has an element once a message was added
}

func newPeerQueue() *peerQueue { return &peerQueue{wake: make(chan struct{}, 1)} }

// put adds a message and returns how many were dropped for it.
func (q *peerQueue) push(message wire.Message) (dropped int) {
	q.mu.Lock()
	class := wire.ClassOfKind(message.Kind)
	q.byClass[class] = append(q.byClass[class], message)
	q.count++
	q.bytes += len(message.Body)
	for q.bytes > maxQueuedBytes && q.count > 1 || q.count > maxQueuedMessages {
		q.popOldest(q.leastUrgent(), 1)
		dropped++
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

// leastUrgent returns the least urgent class that has messages.
func (q *peerQueue) leastUrgent() wire.Class {
	for class := wire.NumClasses - 1; class > 0; class-- {
		if len(q.byClass[class]) > 0 {
			return class
		}
	}
	return 0
}

// remove takes the n oldest messages of a class out.
func (q *peerQueue) popOldest(class wire.Class, n int) []wire.Message {
	waiting := q.byClass[class]
	removed, rest := waiting[:n:n], waiting[n:]
	for _, message := range removed {
		q.bytes -= len(message.Body)
	}
	q.count -= n
	if len(rest) == 0 {
		rest = nil // frees the array
	}
	q.byClass[class] = rest
	return removed
}

// take takes out as many messages as fit into one request, the most urgent first. It stops
// at the first that does not fit, so that a less urgent one does not overtake it.
func (q *peerQueue) popBatch() (group []wire.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	bytes := 0
	for class := range wire.NumClasses {
		waiting := q.byClass[class]
		n := 0
		for n < len(waiting) && len(group)+n < maxMessagesPerRequest {
			body := len(waiting[n].Body)
			if bytes > 0 && bytes+body > maxRequestBytes {
				break
			}
			bytes += body
			n++
		}
		if n > 0 {
			group = append(group, q.popOldest(class, n)...)
		}
		if n < len(waiting) {
			break
		}
	}
	return group
}
