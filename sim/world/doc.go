// Package world is a seeded world in virtual time. It runs the daemons' own state machines:
// each gets its events, and the effects of its steps (messages, calls to workers, records
// and responses) are carried out with simulated clocks, networks, disks and processors. The
// same seed gives the same run.
//
//	world.go          all nodes, and what holds for all of them
//	clock.go          virtual time and what is scheduled in it
//	network.go        losses, delays, partitions; requests.go: requests over it
//	node.go           a daemon's process: start, kill, freeze, steps
//	disk.go           a controller's disk
//	processor.go      steps that take time, in the order of the daemons' own loop
//	polling_node.go   a worker that polls; invoked_node.go: one that is invoked
//	watchers.go       what is to happen after an event of the history
//	usage.go          what a daemon spends; footprint.go: how much memory a value takes
//
// Every node has clocks of its own: a monotonic one that drifts, and a time of day that
// may jump. A frozen node gets nothing until it thaws, and then all of it at once.
package world
