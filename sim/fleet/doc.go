// Package fleet runs a deployment of real processes on loopback: the daemons, a worker
// process next to each agent, clients that generate the deployment's traffic, and faults at
// scheduled times. At the end the checker verifies the histories recorded by workers and clients.
//
// Every process has its own IP address. Connections to daemons pass through relays
// (partitions.go), which identify the caller by its source address and can therefore partition any
// pair of processes.
//
// process.go manages one process, fleet.go the whole fleet, faults.go defines the faults,
// scenario.go runs a scenario of traffic and faults and reports on it, soak.go draws faults that
// overlap, workload.go and callers.go have the clients, worker_process.go the worker process, and
// idle_usage.go measures the resource usage of the daemons without traffic.
package fleet
