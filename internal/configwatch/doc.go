// Package configwatch implements the versioned long poll by which gateways fetch the queue
// table from the leader.
//
// A Watcher sends a request with its current version. The leader's Publisher responds as soon
// as the table has a different version, or after a hold time to confirm the current one. Then
// the watcher sends the next request.
//
// A watcher may use its table only until the last confirmation expires
// (Watcher.ConfirmedUntil), so that no gateway uses a table long after it was replaced. To
// guarantee this for delayed responses too, the confirmation period starts when the request
// was sent, on the watcher's own clock. Each request has a nonce: a response to a request that
// this process did not send, or sent too long ago, confirms nothing.
package configwatch
