// Package worker implements simulated workers. They execute attempts by the clock: the
// input of a task defines its duration, whether it fails and whether it crashes the process.
// Workers record events in a history and interact with the daemons only through the
// protocol. They run on virtual time in the simulator and on the machine's clock in the
// fleet of real processes.
//
// There is one kind for each of the product's two worker protocols:
//
//   - polling.go: Polling requests work from its agent by long polls;
//   - invoked.go: Invoked is called by its agent, under a lease and a fencing token.
//
// attempt.go and gang.go implement attempts and gangs on invoked workers, environment.go
// the state shared by all invoked workers of a deployment, work.go the input of a task.
package worker
