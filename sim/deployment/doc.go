// Package deployment defines the deployments of simulated runs and fleet runs: the number of
// machines in each role, the initial table, the workers and the jobs submitted by callers.
//
// In kingston and romania, workers poll, and callers submit the three kinds of jobs in
// polling_jobs.go. In kingston-called, romania-called and the deployments derived from them
// (-shared with tenants, -grown with more machines), workers are invoked, and jobs are drawn
// from the shapes in invoked_jobs.go. catalog.go lists the named deployments; random.go
// generates deployments from a seed.
package deployment
