package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"coppercourse/internal/policy"
	"coppercourse/sim"
	"coppercourse/sim/deployment"
)

// Plan describes an experiment: it runs each policy on each deployment, scenario and seed.
type Plan struct {
	Policies    []PolicyPlan `yaml:"policies"`
	Deployments []string     `yaml:"deployments"` // names from the catalog, or drawn-N
	Scenarios   []Scenario   `yaml:"days"`
	Seeds       int          `yaml:"seeds"`
	FirstSeed   int64        `yaml:"first_seed"`
	TrafficS    int          `yaml:"traffic_s"` // seconds of traffic; 0 means defaultTraffic
	Load        float64      `yaml:"load"`      // multiplier of the deployments' load; 0 means 1
}

// PolicyPlan is one policy, given by the mechanisms that it disables. The first policy of a plan
// is the baseline of the comparison.
type PolicyPlan struct {
	Name   string   `yaml:"name"`
	Off    []string `yaml:"off"`
	policy policy.Policy
}

// Scenario is the fault schedule of a run, called a day in plan files and results.
type Scenario struct {
	Name   string          `yaml:"name"`
	Faults []ScenarioFault `yaml:"faults"`
}

// ScenarioFault is one fault of a scenario.
type ScenarioFault struct {
	Fault string  `yaml:"fault"`
	AtS   float64 `yaml:"at_s"` // seconds from the start of the traffic
	ForS  float64 `yaml:"for_s"`
}

const (
	defaultTraffic = 20 * time.Second
	maxSeeds       = 10_000
	maxTrafficS    = 3600
	drawnPrefix    = "drawn-"
)

// AblationPlan returns a plan that disables one mechanism per policy, on the deployments and
// scenarios of p.
func (p Plan) AblationPlan() Plan {
	p.Policies = []PolicyPlan{{Name: "all on"}}
	for _, name := range policy.Names() {
		p.Policies = append(p.Policies, PolicyPlan{Name: "without " + name, Off: []string{name}})
	}
	return p
}

// ReadPlan reads a plan from a YAML file and checks it.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("read the plan: %w", err)
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(text, &p, yaml.Strict()); err != nil {
		return Plan{}, fmt.Errorf("read the plan %s: %w", path, err)
	}
	return p, p.Check()
}

// Check returns all errors of a plan, joined, and resolves its policies.
func (p *Plan) Check() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if len(p.Policies) == 0 || len(p.Deployments) == 0 || len(p.Scenarios) == 0 {
		fail("a plan needs policies, deployments and days")
	}
	if p.Seeds < 1 || p.Seeds > maxSeeds {
		fail("seeds: want 1 to %d, got %d", maxSeeds, p.Seeds)
	}
	if p.TrafficS < 0 || p.TrafficS > maxTrafficS {
		fail("traffic_s: want 0 to %d, got %d", maxTrafficS, p.TrafficS)
	}
	if p.Load < 0 {
		fail("load: want 0 or more, got %v", p.Load)
	}
	for i := range p.Policies {
		resolved, err := policy.Without(p.Policies[i].Off...)
		if err != nil {
			fail("policies[%d]: %w", i, err)
		}
		p.Policies[i].policy = resolved
	}
	for _, name := range p.Deployments {
		if _, err := findDeployment(name); err != nil {
			errs = append(errs, err)
		}
	}
	for i, scenario := range p.Scenarios {
		errs = append(errs, scenario.check(fmt.Sprintf("days[%d]", i)))
	}
	return errors.Join(errs...)
}

// check returns all errors of a scenario, joined. path is the location of the scenario in the plan.
func (d Scenario) check(path string) error {
	var errs []error
	if d.Name == "" {
		errs = append(errs, fmt.Errorf("%s: a day needs a name", path))
	}
	known := sim.FaultsOf(invokedDeployment)
	for _, fault := range d.Faults {
		if !slices.Contains(known, fault.Fault) {
			errs = append(errs, fmt.Errorf("%s: unknown fault %q; valid faults are %s",
				path, fault.Fault, strings.Join(known, ", ")))
		}
		if fault.AtS < 0 || fault.ForS <= 0 {
			errs = append(errs, fmt.Errorf("%s: %s: want at_s of 0 or more and for_s above 0", path, fault.Fault))
		}
	}
	return errors.Join(errs...)
}

// invokedDeployment is a deployment that supports all faults of invoked workers.
const invokedDeployment = "kingston-called"

// findDeployment returns the deployment with the given name. A name drawn-N gives one that is generated from seed N.
func findDeployment(name string) (deployment.Deployment, error) {
	if number, isDrawn := strings.CutPrefix(name, drawnPrefix); isDrawn {
		seed, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return deployment.Deployment{}, fmt.Errorf("deployment %s: want a number after %s", name, drawnPrefix)
		}
		return deployment.Random(seed), nil
	}
	d := deployment.Named(name)
	if !d.Invoked() {
		return d, fmt.Errorf("no deployment with invoked workers is named %q", name)
	}
	return d, nil
}

// traffic returns the period during which jobs are submitted.
func (p *Plan) traffic() time.Duration {
	if p.TrafficS == 0 {
		return defaultTraffic
	}
	return time.Duration(p.TrafficS) * time.Second
}

// load returns the multiplier of the deployments' load.
func (p *Plan) load() float64 {
	if p.Load == 0 {
		return 1
	}
	return p.Load
}

// faults returns the faults of the scenario in the form that the simulator takes.
func (d Scenario) faults() []sim.TimedFault {
	var list []sim.TimedFault
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, fault := range d.Faults {
		list = append(list, sim.TimedFault{Name: fault.Fault, At: seconds(fault.AtS), Duration: seconds(fault.ForS)})
	}
	return list
}
