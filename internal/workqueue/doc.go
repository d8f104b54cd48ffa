// Package workqueue schedules the steps of an event loop: which of the events queued for a state
// machine is next (Queue), how long each may wait (MaxWait), and when a tick is due between events
// (TickPacer).
//
// The package reads no clock and starts no goroutine, so that the daemons' event loop and the
// simulator can share it. Nothing here is safe for concurrent use.
package workqueue
