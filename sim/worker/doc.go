// Package worker has the stand-ins for the users' workers. They run attempts by the
// clock: the task's input says how long each takes, whether it fails and what it saves.
// They record what happens in a history, and know nothing of the daemons but what the
// protocol says. The simulator gives them virtual time; the fleet of real processes gives
// them the clock of the machine.
//
// There are two kinds, as the product has two links to a worker:
//
//   - polling.go: Polling asks its agent for work by a long poll;
//   - invoked.go: Invoked is called by its agent, under a lease and a fencing token.
//
// attempt.go and gang.go have what runs on invoked workers, environment.go what all
// invoked workers of a deployment share, work.go the input of a task.
package worker
