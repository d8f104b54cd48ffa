// Coppercourse is a cluster scheduler for jobs, as one program: each role of a daemon is
// a command, and so is each request of an operator to a gateway.
//
// Each file NAME_command.go adds a command and holds what it runs, NAME_commands.go a group
// of them. The commands of operators ask a gateway through gateway_client.go. Those of the
// roles build a daemon: daemon.go has what all roles share, and controller_daemon.go,
// gateway_daemon.go and agent_daemon.go wire the machine of one role to package server, with
// the observer that publishes and logs its state. platform_daemon.go adds what a daemon has
// on the users' platform.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// version is set when the program is built for release.
var version = "0.1.0"

// commandSet is what each command of the command line runs, by its full name.
type commandSet map[string]func() error

// has reports whether a command runs something. One that only groups others does not.
func (c commandSet) has(command string) bool { return c[command] != nil }

func main() {
	app := kingpin.New("coppercourse", "A cluster scheduler for jobs that keeps working when a zone is cut off.")
	app.Version(version).HelpFlag.Short('h')
	commands := addCommands(app)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := commands[command](); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "coppercourse: "+line)
		}
		os.Exit(1)
	}
}

// addCommands adds all commands to the command line, and returns what they run.
func addCommands(app *kingpin.Application) commandSet {
	commands := commandSet{}
	addDaemons(app, commands)
	addPlatform(app, commands)
	addClient(app, commands)
	return commands
}
