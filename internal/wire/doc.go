// Package wire holds what crosses the border of a daemon's state machine: the messages
// between the system's own daemons, the calls from an agent to its worker, and the events
// and effects of a step.
//
// Messages (Message, Kind) are one way. Each carries its sender's advertised address, and
// a reply is another message. Bodies are JSON, and unknown fields are ignored, so daemons
// of different builds understand each other. Several messages share one HTTP request
// (EncodeMessages). Bodies that come often decode themselves in one pass (BodyDecoder).
//
// Every daemon is a Machine: Step takes one Event and returns its Effects. A machine does
// no I/O and reads no clock, so internal/server runs it in a daemon and sim in virtual
// time. Class orders the events that wait for a machine by how urgent they are.
package wire
