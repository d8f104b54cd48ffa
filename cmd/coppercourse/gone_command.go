package main

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

// addGone registers the command that confirms a lost worker as gone.
func addGone(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	gone := app.Command("gone", "Confirm that a lost worker is gone: its tasks are retried elsewhere immediately.")
	worker := gone.Arg("worker", "Name of the worker.").Required().String()
	commands["gone"] = func() error {
		return client.print(http.MethodPost, "/v1/workers/"+url.PathEscape(*worker)+"/gone", nil)
	}
}
