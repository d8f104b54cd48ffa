// Package deployment describes the deployments that trials run: how many machines of
// each role there are, the first table, the workers, and the jobs that callers send.
//
// In kingston and romania workers poll, and callers send the three kinds of jobs of
// polling_jobs.go. In kingston-called, romania-called and their grown forms workers are
// invoked, and jobs are drawn from the shapes of invoked_jobs.go. catalog.go lists all.
package deployment
