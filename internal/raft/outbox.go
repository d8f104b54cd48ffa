package raft

import (
	"slices"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// outbox holds the outgoing messages of a member. A message that depends on a record is sent only
// once that record is on disk, and only if the member is still in the term in which it created the
// message.
type outbox struct {
	ready        []wire.OutboundMessage
	awaitingSync []pendingMessage
}

// pendingMessage is a message to send once a batch is synced.
type pendingMessage struct {
	afterBatch uint64
	term       types.Term
	message    wire.OutboundMessage
}

// release makes the messages ready that waited for the synced batches, and drops those of them
// that were created in another term.
func (o *outbox) release(syncedBatch uint64, term types.Term) {
	pending := o.awaitingSync[:0]
	for _, p := range o.awaitingSync {
		switch {
		case p.afterBatch > syncedBatch:
			pending = append(pending, p)
		case p.term == term:
			o.ready = append(o.ready, p.message)
		}
	}
	o.awaitingSync = pending
}

// dropSuperseded drops messages awaiting sync that are superseded by a newer one of the same kind
// to the same member.
func (o *outbox) dropSuperseded(newer wire.OutboundMessage) {
	o.awaitingSync = slices.DeleteFunc(o.awaitingSync, func(p pendingMessage) bool {
		return p.message.To == newer.To && p.message.Message.Kind == newer.Message.Kind
	})
}

// takeReady removes and returns the messages that may be sent now.
func (o *outbox) takeReady() []wire.OutboundMessage {
	ready := o.ready
	o.ready = nil
	return ready
}

// send sends a message once the latest term and vote are on disk.
func (n *Node) send(to types.Addr, kind wire.Kind, body any) {
	n.sendAfterBatch(n.disk.hardStateBatch, to, kind, body)
}

// sendAfterBatch sends a message once a batch is on disk. While the disk stalls, only the newest
// reply to a leader is kept, so that memory does not grow during a stall of hours.
func (n *Node) sendAfterBatch(batch uint64, to types.Addr, kind wire.Kind, body any) {
	message := wire.NewMessage(n.self.Addr, to, kind, body)
	if batch <= n.disk.syncedBatch {
		n.outbox.ready = append(n.outbox.ready, message)
		return
	}
	if kind == wire.AppendReply && n.DiskStalled() {
		n.outbox.dropSuperseded(message)
	}
	n.outbox.awaitingSync = append(n.outbox.awaitingSync, pendingMessage{batch, n.hardState.Term, message})
}

// MessagesAwaitingSync returns the number of messages that wait for a sync of the disk.
func (n *Node) MessagesAwaitingSync() int { return len(n.outbox.awaitingSync) }
