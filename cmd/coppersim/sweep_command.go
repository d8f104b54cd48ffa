package main

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/sim"
	"coppercourse/sim/history"
)

// sweepCommand implements the sweep command: simulated runs over a range of seeds, several in
// parallel, each with its own faults. Rule violations are printed with the seed that reproduces
// them.
type sweepCommand struct {
	sweepFlags
	results sweepResults
}

// sweepFlags are the flags of the sweep command.
type sweepFlags struct {
	plan      sim.Plan      // of every run, except for seed and faults
	seeds     int           // number of runs
	faults    string        // names, comma-separated
	lease     time.Duration // 0 for the default
	verbose   bool
	job       string // id of the job whose history is printed
	eachPair  bool   // each run draws from two faults
	eachFault bool   // each run draws from one fault
}

// maxPrintedPerSeed bounds the rule violations printed for a seed.
const maxPrintedPerSeed = 6

func addSweep(app *kingpin.Application, commands commandline.Commands) {
	s := &sweepCommand{results: newSweepResults()}
	command := app.Command("sweep", "Run the simulator over many seeds and check every run.")
	s.addTo(command)
	s.addPlanTo(command)
	commands["sweep"] = s.run
}

// addTo adds the flags that select the runs and what is printed.
func (f *sweepFlags) addTo(command *kingpin.CmdClause) {
	command.Flag("first", "First seed.").Default("1").Int64Var(&f.plan.Seed)
	command.Flag("seeds", "Number of seeds.").Default("200").IntVar(&f.seeds)
	command.Flag("pairs", "Each seed draws from one pair of faults, all pairs in turn; --seeds 0 runs each pair once.").
		BoolVar(&f.eachPair)
	command.Flag("each", "Each seed draws from one fault, all in turn; --seeds 0 runs each fault once.").
		BoolVar(&f.eachFault)
	command.Flag("verbose", "Print each run; with one seed, also its timeline.").Short('v').BoolVar(&f.verbose)
	command.Flag("job", "Print the history of one job and of the workers.").PlaceHolder("ID").StringVar(&f.job)
}

// addPlanTo adds the flags that define the plan of a run.
func (f *sweepFlags) addPlanTo(command *kingpin.CmdClause) {
	plan := &f.plan
	command.Flag("deployment", "kingston or romania; with -called, agents call the workers instead of being polled.").
		Default("kingston").EnumVar(&plan.Deployment, "kingston", "romania", "kingston-called", "romania-called")
	command.Flag("faults", "Faults to draw from, comma-separated. Default: all; an unknown name prints the list.").
		StringVar(&f.faults)
	command.Flag("unguarded", "Called workers accept tasks beyond their capacity.").BoolVar(&plan.WorkersAcceptOverload)
	command.Flag("quick", "Use the shorter timeouts that apply when the deployment sets bounds.").
		BoolVar(&plan.DerivedTimeouts)
	command.Flag("lease", "Agent lease, if not the default; a worker is lost after 1.25 leases.").DurationVar(&f.lease)
	command.Flag("count", "Number of faults in a run.").Default("8").IntVar(&plan.FaultCount)
	command.Flag("before", "Traffic before the faults.").Default("10s").DurationVar(&plan.Before)
	command.Flag("faults-for", "Period in which faults are injected.").Default("30s").DurationVar(&plan.FaultPeriod)
	command.Flag("after", "Traffic after the faults are healed.").Default("24s").DurationVar(&plan.After)
	command.Flag("settle", "Time without traffic in which all jobs must end.").Default("90s").DurationVar(&plan.Settle)
	command.Flag("patience", "Unresolved timeout of all queues; a short one tests that leases separate attempts.").
		Default("30s").DurationVar(&plan.UnresolvedTimeout)
	command.Flag("last", "Add a fault at the very end of the traffic.").BoolVar(&plan.FaultAtEnd)
}

// run runs all seeds and prints the summary.
func (s *sweepCommand) run() error {
	if err := s.chooseFaults(); err != nil {
		return err
	}
	if s.lease > 0 {
		s.plan.Timeouts = protocol.DefaultTimeouts
		s.plan.Timeouts.AgentLease, s.plan.Timeouts.LostAfter = s.lease, s.lease*5/4
	}
	sets := s.faultSets()
	if s.seeds == 0 {
		s.seeds = len(sets)
	}
	startedAt := time.Now()
	s.runSeeds(sets)
	s.results.print(s.plan.Deployment, time.Since(startedAt))
	if broken := s.results.failedSeeds; broken > 0 {
		return fmt.Errorf("%d of %d seeds violated a rule", broken, s.seeds)
	}
	return nil
}

// chooseFaults sets the faults of the plan from the flag, by default all known faults.
func (f *sweepFlags) chooseFaults() error {
	known := sim.FaultsOf(f.plan.Deployment)
	f.plan.Faults = known
	if f.faults != "" {
		f.plan.Faults = strings.Split(f.faults, ",")
	}
	for _, fault := range f.plan.Faults {
		if !slices.Contains(known, fault) {
			return fmt.Errorf("deployment %s has no fault %q; known faults: %s",
				f.plan.Deployment, fault, strings.Join(known, ", "))
		}
	}
	return nil
}

// faultSets returns the sets of faults from which the seeds draw in turn: a single set, or with
// --each and --pairs one set for each fault and each pair.
func (f *sweepFlags) faultSets() (sets [][]string) {
	all := f.plan.Faults
	for i, a := range all {
		for _, b := range all[i:] {
			if a == b && f.eachFault || a != b && f.eachPair {
				sets = append(sets, []string{a, b})
			}
		}
	}
	if sets == nil {
		sets = [][]string{all}
	}
	return sets
}

// runSeeds runs all seeds, GOMAXPROCS at a time.
func (s *sweepCommand) runSeeds(sets [][]string) {
	seeds := make(chan int64)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				s.runSeed(seed, sets[int(seed-s.plan.Seed)%len(sets)])
			}
		})
	}
	for i := range s.seeds {
		seeds <- s.plan.Seed + int64(i)
	}
	close(seeds)
	workers.Wait()
}

// runSeed runs a seed, adds its results to the summary and prints the run as the flags request.
func (s *sweepCommand) runSeed(seed int64, faults []string) {
	plan := s.plan
	plan.Seed, plan.Faults = seed, faults
	defer func() {
		if e := recover(); e != nil {
			panic(fmt.Sprintf("seed %d: %v", seed, e))
		}
	}()
	run := sim.New(plan).Execute()
	verdict := run.Verdict()
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	s.results.add(verdict, faults, s.eachFault || s.eachPair)
	s.printRun(run, verdict, faults)
}

func (s *sweepCommand) printRun(run *sim.Run, verdict sim.Verdict, faults []string) {
	broken := len(verdict.Violations) > 0
	if broken && len(faults) == 2 {
		fmt.Println(strings.Join(faults, ","))
	}
	if s.verbose || broken {
		fmt.Printf("seed %d: ratio %.2f, %s\n", run.Plan.Seed, verdict.RecoveryRatio, history.Summary(&run.History))
	}
	if s.seeds == 1 && s.verbose {
		fmt.Println(history.Timeline(&run.History))
	}
	if s.job != "" {
		s.printJob(run)
	}
	for _, violation := range verdict.Violations[:min(len(verdict.Violations), maxPrintedPerSeed)] {
		fmt.Printf("  %s\n", violation)
	}
}

// printJob prints the events of the job selected by --job, and of the workers.
func (s *sweepCommand) printJob(run *sim.Run) {
	for _, event := range run.History.Events {
		ofJob := string(event.Job) == s.job || string(event.Attempt.Job) == s.job
		ofWorker := event.Attempt.Job == "" && event.Shard != ""
		if ofJob || ofWorker {
			fmt.Printf("  %8.3f s %-10s %s %v %s %s %s\n", float64(event.At)/float64(time.Second),
				event.Kind, event.Process, event.Attempt, event.Outcome, event.Status, event.Text)
		}
	}
	fmt.Print(run.JobTrace(s.job))
}
