// Package state is the replicated state machine that the controllers' log drives: the
// queue table, the jobs with their tasks and attempts, the workers' shapes, drains and
// maintenance calendars.
//
// # Concepts
//
// Each concept has one word, in names and comments alike:
//
//   - A job is what a caller submits: a Spec of steps that depend on one another.
//   - A step is a part of the Spec: a number of equal tasks. With a Schedule all steps run
//     several times; each time is an occurrence of the job.
//   - A stage is one step in one occurrence (types.Stage). It becomes ready as a whole, and
//     a gang is one stage whose tasks are assigned together.
//   - A task is one piece of work of a stage. Its number encodes occurrence, step and index
//     (types.TaskNumber).
//   - An attempt is one execution of a task by one worker (types.AttemptID). It is
//     outstanding from its assignment until its end. A hedge is a second attempt that runs
//     beside the primary one.
//   - An end says with which Outcome an attempt ended. The attempt of a lost worker is
//     unresolved until its true end is known or no longer waited for.
//
// # Commands
//
// State.Apply is the only way to change the state. It takes one Command from the log and
// looks at nothing but the command and the state, so that all controllers come to the same
// state. Time passes only by the cluster time that commands carry. Each kind of command
// has a file of its own, with its apply method and, where the request may be rejected, the
// check (CheckTable, CheckJob, CheckCancel) that the leader makes before it proposes the
// command and Apply makes again.
//
// # Invariants
//
//   - A job has ended only when none of its attempts can still be running.
//   - An attempt number of a task is assigned once.
//   - A task counts as done once any of its attempts ended well, however late that is
//     known, unless the attempt's lease expired first.
//   - An id that was accepted is answered as such for TombstoneAge and never runs twice.
//   - A table that was accepted is never rejected when it is sent again (History).
//
// # Stored form
//
// Commands and snapshots are stored as JSON, and controllers of two releases read each
// other's. Keys and the values of string types never change. Where the name of a field has
// changed since, its tag shows the key.
package state
