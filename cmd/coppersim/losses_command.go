package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/sim/experiment"
)

// lossesCommand is the losses command: what scored days have lost, by cause.
type lossesCommand struct{ paths []string }

func addLosses(app *kingpin.Application, commands commandline.Commands) {
	l := &lossesCommand{}
	command := app.Command("losses", "Print what the scored days of journal entries have lost, by cause.")
	command.Arg("entry", "Files of journal/.").Required().ExistingFilesVar(&l.paths)
	commands["losses"] = l.run
}

func (l *lossesCommand) run() error {
	var all []experiment.ScenarioReport
	for _, path := range l.paths {
		days, err := experiment.ReadScenarioReports(path)
		if err != nil {
			return err
		}
		all = append(all, days...)
	}
	return experiment.WriteScenarioLosses(os.Stdout, all)
}
