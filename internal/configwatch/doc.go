// Package configwatch is the versioned long poll by which gateways get the queue table from
// the leader.
//
// A Watcher asks with the version that it has. The leader's Publisher responds as soon as it
// has another one, or after a while to confirm that there is none. Then the watcher asks
// again.
//
// A watcher may decide by its table only as long as the last confirmation lasts
// (Watcher.ConfirmedUntil), so that no gateway uses a table long after it was replaced. For
// that to hold however late a response comes, a confirmation counts from when its request
// was sent, by the watcher's own clock, and each request has a nonce: a response to a request
// that this process has not sent, or sent too long ago, confirms nothing.
package configwatch
