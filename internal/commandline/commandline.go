// Package commandline runs the command that a program's command line names. Both programs
// use it.
package commandline

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// Commands are the functions that the commands of a program run, by the full name of the
// command, such as "job show".
type Commands map[string]func() error

// Has reports whether a command runs something. One that only groups others does not.
func (c Commands) Has(command string) bool { return c[command] != nil }

// Main parses the command line and runs its command. A command that fails ends the program
// with exit code 1.
func Main(app *kingpin.Application, commands Commands) {
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := commands[command](); err != nil {
		printError(os.Stderr, app.Name, err)
		os.Exit(1)
	}
}

// printError prints an error, each of its lines after the program's name.
func printError(w io.Writer, program string, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(w, program+": "+line)
	}
}
