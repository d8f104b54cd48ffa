package goldentest

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

// CommandLine compares a program's command line with the golden file command-line.txt: all
// commands, whether each has an implementation, and their flags and arguments with defaults and
// environment variables.
func CommandLine(t *testing.T, app *kingpin.Application, commands commandline.Commands) {
	t.Helper()
	model := app.Model()
	described := flagLines("", model.FlagGroupModel)
	for _, command := range model.FlattenedCommands() {
		described = append(described, commandLines(command, commands.Has(command.FullCommand))...)
	}
	described = append(described, groupFlagLines(model.Commands)...)
	slices.Sort(described)
	File(t, "command-line.txt", []byte(strings.Join(described, "\n")+"\n"))
}

// groupFlagLines describes the flags that apply to all commands of a group.
func groupFlagLines(list []*kingpin.CmdModel) (described []string) {
	for _, group := range list {
		if len(group.Commands) > 0 {
			described = append(described, flagLines(group.FullCommand+" ", group.FlagGroupModel)...)
			described = append(described, groupFlagLines(group.Commands)...)
		}
	}
	return described
}

// commandLines describes a command with its flags and arguments.
func commandLines(command *kingpin.CmdModel, runs bool) []string {
	name := command.FullCommand
	first := "command " + name
	if runs {
		first += " runs"
	}
	described := []string{first}
	described = append(described, flagLines(name+" ", command.FlagGroupModel)...)
	for _, arg := range command.Args {
		described = append(described, fmt.Sprintf("%s <%s> required %v", name, arg.Name, arg.Required))
	}
	return described
}

// flagLines describes flags, each after the prefix. Flags that kingpin adds automatically are
// omitted.
func flagLines(prefix string, group *kingpin.FlagGroupModel) []string {
	var described []string
	for _, flag := range group.Flags {
		if flag.Hidden || flag.Name == "help" {
			continue
		}
		described = append(described, fmt.Sprintf("%s--%s default %q variable %q required %v short %d boolean %v",
			prefix, flag.Name, flag.Default, flag.Envar, flag.Required, flag.Short, flag.IsBoolFlag()))
	}
	return described
}
