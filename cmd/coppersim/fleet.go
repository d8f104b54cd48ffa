// The fleet: a deployment of real processes on loopback, its traffic, faults, and the
// checker's verdict; and the worker process that the fleet starts.
package main

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
)

func fleet(app *kingpin.Application, runs map[string]func() error) {
	c := app.Command("fleet", "Run a deployment of real processes with its traffic and faults.")
	deployment := c.Flag("deployment", "kingston or romania.").Default("kingston").Enum("kingston", "romania")
	bin := c.Flag("bin", "The coppercourse program.").Default("bin/coppercourse").ExistingFile()
	dir := c.Flag("dir", "Folder for logs, data and histories; a new one by default.").String()
	port := c.Flag("port", "Port of all daemons, each on its own loopback address.").Default("7400").Int()
	long := c.Flag("for", "How long the traffic goes on.").Default("30s").Duration()
	speed := c.Flag("speed", "Times the deployment's usual rates.").Default("1").Float64()
	idle := c.Flag("idle", "Before the traffic, let the fleet be so long and tell what its daemons spend.").Duration()
	seed := c.Flag("seed", "Seed of the callers.").Default("1").Int64()
	faults := c.Flag("faults", "Faults as name@at+long, by comma.").String()
	runs["fleet"] = func() error {
		list, err := sim.ParseEvents(*faults)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		ctx, end := context.WithTimeout(ctx, *long+*idle+4*time.Minute)
		defer end()
		self, err := os.Executable()
		if err != nil {
			return err
		}
		if *dir == "" {
			if *dir, err = os.MkdirTemp("", "fleet"); err != nil {
				return err
			}
		}
		f := &sim.Fleet{Deployment: sim.Deployments[*deployment], Dir: *dir, Bin: *bin, Self: self, Port: *port}
		defer f.Shut()
		if err := f.Open(ctx); err != nil {
			return err
		}
		from := time.Now()
		if err := f.Ready(30 * time.Second); err != nil {
			return err
		}
		fmt.Printf("ready after %s; logs in %s\n", time.Since(from).Round(10*time.Millisecond), filepath.Clean(*dir))
		s := sim.NewWorkload(f, *seed, *speed)
		if _, err := s.Put(f.Deployment.Table()); err != nil {
			return err
		}
		if *idle > 0 {
			text, err := f.Idle(*idle)
			if err != nil {
				return err
			}
			fmt.Print(text)
		}
		late := f.Live(s, *long, list)
		breaks, err := f.Report(s)
		if err != nil {
			return err
		}
		for i, b := range breaks {
			if i < 20 {
				fmt.Println(b)
			}
		}
		if late != nil {
			return late
		}
		if len(breaks) > 0 {
			return fmt.Errorf("%d breaks of the rules", len(breaks))
		}
		fmt.Println("no rule broken")
		return nil
	}

	w := app.Command("worker", "Be one stand-in worker (the fleet starts these).")
	agent := w.Flag("agent", "IP:port of its agent.").Required().String()
	source := w.Flag("source", "IP to call from.").String()
	id := w.Flag("id", "Its identity.").Default("worker").String()
	hist := w.Flag("history", "File that its history is appended to.").Default("worker.history").String()
	made := w.Flag("make", "What it is made of, as JSON.").Default(`{"Shard":"k1","Rack":"r1","Kinds":["quote"],"Room":{"cores":4,"memory":1024}}`).String()
	runs["worker"] = func() error {
		var m sim.WorkerSpec
		if err := json.Unmarshal([]byte(*made), &m); err != nil {
			return fmt.Errorf("--make: %w", err)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return sim.WorkerRun(ctx, m, *id, *agent, *source, *hist, time.Now().UnixNano())
	}
}
