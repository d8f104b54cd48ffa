// Package server runs a state machine (wire.Machine) in a daemon. It performs the machine's I/O
// and reads the clocks for it.
//
// EventLoop owns the machine. Its goroutine pops the queued events by class (eventQueue), steps
// the machine with each, and dispatches the effects:
//
//   - records go to the diskWriter, which writes and syncs them and reports each synced
//     batch as an event;
//   - messages go to the Sender, which has a queue and a connection for each peer;
//   - calls to a worker go to workerCalls, which reports each reply as an event;
//   - responses go to the callers that wait in EventLoop.Ask.
//
// Handlers are the HTTP routes that every daemon has, GatewayHandlers those that only a
// gateway adds. Serve listens on the daemon's endpoints, runs all parts of the daemon under a
// supervisor and shuts them down in order. OpenLog opens the write-ahead log before the loop
// starts, and retries while the disk fails.
//
// Goroutines and what they own:
//
//   - the event loop (EventLoop.Run): the machine, its observer and the pending requests;
//   - the disk writer (diskWriter.run), on controllers: the log file and its backoff;
//   - one for each peer (Sender.sendQueued): the request to that peer in flight;
//   - one for each call to the worker (workerCalls.start): that call;
//   - one for each endpoint (endpointServer.run): the listener and its HTTP servers;
//   - the shutdown (Handlers.shutDown): the progress of the shutdown;
//   - those of net/http, for HTTP handlers: their request and response.
//
// HTTP handlers never access the machine itself. The loop's goroutine publishes what they read
// as immutable values behind atomic pointers.
package server
