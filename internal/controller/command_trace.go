package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
)

// traceCommand records the effects of an applied command on jobs and the table in the trace.
func (c *Controller) traceCommand(command state.Command, index types.Index) {
	switch {
	case command.Table != nil:
		c.Trace.Add(c.now.Wall, trace.TableSubject(c.log.state().Table.Version), "table applied", "index", index)
	case command.Job != nil:
		c.Trace.Add(c.now.Wall, trace.JobSubject(command.Job.ID), "submission applied", "index", index)
	case command.Cancel != "":
		c.Trace.Add(c.now.Wall, trace.JobSubject(command.Cancel), "cancellation applied", "index", index)
	}
	for _, a := range command.Assignments {
		job := trace.JobSubject(a.ID.Job)
		c.Trace.Add(c.now.Wall, job, "attempt assigned", "attempt", a.ID, "worker", a.Shard)
	}
	for _, end := range command.Ends {
		job := trace.JobSubject(end.ID.Job)
		c.Trace.Add(c.now.Wall, job, "attempt end applied", "attempt", end.ID, "outcome", end.Outcome)
	}
}
