// Package server runs a state machine (wire.Machine) in a daemon. It does the I/O that the
// machine does not do, and reads the clocks for it.
//
// EventLoop owns the machine. Its goroutine takes the queued events in the order of their
// classes (eventQueue), has the machine step, and hands the effects to those that carry
// them out:
//
//   - records go to the diskWriter, which writes and syncs them and reports each synced
//     batch as an event;
//   - messages go to the Sender, which has a queue and a connection for each peer;
//   - calls to a worker go to workerCalls, which reports each reply as an event;
//   - responses go to the callers that wait in EventLoop.Ask.
//
// Handlers are the HTTP routes that every daemon has, GatewayHandlers those that only a
// gateway adds. Serve listens on the daemon's endpoints, runs everything under a supervisor
// and shuts it down in order. OpenLog opens the write-ahead log, and waits for a disk that
// fails, before there is a loop to run.
//
// Goroutines and what they own:
//
//   - the event loop (EventLoop.Run): the machine, its observer and the pending requests;
//   - the disk writer (diskWriter.run), on controllers: the log file and its backoff;
//   - one for each peer (Sender.sendQueued): the request to that peer in flight;
//   - one for each call to the worker (workerCalls.start): that call;
//   - one for each endpoint (endpointServer.run): the listener and its HTTP servers;
//   - the shutdown (Handlers.shutDown): how far the shutdown is;
//   - those of net/http, for HTTP handlers: their request and response.
//
// What HTTP handlers read of a machine is published by the loop's goroutine as immutable
// values behind atomic pointers. No handler uses the machine itself.
package server
