package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

// view is a command that prints the response to one gateway request.
type view struct{ name, help, path string }

var views = []view{
	{"queues", "List the queues with their jobs and tasks.", "/v1/queues"},
	{"workers", "List the workers with their health and capacity, as the leader sees them.", "/v1/workers"},
	{"peers", "List the daemons of the cluster, as the gateway sees them.", "/v1/mates"},
	{"status", "Print the leader's status: term, members, table edition, counters.", "/v1/leader"},
	{"drains", "List the drained workers and racks, and the attempts still running there.", "/v1/drains"},
	{"calendars", "List the maintenance calendars and their next windows.", "/v1/calendars"},
}

// addViews registers the commands of views.
func addViews(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	for _, view := range views {
		app.Command(view.name, view.help)
		commands[view.name] = func() error { return client.print(http.MethodGet, view.path, nil) }
	}
}
