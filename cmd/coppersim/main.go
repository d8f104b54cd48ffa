// Coppersim tests coppercourse under failure. The command sweep runs the simulator
// over many seeds, fleet runs a deployment of real processes on loopback, capacity
// measures what the daemons spend at several sizes. The daemons themselves start
// no process; this program does.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// commandSet is what each command of the command line runs, by its full name.
type commandSet map[string]func() error

// has reports whether a command runs something.
func (c commandSet) has(command string) bool { return c[command] != nil }

func main() {
	app := kingpin.New("coppersim", "Test coppercourse under failure, in a simulator or with real processes.")
	app.HelpFlag.Short('h')
	commands := addCommands(app)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := commands[command](); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "coppersim: "+line)
		}
		os.Exit(1)
	}
}

// addCommands adds all commands to the command line, and returns what they run.
func addCommands(app *kingpin.Application) commandSet {
	commands := commandSet{}
	addSweep(app, commands)
	addFleet(app, commands)
	addWorker(app, commands)
	addCapacity(app, commands)
	return commands
}
