package server

import (
	"encoding/json"

	"coppercourse/internal/wire"
)

// The methods in this file are called by other goroutines than the loop's. They queue an
// event for the machine or read what the loop has published. Ask is in requests.go.

// Deliver queues a message of another daemon. It returns false if the queue has no room for
// its class.
func (el *EventLoop) Deliver(message wire.Message) bool {
	return el.queue.push(queuedEvent{Event: wire.Event{Message: &message}})
}

// BeginShutdown notifies the machine that the daemon is about to stop.
func (el *EventLoop) BeginShutdown() { el.enqueue(wire.Event{Shutdown: true}) }

// Drained reports whether the machine is shutting down and has nothing left to do.
func (el *EventLoop) Drained() bool { return el.drained.Load() }

// StatusJSON returns the status that was last published.
func (el *EventLoop) StatusJSON() json.RawMessage {
	if status := el.statusJSON.Load(); status != nil {
		return *status
	}
	return json.RawMessage("{}")
}

// workerReplied implements replyListener.
func (el *EventLoop) workerReplied(reply wire.WorkerReply) {
	el.enqueue(wire.Event{WorkerReply: &reply})
}

// batchSynced implements diskListener.
func (el *EventLoop) batchSynced(number uint64) { el.enqueue(wire.Event{Synced: number}) }

// diskFailed implements diskListener.
func (el *EventLoop) diskFailed(err error) { el.enqueue(wire.Event{DiskError: err}) }

// enqueue queues an event that must not be lost.
func (el *EventLoop) enqueue(e wire.Event) { el.queue.pushAlways(queuedEvent{Event: e}) }
