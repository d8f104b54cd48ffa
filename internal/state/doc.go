// Package state is the replicated state machine to which the controllers apply their log: the
// queue table, the jobs with their tasks and attempts, the workers' shapes, drains and
// maintenance calendars.
//
// # Concepts
//
// Names and comments use one term for each concept:
//
//   - A job is what a caller submits: a Spec of steps that depend on one another.
//   - A step is a part of the Spec: a number of identical tasks. With a Schedule all steps
//     run several times; each run is an occurrence of the job.
//   - A stage is one step in one occurrence (types.Stage). It becomes ready as a whole, and
//     a gang is one stage whose tasks are assigned together.
//   - A task is one piece of work of a stage. Its number encodes occurrence, step and index
//     (types.TaskNumber).
//   - An attempt is one execution of a task by one worker (types.AttemptID). It is
//     outstanding from its assignment until its end. A hedge is a second attempt that runs
//     concurrently with the primary one.
//   - An end is the report of the Outcome with which an attempt ended. The attempt of a lost
//     worker is unresolved until its true end is reported or the wait for it times out.
//   - A withdrawal evicts an outstanding attempt: its worker must stop it, and the task is
//     assigned again.
//
// # Commands
//
// State.Apply is the only way to change the state. It takes one Command from the log and is
// a deterministic function of the command and the state, so that all controllers reach the
// same state. Time advances only with the cluster time in the commands. Each kind of command
// has its own file, with its apply method and, where the request may be rejected, the check
// (CheckTable, CheckJob, CheckCancel) that the leader runs before it proposes the command
// and Apply runs again.
//
// # Invariants
//
//   - A job has ended only when none of its attempts can still be running.
//   - An attempt number of a task is assigned at most once.
//   - A task is done once any of its attempts has succeeded, however late the success is
//     reported, unless the attempt's lease expired first.
//   - The id of an accepted job is retained for at least TombstoneAge after the job's end: a
//     repeated submission is acknowledged as accepted and does not run the job again.
//   - A table that was accepted is never rejected as stale when it is sent again (History).
//
// # Stored form
//
// Commands and snapshots are stored as JSON, and controllers of different releases read each
// other's. Keys and the values of string types never change; a field that has been renamed
// keeps its key in its tag.
package state
