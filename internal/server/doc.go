// Package server runs a state machine (wire.Machine) in a daemon: it does the I/O that
// the machine has no part in, and it is the only one that reads clocks for it.
//
// EventLoop owns the machine. Its goroutine takes the waiting events in the order of
// their classes (eventQueue), lets the machine step, and hands out the effects:
//
//   - records go to the diskWriter, which writes and syncs them and reports back with an
//     event;
//   - messages go to the Sender, which keeps a queue and a connection for each peer;
//   - calls to a worker go to workerCalls, a goroutine for each call, whose reply is an
//     event;
//   - responses go to whoever waits in EventLoop.Ask.
//
// Handlers are the HTTP routes that every daemon has, GatewayHandlers those that only a
// gateway adds. Serve listens, runs everything under a supervisor and shuts it down in
// order. OpenLog waits for a disk before there is a loop to run.
//
// All that HTTP handlers read of a machine is published by the loop as immutable values
// behind atomic pointers; no handler touches the machine itself.
package server
