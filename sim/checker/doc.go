// Package checker checks a history against the safety and timing rules. It reports every
// violation, and counts as coverage the situations in which each rule could have been
// violated. A run without such a situation says nothing about the rule.
//
// Check applies the rules for deployments with polling workers. CheckInvoked applies those for
// deployments with invoked workers: their time bounds hold only for machines that no fault has
// affected recently, and not for calls that a worker executed late.
//
// reader.go converts the events into executions of attempts (execution.go), jobs (job.go),
// fault windows (faults.go) and the tables in force (tables.go). Each of the other files
// contains the rules on one subject, and coverage_counts.go counts most of the coverage.
package checker
