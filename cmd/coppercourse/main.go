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
	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

// version is set when the program is built for release.
var version = "0.1.0"

func main() {
	app := kingpin.New("coppercourse", "A cluster scheduler for jobs that keeps working when a zone is cut off.")
	app.Version(version).HelpFlag.Short('h')
	commandline.Main(app, addCommands(app))
}

// addCommands adds all commands to the command line, and returns what they run.
func addCommands(app *kingpin.Application) commandline.Commands {
	commands := commandline.Commands{}
	addDaemons(app, commands)
	addPlatform(app, commands)
	addGatewayCommands(app, commands)
	return commands
}
