// Coppercourse is a cluster scheduler for jobs, as one program: each role of a daemon is
// a command, and so is each request of an operator to a gateway.
//
// main.go parses the command line. daemon.go, daemon_flags.go and platform.go start
// daemons, state_log.go writes the log lines of their life. gateway_client.go asks a
// gateway for the commands in the other files.
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
