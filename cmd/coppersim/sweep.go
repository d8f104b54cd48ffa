package main

// The sweep command: simulated runs over a range of seeds, several at a time, each
// with its own faults. Every broken rule is printed with the seed that shows it.

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/sim"
	"coppercourse/sim/history"
)

// sweeper is the flags of the sweep command and the results so far.
type sweeper struct {
	plan    sim.Plan
	seeds   int
	faults  string
	lease   time.Duration
	verbose bool
	job     string
	pairs   bool
	each    bool

	mu sync.Mutex
	sweepResults
}

// sweepResults are the results of all seeds so far, guarded by the sweeper's mutex.
type sweepResults struct {
	broken        int          // seeds that broke a rule
	attempts      int          // attempts at tasks
	seen          sim.Coverage // how often each rule could have been broken
	ratios        []float64    // jobs done after the faults, beside before, by seed
	ratiosByFault map[string][]float64
	brokenByFault map[string]int
}

// maxBreaksPrinted is how many broken rules are printed of each seed.
const maxBreaksPrinted = 6

func addSweep(app *kingpin.Application, commands commandSet) {
	s := &sweeper{sweepResults: sweepResults{seen: sim.Coverage{}, ratiosByFault: map[string][]float64{}, brokenByFault: map[string]int{}}}
	c := app.Command("sweep", "Run the simulator over many seeds.")
	c.Flag("first", "First seed.").Default("1").Int64Var(&s.plan.Seed)
	c.Flag("seeds", "How many seeds.").Default("200").IntVar(&s.seeds)
	c.Flag("deployment", "kingston or romania, or kingston-called or romania-called, whose workers are invoked.").Default("kingston").
		EnumVar(&s.plan.Deployment, "kingston", "romania", "kingston-called", "romania-called")
	c.Flag("faults", "Faults to draw from, by comma; all that the deployment knows by default. A wrong name prints the list.").StringVar(&s.faults)
	c.Flag("unguarded", "Invoked workers guard nothing.").BoolVar(&s.plan.Unguarded)
	c.Flag("quick", "The shorter timeouts, as where the deployment gives bounds.").BoolVar(&s.plan.Quick)
	c.Flag("lease", "How long an agent's lease lasts, in place of the usual; loss comes a quarter later.").DurationVar(&s.lease)
	c.Flag("count", "Faults in a run.").Default("8").IntVar(&s.plan.FaultCount)
	c.Flag("before", "Traffic before the faults.").Default("10s").DurationVar(&s.plan.Before)
	c.Flag("faults-for", "How long faults come.").Default("30s").DurationVar(&s.plan.FaultsFor)
	c.Flag("after", "Traffic after they are healed.").Default("24s").DurationVar(&s.plan.After)
	c.Flag("settle", "Time for everything to end.").Default("90s").DurationVar(&s.plan.Settle)
	c.Flag("patience", "Every queue's patience; little of it shows that leases alone keep attempts apart.").Default("30s").DurationVar(&s.plan.Patience)
	c.Flag("last", "One more fault at the very end of the traffic.").BoolVar(&s.plan.LastFault)
	c.Flag("pairs", "Each seed draws from one pair of the faults, all pairs in turn; --seeds 0 is one of each.").BoolVar(&s.pairs)
	c.Flag("each", "Each seed draws from one fault, all in turn; --seeds 0 is one of each.").BoolVar(&s.each)
	c.Flag("verbose", "Print each run; with one seed, its time line.").Short('v').BoolVar(&s.verbose)
	c.Flag("job", "Print all that happened to one job, and to workers.").StringVar(&s.job)
	commands["sweep"] = s.run
}

// run plays all seeds and prints the summary.
func (s *sweeper) run() error {
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
	from := time.Now()
	s.runSeeds(sets)
	fmt.Printf("chances the rules had:\n%v", s.seen)
	fmt.Printf("%d seeds of %s, %d attempts run, %d seeds broke a rule, %d re-runs after an end nobody alive was told of; took %s\n",
		s.seeds, s.plan.Deployment, s.attempts, s.broken, s.seen.Reruns(), time.Since(from).Round(time.Second))
	fmt.Printf("jobs done for each one sent from 12 s after healing, beside before the faults: %s\n", minMedianMax(s.ratios))
	s.printByFault()
	if s.broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule", s.broken, s.seeds)
	}
	return nil
}

// chooseFaults sets the faults of the plan from the flag, all known ones by default.
func (s *sweeper) chooseFaults() error {
	known := sim.FaultsOf(s.plan.Deployment)
	s.plan.Faults = known
	if s.faults != "" {
		s.plan.Faults = strings.Split(s.faults, ",")
	}
	for _, f := range s.plan.Faults {
		if !slices.Contains(known, f) {
			return fmt.Errorf("no fault of %s is called %q; there are %s", s.plan.Deployment, f, strings.Join(known, ", "))
		}
	}
	return nil
}

// runSeeds runs all seeds, as many at a time as there are processors.
func (s *sweeper) runSeeds(sets [][]string) {
	seeds := make(chan int64)
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed := range seeds {
				s.runSeed(seed, sets[int(seed-s.plan.Seed)%len(sets)])
			}
		}()
	}
	for i := range s.seeds {
		seeds <- s.plan.Seed + int64(i)
	}
	close(seeds)
	all.Wait()
}

// faultSets returns the faults that the seeds draw from in turn: one set, or with
// --each or --pairs one for each fault or pair.
func (s *sweeper) faultSets() (list [][]string) {
	all := s.plan.Faults
	for i, a := range all {
		for _, b := range all[i:] {
			if a == b && s.each || a != b && s.pairs {
				list = append(list, []string{a, b})
			}
		}
	}
	if list == nil {
		list = [][]string{all}
	}
	return
}

// printByFault prints, with --each or --pairs, the faults in the order of the least service
// after them.
func (s *sweeper) printByFault() {
	type row struct {
		name string
		list []float64
	}
	var rows []row
	for n, l := range s.ratiosByFault {
		sort.Float64s(l)
		rows = append(rows, row{n, l})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.list[0], b.list[0]), cmp.Compare(a.name, b.name))
	})
	for _, r := range rows {
		fmt.Printf("  %-16s ratio %s; %d runs broke a rule\n", r.name, minMedianMax(r.list), s.brokenByFault[r.name])
	}
}

// runSeed plays a seed and adds its results.
func (s *sweeper) runSeed(seed int64, faults []string) {
	p := s.plan
	p.Seed, p.Faults = seed, faults
	defer func() {
		if e := recover(); e != nil {
			panic(fmt.Sprintf("seed %d: %v", seed, e))
		}
	}()
	r := sim.New(p).Execute()
	v := r.Verdict()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(v, faults)
	broke := len(v.Violations) > 0
	if broke && len(faults) == 2 {
		fmt.Println(strings.Join(faults, ","))
	}
	if s.verbose || broke {
		fmt.Printf("seed %d: ratio %.2f, %s\n", seed, v.Ratio, history.Summary(&r.History))
	}
	if s.seeds == 1 && s.verbose {
		fmt.Println(history.Timeline(&r.History))
	}
	if s.job != "" {
		s.printJob(r)
	}
	for _, b := range v.Violations[:min(len(v.Violations), maxBreaksPrinted)] {
		fmt.Printf("  %s\n", b)
	}
}

// count adds a verdict to the results.
func (s *sweeper) count(v sim.Verdict, faults []string) {
	broke := len(v.Violations) > 0
	s.seen.Add(v.Coverage)
	s.attempts += v.Attempts
	s.ratios = append(s.ratios, v.Ratio)
	if broke {
		s.broken++
	}
	if !s.pairs && !s.each {
		return
	}
	for i, f := range faults {
		if i > 0 && f == faults[0] {
			continue
		}
		s.ratiosByFault[f] = append(s.ratiosByFault[f], v.Ratio)
		if broke {
			s.brokenByFault[f]++
		}
	}
}

// printJob prints what happened to the job of the flag, and to workers.
func (s *sweeper) printJob(r *sim.Run) {
	for _, h := range r.History.Events {
		of := string(h.Job) == s.job || string(h.Attempt.Job) == s.job
		if of || h.Attempt.Job == "" && h.Shard != "" {
			fmt.Printf("  %8.3f s %-10s %s %v %s %s %s\n", float64(h.At)/float64(time.Second), h.Kind, h.Process, h.Attempt, h.Outcome, h.Stage, h.Text)
		}
	}
	fmt.Print(r.JobTrail(s.job))
}

// minMedianMax returns the least, the median and the greatest of a list, which it sorts.
func minMedianMax(list []float64) string {
	if len(list) == 0 {
		return "nothing"
	}
	sort.Float64s(list)
	return fmt.Sprintf("least %.2f, median %.2f, most %.2f of %d", list[0], list[len(list)/2], list[len(list)-1], len(list))
}
