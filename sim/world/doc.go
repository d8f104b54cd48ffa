// Package world is a deterministic simulation in virtual time. It runs the daemons' own state
// machines: it delivers events to them, and carries out the effects of their steps (messages,
// calls to workers, log records and responses) on simulated clocks, networks, disks and
// processors. All randomness derives from one seed, so the same seed gives the same run.
//
//	world.go          all nodes, and the options and hooks that apply to all of them
//	clock.go          virtual time and the event queue
//	network.go        packet loss, delays, partitions; requests.go: requests over the network
//	node.go           a daemon process: start, kill, pause, steps
//	disk.go           a controller's disk
//	processor.go      steps that take time, in the order of the daemons' event loop
//	polling_node.go   a polling worker; invoked_node.go: an invoked worker
//	watchers.go       functions to run after an event of the history
//	usage.go          resource usage of a daemon; footprint.go: memory size of a value
//
// Every node has its own clocks: a monotonic clock that drifts, and a wall clock that may jump.
// Events for a paused node are queued and delivered together when it resumes.
package world
