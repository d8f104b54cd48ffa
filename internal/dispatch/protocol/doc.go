// Package protocol defines the dispatcher's messages, their codec, the worker states and
// the timeouts. Package dispatch gives an overview of the dispatcher.
//
//   - messages.go: messages between the scheduler and the agents, each named after the call
//     of the Bistro worker protocol that it carries
//   - worker_poll.go: messages between a polling worker and its agent
//   - decode.go: decoders of the messages that a leader receives most often
//   - health.go, timeouts.go: worker states and timeouts
//
// JSON keys must not change, because daemons of two builds run side by side. Where a
// field's name and its key differ, the tag gives the key.
//
// Times of type types.MonoTime are readings of the sender's own monotonic clock. They
// are never compared with those of another machine: a receiver returns them unchanged.
package protocol
