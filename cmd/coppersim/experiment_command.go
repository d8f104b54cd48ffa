package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/internal/policy"
	"coppercourse/sim/experiment"
)

// experimenter is the experiment command: policies compared on the same jobs and faults.
type experimentCommand struct {
	planPath   string
	ablation   bool
	list       bool
	jsonPath   string
	plotFolder string
}

func addExperiment(app *kingpin.Application, commands commandline.Commands) {
	e := &experimentCommand{}
	command := app.Command("experiment",
		"Compare policies in the simulator: the same jobs and faults under each, with confidence intervals.")
	command.Arg("plan", "YAML file: policies, deployments, days and seeds (sim/experiment/plans has examples).").
		StringVar(&e.planPath)
	command.Flag("ablation", "In place of the plan's policies: all mechanisms on, then each off by itself.").
		BoolVar(&e.ablation)
	command.Flag("mechanisms", "Print the names of the mechanisms that a policy may have off.").BoolVar(&e.list)
	command.Flag("json", "File for the figures of every run.").PlaceHolder("FILE").StringVar(&e.jsonPath)
	command.Flag("plots", "Existing folder for plots.").PlaceHolder("FOLDER").StringVar(&e.plotFolder)
	commands["experiment"] = e.run
}

// run plays the plan and prints the comparison.
func (e *experimentCommand) run() error {
	if e.list {
		for _, name := range policy.Names() {
			fmt.Println(name)
		}
		return nil
	}
	plan, err := experiment.ReadPlan(e.planPath)
	if err != nil {
		return err
	}
	if e.ablation {
		plan = plan.AblationPlan()
		if err := plan.Check(); err != nil {
			return err
		}
	}
	results := plan.Execute(func(done, total int) { fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total) })
	fmt.Fprintln(os.Stderr)
	return e.write(&plan, results)
}

// write writes the results where the flags say, and the table to the standard output.
func (e *experimentCommand) write(plan *experiment.Plan, results []experiment.Result) error {
	if e.jsonPath != "" {
		if err := experiment.WriteJSON(e.jsonPath, results); err != nil {
			return err
		}
	}
	if e.plotFolder != "" {
		if err := plan.Plot(e.plotFolder, results); err != nil {
			return err
		}
	}
	if err := experiment.WriteTable(os.Stdout, plan.Compare(results)); err != nil {
		return err
	}
	plan.WriteLosses(os.Stdout, results)
	return nil
}
