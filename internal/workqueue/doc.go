// Package workqueue decides what an event loop does next: which of the events that wait
// for a machine goes first (Queue), how long each may wait (MaxWait), and when a tick is
// due in between (TickPacer).
//
// The package reads no clock and starts no goroutine, so that the daemons' event loop and
// the simulator share it. Nothing here is safe for use by several goroutines.
package workqueue
