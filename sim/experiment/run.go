package experiment

import (
	"runtime"
	"sync"
	"time"

	"coppercourse/internal/settings"
	"coppercourse/internal/wire"
	"coppercourse/sim"
)

const (
	settleTime        = 60 * time.Second // from the last submission to the end of the run
	unresolvedTimeout = 5 * time.Second
	shortLease        = 800 * time.Millisecond // agent lease under a policy without long leases
)

// Result is the metrics of one run.
type Result struct {
	Policy     string  `json:"policy"`
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"day"`
	Seed       int64   `json:"seed"`
	Measure    Measure `json:"measure"`
}

// plannedRun is one run of a plan and the location of its result.
type plannedRun struct {
	policy     PolicyPlan
	deployment string
	scenario   Scenario
	seed       int64
	result     *Result
}

// Execute runs a checked plan, with up to GOMAXPROCS runs in parallel. It calls progress after each
// run with the number of finished runs and the total.
func (p *Plan) Execute(progress func(done, total int)) []Result {
	results, runs := p.plannedRuns()
	queue := make(chan plannedRun)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for planned := range queue {
				*planned.result = p.executeRun(planned)
				mu.Lock()
				done++
				progress(done, len(runs))
				mu.Unlock()
			}
		})
	}
	for _, planned := range runs {
		queue <- planned
	}
	close(queue)
	workers.Wait()
	return results
}

// plannedRuns returns all runs of a plan and the slice that receives their results.
func (p *Plan) plannedRuns() ([]Result, []plannedRun) {
	results := make([]Result, len(p.Policies)*len(p.Deployments)*len(p.Scenarios)*p.Seeds)
	var runs []plannedRun
	for _, scenario := range p.Scenarios {
		for _, name := range p.Deployments {
			for i := range p.Seeds {
				for _, policyPlan := range p.Policies {
					runs = append(runs, plannedRun{policyPlan, name, scenario, p.FirstSeed + int64(i),
						&results[len(runs)]})
				}
			}
		}
	}
	return results, runs
}

// executeRun executes one run. Its jobs and faults depend only on the deployment, scenario and seed.
func (p *Plan) executeRun(planned plannedRun) Result {
	d, _ := findDeployment(planned.deployment) // the plan was checked
	run := sim.NewWithDeployment(simPlan(planned), d)
	run.Policy = planned.policy.policy
	renewals := 0
	run.TamperCall = func(call *wire.WorkerCall) {
		if call.Kind == wire.RenewLease {
			renewals++
		}
	}
	workload := sim.DrawWorkload(d, planned.seed, p.traffic(), p.load(), planned.scenario.faults())
	run.ExecuteWorkload(workload, planned.scenario.faults(), sim.TrafficStart+p.traffic()+settleTime)
	result := Result{Policy: planned.policy.Name, Deployment: planned.deployment, Scenario: planned.scenario.Name,
		Seed: planned.seed}
	result.Measure = measure(&run.History, d.Queues)
	result.Measure.Renewals = renewals
	result.Measure.Violations = len(run.Verdict().Violations)
	return result
}

// simPlan returns the simulator plan of a run.
func simPlan(planned plannedRun) sim.Plan {
	plan := sim.Plan{Seed: planned.seed, DerivedTimeouts: true, UnresolvedTimeout: unresolvedTimeout}
	if planned.policy.policy.NoLongLease {
		plan.Timeouts = settings.MaxDerivedTimeouts.Dispatch()
		plan.Timeouts.AgentLease, plan.Timeouts.LostAfter = shortLease, shortLease*5/4
	}
	return plan
}
