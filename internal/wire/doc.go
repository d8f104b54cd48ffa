// Package wire defines the inputs and outputs of a daemon's state machine: the messages between
// daemons, the calls from an agent to its worker, and the events and effects of a step.
//
// Messages (Message, Kind) are one-way. Each carries its sender's advertised address, and a reply is
// a separate message. Bodies are JSON and unknown fields are ignored, so that daemons of different
// builds are compatible. Several messages share one HTTP request (EncodeMessages). Frequent bodies
// decode themselves in one pass (BodyDecoder).
//
// Every daemon is a Machine: Step takes one Event and returns its Effects. A machine does no I/O and
// reads no clock, so that internal/server can run it in a daemon and sim can run it in virtual time.
// Class defines the priority of queued events.
package wire
