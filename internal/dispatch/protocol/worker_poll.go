package protocol

import (
	"fmt"
	"slices"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Poll is the worker's call.
type Poll struct {
	Worker      types.ID            `json:"worker"`
	Agent       types.ID            `json:"agent"`
	Call        uint64              `json:"call"`
	SentAt      types.MonoTime      `json:"stamp"`
	Rack        types.Rack          `json:"rack"`
	Kinds       []types.ServiceKind `json:"kinds"`
	Capacity    types.Resources     `json:"room"`
	Draining    bool                `json:"leaving"`
	DepartsInMS int64               `json:"leave_in_ms"`
	Running     []RunningTask       `json:"running"`
	Ended       []FinishedTask      `json:"ended"`
}

// FinishedTask is an ended attempt that the worker keeps until it is settled.
type FinishedTask struct {
	RunningTask
	Outcome state.Outcome `json:"fate"`
}

// PollReply is what the agent answers. Until is on the worker's own clock: past it
// the worker stops everything by itself.
type PollReply struct {
	Agent      types.ID          `json:"agent"`
	Call       uint64            `json:"call"`
	LeaseUntil types.MonoTime    `json:"until"`
	Start      []AttemptSpec     `json:"start"`
	Stop       []types.AttemptID `json:"stop"`
	Committed  []types.AttemptID `json:"settled"`
}

// Validate tells what is wrong with a call; nothing of a bad one is taken.
func (p Poll) Validate(errs *apierror.ErrorList) {
	errs.Check(p.Worker != "" && len(p.Worker) <= 128, "worker", "want 1 to 128 characters")
	errs.Check(p.Capacity.Contains(types.Resources{}), "room", "want no negative numbers")
	errs.Check(len(p.Kinds) <= 64, "kinds", "more than 64")
	errs.Check(p.DepartsInMS >= 0 && p.DepartsInMS <= 86_400_000, "leave_in_ms", "want 0 to a day")
	errs.Check(p.DepartsInMS == 0 || p.Draining, "leave_in_ms", "only for a worker that is leaving")
	errs.Check(len(p.Running)+len(p.Ended) <= 2000, "running", "more than 2000 legs")
	for i, k := range p.Kinds {
		errs.Check(config.CheckName(string(k)) == "", fmt.Sprintf("kinds[%d]", i), "not a name")
	}
	attempt := func(at string, r RunningTask) {
		errs.Check(config.CheckName(string(r.Attempt.Job)) == "" && r.Attempt.Number >= 0 && r.Attempt.Attempt >= 1, at+".leg", "no such leg can be")
		errs.Check(r.Resources.Contains(types.Resources{}), at+".room", "want no negative numbers")
	}
	for i, r := range p.Running {
		attempt(fmt.Sprintf("running[%d]", i), r)
	}
	for i, e := range p.Ended {
		at := fmt.Sprintf("ended[%d]", i)
		attempt(at, e.RunningTask)
		errs.Check(slices.Contains(polledOutcomes, e.Outcome), at+".fate", "want ok, failed, stopped or refused")
	}
}

var polledOutcomes = []state.Outcome{state.OutcomeOK, state.OutcomeFailed, state.OutcomeStopped, state.OutcomeNeverRan}
