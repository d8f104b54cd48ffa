package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/internal/config"
)

// drainTarget is a kind of target that can be drained: workers or racks.
type drainTarget struct {
	kind string // name on the command line
	path string // path prefix of the drains of this kind; the target's name follows
}

var drainTargets = []drainTarget{
	{"worker", "/v1/drains/workers/"},
	{"rack", "/v1/drains/racks/"},
}

// addDrains registers the commands that start and end drains.
func addDrains(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	drain := app.Command("drain", "Stop placing tasks on a worker or on a rack.")
	undrain := app.Command("undrain", "Resume placing tasks on a worker or on a rack.")
	for _, target := range drainTargets {
		addDrain(drain, target, client, commands)
		addUndrain(undrain, target, client, commands)
	}
}

func addDrain(group *kingpin.CmdClause, target drainTarget, client *gatewayClient, commands commandline.Commands) {
	command := group.Command(target.kind, "Stop placing tasks on a "+target.kind+" until undrain.")
	name := command.Arg("name", "Name of the "+target.kind+".").Required().String()
	within := command.Flag("within", "Stop attempts still running after this, retry them elsewhere; 0s lets them end.").
		PlaceHolder("DURATION").Default("0s").Duration()
	commands["drain "+target.kind] = func() error {
		return startDrain(client, target.path+url.PathEscape(*name), *within)
	}
}

func addUndrain(group *kingpin.CmdClause, target drainTarget, client *gatewayClient, commands commandline.Commands) {
	command := group.Command(target.kind, "Resume placing tasks on a "+target.kind+".")
	name := command.Arg("name", "Name of the "+target.kind+".").Required().String()
	commands["undrain "+target.kind] = func() error {
		return client.print(http.MethodDelete, target.path+url.PathEscape(*name), nil)
	}
}

// startDrain starts the drain at a path. Attempts still running after the duration within are
// stopped; with 0 they run to completion.
func startDrain(client *gatewayClient, path string, within time.Duration) error {
	body, err := json.Marshal(config.Drain{WithinMillis: int(within.Milliseconds())})
	if err != nil {
		return err
	}
	return client.print(http.MethodPut, path, body)
}
