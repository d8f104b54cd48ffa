// Package protocol holds the messages of the dispatcher, their codec, the worker states
// and the timeouts. Package dispatch describes the whole.
//
//   - messages.go: between the scheduler and the agents, each named for the call of the
//     Bistro worker protocol that it carries
//   - worker_poll.go: between a polling worker and its agent
//   - decode.go: decoders of the messages that a leader receives most
//   - health.go, timeouts.go: worker states and timeouts
//
// JSON keys are fixed: daemons of two builds run side by side. Where a field's name and
// its key differ, the tag shows the key.
//
// Times of type types.MonoTime are readings of the sender's own monotonic clock. They
// are never compared with those of another machine: a receiver hands them back as it
// got them.
package protocol
