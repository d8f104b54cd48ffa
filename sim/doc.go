// Package sim runs deployments in a simulated world under faults, and has the checker
// judge what workers, callers and operators saw. Its tests are most of the proof that the
// daemons keep their promises.
//
// It joins packages of its own folder, lowest first: history (what was seen), worker
// (stand-ins for the users' workers), deployment (what is set up), checker (the rules),
// world (virtual time, networks, disks, processors). The fleet of real processes is
// beside it (sim/fleet), the capacity report above it (sim/capacity).
//
//	run.go              Plan and Run: traffic, then faults drawn from the seed, then quiet
//	clients.go          callers; operator.go: operators
//	fault.go            how faults are injected; fault_tables.go: their names;
//	                    fault_targets.go: what they strike; *_faults.go: by what they strike
//	verdict.go          broken rules, and how service came back
//	scale.go            large fleets, of which is counted what each role spends
package sim
