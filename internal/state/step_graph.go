package state

import "time"

// MaxPathDuration bounds the durations that StepGraph.LongestPaths returns. It leaves room for sums
// and small multiples of them in 64 bits.
const MaxPathDuration = 1 << 55 * time.Nanosecond // 417 days

// StepGraph is the graph of the dependencies between the steps of a job. Steps are named by their
// index in Spec.Steps.
type StepGraph struct {
	dependencies [][]int // by step: the steps that must be done first
	order        []int   // each step after those that it depends on; lacks steps that depend on a cycle
}

// StepGraph returns the graph of the job's steps. Names of steps that do not exist are skipped.
func (s Spec) StepGraph() *StepGraph {
	index := make(map[string]int, len(s.Steps))
	for i := range s.Steps {
		index[s.Steps[i].Name] = i
	}
	graph := &StepGraph{dependencies: make([][]int, len(s.Steps))}
	for i := range s.Steps {
		for _, name := range s.Steps[i].DependsOn {
			if dependency, ok := index[name]; ok {
				graph.dependencies[i] = append(graph.dependencies[i], dependency)
			}
		}
	}
	graph.sort()
	return graph
}

// sort sets the order, by Kahn's algorithm.
func (g *StepGraph) sort() {
	dependents := make([][]int, len(g.dependencies))
	missing := make([]int, len(g.dependencies)) // number of dependencies that are not in the order yet
	for step, dependencies := range g.dependencies {
		missing[step] = len(dependencies)
		if len(dependencies) == 0 {
			g.order = append(g.order, step)
		}
		for _, dependency := range dependencies {
			dependents[dependency] = append(dependents[dependency], step)
		}
	}
	for next := 0; next < len(g.order); next++ {
		for _, dependent := range dependents[g.order[next]] {
			missing[dependent]--
			if missing[dependent] == 0 {
				g.order = append(g.order, dependent)
			}
		}
	}
}

// firstInCycle returns the first step that is part of a dependency cycle or depends on one, or -1.
func (g *StepGraph) firstInCycle() int {
	ordered := make([]bool, len(g.dependencies))
	for _, step := range g.order {
		ordered[step] = true
	}
	for step, ok := range ordered {
		if !ok {
			return step
		}
	}
	return -1
}

// LongestPaths returns for each step the duration of the longest chain of dependent steps that
// starts with it, at most MaxPathDuration. durations has the duration of each step.
func (g *StepGraph) LongestPaths(durations []time.Duration) []time.Duration {
	longest := make([]time.Duration, len(durations)) // of what follows a step, until the step is reached
	for i := len(g.order) - 1; i >= 0; i-- {
		step := g.order[i]
		duration := min(max(0, durations[step]), MaxPathDuration)
		longest[step] = min(duration+longest[step], MaxPathDuration)
		for _, dependency := range g.dependencies[step] {
			longest[dependency] = max(longest[dependency], longest[step])
		}
	}
	return longest
}

// StepGraph returns the graph of the job's steps. The caller must not modify it.
func (j *Job) StepGraph() *StepGraph {
	if j.stepGraph == nil {
		j.stepGraph = j.Spec.StepGraph()
	}
	return j.stepGraph
}
