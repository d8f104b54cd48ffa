package main

// The fleet command: a deployment of real processes on loopback with traffic and
// faults, judged by the checker; and the worker command, whose processes the fleet
// starts.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/sim"
	"coppercourse/sim/history"
)

// Timings and bounds of a fleet run.
const (
	startLimit = 30 * time.Second // until all daemons are ready
	extraTime  = 4 * time.Minute  // beside the traffic: start, settling, report
	maxPrinted = 20               // broken rules that are printed
)

// fleetRun is the flags of the fleet command.
type fleetRun struct {
	deployment string
	bin, dir   string
	port       int
	traffic    time.Duration
	speed      float64
	idle       time.Duration
	seed       int64
	faults     string
}

func addFleet(app *kingpin.Application, commands commandSet) {
	r := &fleetRun{}
	c := app.Command("fleet", "Run a deployment of real processes with its traffic and faults.")
	c.Flag("deployment", "kingston or romania.").Default("kingston").EnumVar(&r.deployment, "kingston", "romania")
	c.Flag("bin", "The coppercourse program.").Default("bin/coppercourse").ExistingFileVar(&r.bin)
	c.Flag("dir", "Folder for logs, data and histories; a new one by default.").StringVar(&r.dir)
	c.Flag("port", "Port of all daemons, each on its own loopback address.").Default("7400").IntVar(&r.port)
	c.Flag("for", "How long the traffic goes on.").Default("30s").DurationVar(&r.traffic)
	c.Flag("speed", "Times the deployment's usual rates.").Default("1").Float64Var(&r.speed)
	c.Flag("idle", "Before the traffic, let the fleet be so long and tell what its daemons spend.").DurationVar(&r.idle)
	c.Flag("seed", "Seed of the callers.").Default("1").Int64Var(&r.seed)
	c.Flag("faults", "Faults as name@at+long, by comma.").StringVar(&r.faults)
	commands["fleet"] = r.run
}

// run starts the fleet, lets its traffic and faults go on, and reports.
func (fr *fleetRun) run() error {
	faults, err := sim.ParseFaults(fr.faults)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, end := context.WithTimeout(ctx, fr.traffic+fr.idle+extraTime)
	defer end()
	f, err := fr.open(ctx)
	if err != nil {
		return err
	}
	defer f.Stop()
	workload := sim.NewWorkload(f, fr.seed, fr.speed)
	if _, err := workload.PutTable(f.Deployment.Table()); err != nil {
		return err
	}
	if err := fr.measureIdle(f); err != nil {
		return err
	}
	late := f.RunDay(workload, fr.traffic, faults)
	broken, err := f.Report(workload)
	if err != nil {
		return err
	}
	for i, b := range broken {
		if i < maxPrinted {
			fmt.Println(b)
		}
	}
	if late != nil {
		return late
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d breaks of the rules", len(broken))
	}
	fmt.Println("no rule broken")
	return nil
}

// open starts the processes and waits until all daemons are ready.
func (fr *fleetRun) open(ctx context.Context) (*sim.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if fr.dir == "" {
		if fr.dir, err = os.MkdirTemp("", "fleet"); err != nil {
			return nil, err
		}
	}
	f := &sim.Fleet{Deployment: sim.Deployments[fr.deployment], Dir: fr.dir, Bin: fr.bin, Self: self, Port: fr.port}
	if err := f.Start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	from := time.Now()
	if err := f.AwaitReady(startLimit); err != nil {
		f.Stop()
		return nil, err
	}
	fmt.Printf("ready after %s; logs in %s\n", time.Since(from).Round(10*time.Millisecond), filepath.Clean(fr.dir))
	return f, nil
}

// measureIdle prints what the daemons spend before there is traffic.
func (fr *fleetRun) measureIdle(f *sim.Fleet) error {
	if fr.idle <= 0 {
		return nil
	}
	text, err := f.MeasureIdle(fr.idle)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}

func addWorker(app *kingpin.Application, commands commandSet) {
	w := app.Command("worker", "Be one stand-in worker (the fleet starts these).")
	agent := w.Flag("agent", "IP:port of its agent.").Required().String()
	source := w.Flag("source", "IP to call from.").String()
	id := w.Flag("id", "Its identity.").Default("worker").String()
	hist := w.Flag("history", "File that its history is appended to.").Default("worker.history").String()
	made := w.Flag("make", "What it is made of, as JSON.").Default(`{"Shard":"k1","Rack":"r1","Kinds":["quote"],"Room":{"cores":4,"memory":1024}}`).String()
	commands["worker"] = func() error {
		var m history.WorkerSpec
		if err := json.Unmarshal([]byte(*made), &m); err != nil {
			return fmt.Errorf("--make: %w", err)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return sim.RunWorkerProcess(ctx, m, *id, *agent, *source, *hist, time.Now().UnixNano())
	}
}
