// Package sim is a deterministic simulator: it runs whole deployments in virtual time, injects
// faults, and has the checker validate the history that workers, callers and operators observed.
// Its tests provide most of the evidence that the daemons keep their guarantees.
//
// It builds on the packages of its own folder, lowest first: history (the recorded events), worker
// (simulated workers of the users), deployment (what a run deploys), checker (the rules), world
// (virtual time, networks, disks, processors). Package sim/fleet runs real processes instead, and
// sim/capacity builds the capacity report from this package's measurements.
//
// A run:
//
//	run.go        Plan and Run, and the set-up of a deployment
//	execute.go    phases of a run: traffic, faults, healing, settling
//	verdict.go    broken rules, and whether service recovered
//	job_trail.go  the daemons' trace points of one job
//	workload.go   workloads that are generated before a run
//
// Clients:
//
//	clients.go               how callers and operators send requests and retry them
//	submissions.go           callers that submit jobs
//	job_requests.go          callers that watch and cancel jobs
//	operators.go             operators that change the table and drain workers
//	versioning_operators.go  operators of deployments whose workers are invoked
//
// Faults:
//
//	fault.go                  injection and recording of faults
//	fault_tables.go           faults by name
//	fault_targets.go          selection of target daemons
//	partition_sides.go        selection of the two sides of a partition
//	daemon_faults.go, network_faults.go, disk_faults.go, clock_faults.go,
//	polling_worker_faults.go, invoked_worker_faults.go
//	                          faults by the component that fails
//	operator_faults.go        faults that operators and callers cause
//	event_faults.go           faults that are triggered by an event
//
// Large fleets:
//
//	scale.go          fleet sizes and set-up
//	scale_load.go     traffic
//	scale_measure.go  measurements
package sim
