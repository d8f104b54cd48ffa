package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/goldentest"
)

// All commands, and the flags and arguments of each with defaults and variables.
func TestCommandLineGolden(t *testing.T) {
	app := kingpin.New("coppercourse", "")
	commands := commandSet{}
	addDaemons(app, commands)
	addPlatform(app, commands)
	addClient(app, commands)
	var lines []string
	model := app.Model()
	lines = append(lines, flagLines("", model.FlagGroupModel)...)
	for _, c := range model.FlattenedCommands() {
		runs := ""
		if commands[c.FullCommand] != nil {
			runs = " runs"
		}
		lines = append(lines, "command "+c.FullCommand+runs)
		lines = append(lines, flagLines(c.FullCommand+" ", c.FlagGroupModel)...)
		for _, a := range c.Args {
			lines = append(lines, fmt.Sprintf("%s <%s> required %v", c.FullCommand, a.Name, a.Required))
		}
	}
	slices.Sort(lines)
	goldentest.File(t, "command-line.txt", []byte(strings.Join(lines, "\n")+"\n"))
}

// flagLines describes flags; the library's own are left out.
func flagLines(command string, group *kingpin.FlagGroupModel) (lines []string) {
	for _, f := range group.Flags {
		if !f.Hidden && f.Name != "help" {
			lines = append(lines, fmt.Sprintf("%s--%s default %q variable %q required %v short %d boolean %v",
				command, f.Name, f.Default, f.Envar, f.Required, f.Short, f.IsBoolFlag()))
		}
	}
	return lines
}
