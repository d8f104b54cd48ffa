// Package fleet runs a deployment of real processes on loopback: the daemons, a worker
// process beside each agent, callers with the deployment's traffic, and faults at set
// times. At the end the checker judges what workers and callers saw.
//
// Every process has an IP address of its own. Daemons are reached through relays
// (partitions.go), which know by the source address who calls and so can cut any pair of
// processes off from each other.
//
// process.go has one process, fleet.go all of them, faults.go the faults that a day may
// have, day.go the day and its report, workload.go the callers, worker_process.go the
// worker that the fleet starts, idle_usage.go what the daemons spend without traffic.
package fleet
