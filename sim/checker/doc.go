// Package checker judges a history: it reports every rule that the history breaks, and
// counts the opportunities that the run gave each rule to be broken. A run in which a
// rule had none proves nothing of it.
//
// Check judges deployments whose workers poll, by the rules of the project's first
// brief. CheckInvoked judges those whose workers are invoked, by the rules of their
// users: bounds of time hold only for machines that no fault has affected for a while,
// and not for calls that a worker carried out late.
//
// reader.go turns the events into executions of attempts (execution.go), jobs (job.go),
// fault windows (faults.go) and the tables in force (tables.go). Each of the other files
// has the rules on one subject, and opportunities.go what they are counted by.
package checker
