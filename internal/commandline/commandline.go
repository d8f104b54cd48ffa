// Package commandline parses a program's command line and runs the selected command. Both programs
// use it.
package commandline

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// Commands maps the full name of each command, such as "job show", to the function that runs it.
type Commands map[string]func() error

// Has reports whether a command has a function to run. A command that only groups others has none.
func (c Commands) Has(command string) bool { return c[command] != nil }

// Main parses the command line and runs its command. If the command fails, the program exits with
// code 1.
func Main(app *kingpin.Application, commands Commands) {
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := commands[command](); err != nil {
		printError(os.Stderr, app.Name, err)
		os.Exit(1)
	}
}

// printError prints an error and prefixes each of its lines with the program's name.
func printError(w io.Writer, program string, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(w, program+": "+line)
	}
}
