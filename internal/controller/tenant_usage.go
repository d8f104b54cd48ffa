package controller

import (
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// tenantUsage returns the usage of each tenant that has a limit. It counts the attempts in the
// replicated state from their assignment until their end is known, even if their job has ended,
// and the assignments of the rounds in flight. A new leader plans only after it has applied all
// committed commands, so that it counts the same usage as its predecessor.
func (p *planner) tenantUsage(v *leaderView) map[types.TenantName]*placement.TenantUsage {
	usage := map[types.TenantName]*placement.TenantUsage{}
	for name, limit := range v.state.TenantLimits() {
		if limit != (types.Resources{}) {
			usage[name] = &placement.TenantUsage{Limit: limit, Excess: p.quotaExcess}
		}
	}
	if len(usage) == 0 {
		return nil
	}
	for _, j := range v.state.LiveJobs() {
		if used := usage[j.Tenant]; used != nil {
			ready := v.state.ReadyIndex(j, v.clock)
			used.InUse = used.InUse.Add(ready.InUse)
		}
	}
	for task := range p.rounds.pending() {
		j := v.state.Jobs[task.Job]
		if j == nil || j.Ended() {
			continue
		}
		if used := usage[j.Tenant]; used != nil {
			used.InUse = used.InUse.Add(j.Spec.Steps[types.StageOf(task.TaskNumber).Step()].Resources)
		}
	}
	return usage
}

// tenantAllows reports whether a job's tenant may start a task of a stage, or its whole gang; usage
// is nil for a tenant without a limit.
func tenantAllows(usage *placement.TenantUsage, j *state.Job, stage state.ReadyStage) bool {
	if usage == nil {
		return true
	}
	step, tasks := &j.Spec.Steps[stage.Stage.Step()], 1
	if step.Gang {
		tasks = len(stage.Tasks)
	}
	return usage.Allows(step.Resources, tasks)
}
