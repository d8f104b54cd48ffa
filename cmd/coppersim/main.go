// Coppersim tests coppercourse under failure. The command sweep runs the simulator with many
// seeds, fleet and soak run a deployment of real processes on loopback, capacity measures the resource
// usage of the daemons at several fleet sizes, experiment compares scheduling policies and losses
// summarizes scored days. Daemons never start processes; this program starts those of a fleet.
package main

import (
	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

func main() {
	app := kingpin.New("coppersim", "Test coppercourse under failure, in a simulator or with real processes.")
	app.HelpFlag.Short('h')
	commandline.Main(app, addCommands(app))
}

// addCommands registers all commands with app and returns their implementations.
func addCommands(app *kingpin.Application) commandline.Commands {
	commands := commandline.Commands{}
	addSweep(app, commands)
	addFleet(app, commands)
	addSoak(app, commands)
	addWorker(app, commands)
	addCapacity(app, commands)
	addExperiment(app, commands)
	addLosses(app, commands)
	return commands
}
