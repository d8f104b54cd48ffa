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

func main() {
	app := kingpin.New("coppersim", "Test coppercourse under failure, in a simulator or with real processes.")
	app.HelpFlag.Short('h')
	commands := commandSet{}
	addSweep(app, commands)
	addFleet(app, commands)
	addWorker(app, commands)
	addCapacity(app, commands)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := commands[name](); err != nil {
		fmt.Fprintln(os.Stderr, "coppersim: "+strings.ReplaceAll(err.Error(), "\n", "\ncoppersim: "))
		os.Exit(1)
	}
}
