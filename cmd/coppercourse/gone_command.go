package main

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

// addGone adds the command that declares a worker gone for good.
func addGone(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	gone := app.Command("gone", "Declare a lost worker gone for good: its tasks are retried elsewhere at once.")
	worker := gone.Arg("worker", "Name of the worker.").Required().String()
	commands["gone"] = func() error {
		return client.print(http.MethodPost, "/v1/workers/"+url.PathEscape(*worker)+"/gone", nil)
	}
}
