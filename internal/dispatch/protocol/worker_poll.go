package protocol

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Limits of a Poll.
const (
	maxWorkerIDLength = 128
	maxKinds          = 64
	maxPollAttempts   = 2000
	maxDepartsIn      = 24 * time.Hour
)

// Poll is a polling worker's call to its agent. The worker calls again and again; the
// agent replies at once when it has an update and otherwise after a while. Calls are
// numbered: a reply counts only for the worker's latest call, and a call older than the
// agent's latest is rejected. So an attempt that was in a reply and is not in the next
// call was not started and never will be.
type Poll struct {
	Worker types.ID `json:"worker"` // the worker process
	// Agent is the agent instance that last replied, empty for none.
	Agent       types.ID            `json:"agent"`
	Call        uint64              `json:"call"`  // number of the call
	SentAt      types.MonoTime      `json:"stamp"` // on the worker's clock
	Rack        types.Rack          `json:"rack"`
	Kinds       []types.ServiceKind `json:"kinds"`
	Capacity    types.Resources     `json:"room"`
	Departing   bool                `json:"leaving"`
	DepartsInMS int64               `json:"leave_in_ms"` // with Departing; 0 is not known
	Running     []RunningTask       `json:"running"`
	Ended       []EndedTask         `json:"ended"`
}

// EndedTask is an ended attempt, which the worker lists until its end is committed.
type EndedTask struct {
	RunningTask
	Outcome state.Outcome `json:"fate"`
}

// PollReply is an agent's reply to a Poll.
type PollReply struct {
	Agent types.ID `json:"agent"`
	Call  uint64   `json:"call"` // number of the call replied to
	// LeaseUntil is the end of the worker's lease on the worker's own clock: past it
	// the worker stops everything by itself.
	LeaseUntil types.MonoTime    `json:"until"`
	Start      []AttemptSpec     `json:"start"`
	Stop       []types.AttemptID `json:"stop"`
	Committed  []types.AttemptID `json:"settled"` // ended attempts to list no more
}

// reportableOutcomes are those that a worker may report.
var reportableOutcomes = []state.Outcome{
	state.OutcomeOK, state.OutcomeFailed, state.OutcomeStopped, state.OutcomeNeverRan,
}

// Validate adds all that is wrong with a call to errs. An invalid call must be rejected
// as a whole.
func (p Poll) Validate(errs *apierror.ErrorList) {
	errs.Check(p.Worker != "" && len(p.Worker) <= maxWorkerIDLength, "worker", "want 1 to 128 characters")
	errs.Check(p.Capacity.Contains(types.Resources{}), "room", "want no negative numbers")
	errs.Check(len(p.Kinds) <= maxKinds, "kinds", "more than 64")
	departsInRange := p.DepartsInMS >= 0 && p.DepartsInMS <= maxDepartsIn.Milliseconds()
	errs.Check(departsInRange, "leave_in_ms", "want 0 to a day")
	errs.Check(p.DepartsInMS == 0 || p.Departing, "leave_in_ms", "only for a worker that is leaving")
	errs.Check(len(p.Running)+len(p.Ended) <= maxPollAttempts, "running", "more than 2000 legs")
	for i, kind := range p.Kinds {
		errs.Check(config.CheckName(string(kind)) == "", fmt.Sprintf("kinds[%d]", i), "not a name")
	}
	for i, task := range p.Running {
		task.validate(errs, fmt.Sprintf("running[%d]", i))
	}
	for i, task := range p.Ended {
		path := fmt.Sprintf("ended[%d]", i)
		task.validate(errs, path)
		isKnown := slices.Contains(reportableOutcomes, task.Outcome)
		errs.Check(isKnown, path+".fate", "want ok, failed, stopped or refused")
	}
}

// validate adds what is wrong with a task, which is at path in the document.
func (r RunningTask) validate(errs *apierror.ErrorList, path string) {
	id := r.Attempt
	isValid := config.CheckName(string(id.Job)) == "" && id.TaskNumber >= 0 && id.Attempt >= 1
	errs.Check(isValid, path+".leg", "no such leg can be")
	errs.Check(r.Resources.Contains(types.Resources{}), path+".room", "want no negative numbers")
}
