// Package sim runs deployments in a simulated world under faults, and has the checker
// judge what workers, callers and operators saw. Its tests are most of the proof that the
// daemons keep their promises.
//
// It joins packages of its own folder, lowest first: history (what was seen), worker
// (stand-ins for the users' workers), deployment (what is set up), checker (the rules),
// world (virtual time, networks, disks, processors). The fleet of real processes is
// beside it (sim/fleet), the capacity report above it (sim/capacity).
//
// A run:
//
//	run.go        Plan and Run, and how a deployment is set up
//	execute.go    its phases: traffic, faults, healing, settling
//	verdict.go    broken rules, and whether service recovered
//	job_trail.go  the daemons' trace points of one job
//
// Clients:
//
//	clients.go               how callers and operators send requests and retry them
//	submissions.go           callers that submit jobs
//	job_requests.go          callers that watch and cancel jobs
//	operators.go             operators that change the table and drain workers
//	versioning_operators.go  those where workers are invoked
//
// Faults:
//
//	fault.go                  how they are injected
//	fault_tables.go           their names
//	fault_targets.go          which daemons they strike
//	partition_sides.go        between which addresses partitions are
//	daemon_faults.go, network_faults.go, disk_faults.go, clock_faults.go,
//	polling_worker_faults.go, invoked_worker_faults.go
//	                          by what they strike
//	operator_faults.go        those that operators and callers cause
//	event_faults.go           faults right after an event
//
// Large fleets:
//
//	scale.go          their sizes, and how they are set up
//	scale_load.go     their traffic
//	scale_measure.go  what is measured of them
package sim
