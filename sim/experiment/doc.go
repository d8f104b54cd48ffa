// Package experiment compares scheduling policies in the simulator. It runs the same jobs and
// faults under each policy on several deployments and seeds, measures the benefit to clients and
// the cost of each run, and reports the differences from the first policy with confidence intervals.
//
// The benefit is measured as worth: every job has a worth that grows with its work, and earns all,
// a part or none of it depending on how its completion time compares with its latency target.
//
// plan.go reads and checks the plan, run.go executes it, worth.go computes the metrics of a run,
// losses.go attributes lost worth to causes, compare.go compares policies, report.go and plot.go
// present the results, and scenario_report.go reads scored runs from journal entries.
package experiment
