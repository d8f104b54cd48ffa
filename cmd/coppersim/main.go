// Coppersim tests coppercourse under failure. The command sweep runs the simulator
// over many seeds, fleet runs a deployment of real processes on loopback, capacity
// measures what the daemons spend at several sizes. The daemons themselves start
// no process; this program does.
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

// addCommands adds all commands to the command line, and returns what they run.
func addCommands(app *kingpin.Application) commandline.Commands {
	commands := commandline.Commands{}
	addSweep(app, commands)
	addFleet(app, commands)
	addWorker(app, commands)
	addCapacity(app, commands)
	addExperiment(app, commands)
	addLosses(app, commands)
	return commands
}
