// Package experiment compares policies in the simulator. It plays the same jobs and faults
// under each policy, on several deployments and seeds, measures what the clients got and what
// it cost, and gives the differences to the first policy with their confidence intervals.
//
// plan.go reads what to play, run.go plays it, worth.go measures a run, compare.go compares,
// report.go and plot.go show the results.
package experiment
