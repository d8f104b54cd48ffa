// The sweep: simulated runs over a range of seeds, several at a time, each with
// its own faults; every broken rule is printed with the seed that shows it.
package main

import (
	"fmt"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/dispatch"
	"coppercourse/sim"
)

type sweeper struct {
	plan          sim.Plan
	seeds         int
	faults        string
	lease         time.Duration
	verbose       bool
	job           string
	mu            sync.Mutex
	bad, attempts int
	seen          sim.Tally
	after         []float64
	pairs         bool
	each          bool
	part          map[string][]float64 // ratios by fault
	broke         map[string]int
}

func sweep(app *kingpin.Application, runs map[string]func() error) {
	s := &sweeper{seen: sim.Tally{}, part: map[string][]float64{}, broke: map[string]int{}}
	c := app.Command("sweep", "Run the simulator over many seeds.")
	c.Flag("first", "First seed.").Default("1").Int64Var(&s.plan.Seed)
	c.Flag("seeds", "How many seeds.").Default("200").IntVar(&s.seeds)
	c.Flag("deployment", "kingston or romania, or kingston-called or romania-called, whose workers are invoked.").Default("kingston").
		EnumVar(&s.plan.Deployment, "kingston", "romania", "kingston-called", "romania-called")
	c.Flag("faults", "Faults to draw from, by comma; all that the deployment knows by default. A wrong name prints the list.").StringVar(&s.faults)
	c.Flag("bare", "Invoked workers guard nothing.").BoolVar(&s.plan.Unguarded)
	c.Flag("quick", "The quick pace, as where the surroundings give bounds.").BoolVar(&s.plan.Quick)
	c.Flag("lease", "How long an agent's grant lasts, in place of the usual; loss comes a quarter later.").DurationVar(&s.lease)
	c.Flag("count", "Faults in a run.").Default("8").IntVar(&s.plan.Count)
	c.Flag("before", "Traffic before the faults.").Default("10s").DurationVar(&s.plan.Before)
	c.Flag("faults-for", "How long faults come.").Default("30s").DurationVar(&s.plan.FaultsFor)
	c.Flag("after", "Traffic after they are healed.").Default("24s").DurationVar(&s.plan.After)
	c.Flag("settle", "Time for everything to end.").Default("90s").DurationVar(&s.plan.Settle)
	c.Flag("patience", "Every queue's patience; little of it shows that grants alone keep attempts apart.").Default("30s").DurationVar(&s.plan.Patience)
	c.Flag("last", "One more fault at the very end of the traffic.").BoolVar(&s.plan.Last)
	c.Flag("pairs", "Each seed draws from one pair of the faults, all pairs in turn; --seeds 0 is one of each.").BoolVar(&s.pairs)
	c.Flag("each", "Each seed draws from one fault, all in turn; --seeds 0 is one of each.").BoolVar(&s.each)
	c.Flag("verbose", "Print each run; with one seed, its time line.").Short('v').BoolVar(&s.verbose)
	c.Flag("job", "Print all that happened to one job, and to workers.").StringVar(&s.job)
	runs["sweep"] = s.run
}

func (s *sweeper) run() error {
	known := sim.FaultsOf(s.plan.Deployment)
	if s.plan.Faults = known; s.faults != "" {
		s.plan.Faults = strings.Split(s.faults, ",")
	}
	for _, f := range s.plan.Faults {
		if !slices.Contains(known, f) {
			return fmt.Errorf("no fault of %s is called %q; there are %s", s.plan.Deployment, f, strings.Join(known, ", "))
		}
	}
	if s.lease > 0 {
		s.plan.Timeouts = dispatch.Defaults
		s.plan.Timeouts.Grant, s.plan.Timeouts.Loss = s.lease, s.lease*5/4
	}
	sets := s.sets()
	if s.seeds == 0 {
		s.seeds = len(sets)
	}
	seeds := make(chan int64)
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed := range seeds {
				s.one(seed, sets[int(seed-s.plan.Seed)%len(sets)])
			}
		}()
	}
	from := time.Now()
	for i := range s.seeds {
		seeds <- s.plan.Seed + int64(i)
	}
	close(seeds)
	all.Wait()
	fmt.Printf("chances the rules had:\n%v", s.seen)
	fmt.Printf("%d seeds of %s, %d attempts run, %d seeds broke a rule, %d re-runs after an end nobody alive was told of; took %s\n",
		s.seeds, s.plan.Deployment, s.attempts, s.bad, s.seen.Reruns(), time.Since(from).Round(time.Second))
	fmt.Printf("jobs done for each one sent from 12 s after healing, beside before the faults: %s\n", sim.Spread(s.after))
	s.worst()
	if s.bad > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule", s.bad, s.seeds)
	}
	return nil
}

// sets are the faults that the seeds draw from in turn.
func (s *sweeper) sets() (list [][]string) {
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

// worst prints the faults after which service came back least.
func (s *sweeper) worst() {
	type row struct {
		name string
		list []float64
	}
	var rows []row
	for n, l := range s.part {
		sort.Float64s(l)
		rows = append(rows, row{n, l})
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].list[0] < rows[k].list[0] })
	for _, r := range rows {
		fmt.Printf("  %-16s ratio %s; %d runs broke a rule\n", r.name, sim.Spread(r.list), s.broke[r.name])
	}
}

func (s *sweeper) one(seed int64, faults []string) {
	p := s.plan
	p.Seed, p.Faults = seed, faults
	defer func() {
		if e := recover(); e != nil {
			panic(fmt.Sprintf("seed %d: %v", seed, e))
		}
	}()
	r := sim.Build(p).Go()
	v := r.Verdict()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Add(v.Seen)
	s.attempts += v.Attempts
	s.after = append(s.after, v.Ratio)
	if s.pairs || s.each {
		for i, f := range faults {
			if i == 0 || f != faults[0] {
				s.part[f] = append(s.part[f], v.Ratio)
				if len(v.Breaks) > 0 {
					s.broke[f]++
				}
			}
		}
	}
	if s.verbose || len(v.Breaks) > 0 {
		if len(v.Breaks) > 0 && len(faults) == 2 {
			fmt.Println(strings.Join(faults, ","))
		}
		fmt.Printf("seed %d: ratio %.2f, %s\n", seed, v.Ratio, sim.Summary(&r.Hist))
	}
	if s.seeds == 1 && s.verbose {
		fmt.Println(sim.Timeline(&r.Hist))
	}
	for _, h := range r.Hist.List {
		if s.job != "" && (string(h.Job) == s.job || string(h.Attempt.Job) == s.job || h.Attempt.Job == "" && h.Shard != "") {
			fmt.Printf("  %8.3f s %-10s %s %v %s %s %s\n", float64(h.At)/1e9, h.What, h.Who, h.Attempt, h.Outcome, h.Stage, h.Text)
		}
	}
	if s.job != "" {
		fmt.Print(r.Marks(s.job))
	}
	if len(v.Breaks) == 0 {
		return
	}
	s.bad++
	for i, b := range v.Breaks {
		if i < 6 {
			fmt.Printf("  %s\n", b)
		}
	}
}
