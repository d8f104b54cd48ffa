package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
)

// addGatewayCommands adds the commands that ask a gateway. Each prints the response, or its errors
// one a line with a non-zero exit code.
func addGatewayCommands(app *kingpin.Application, commands commandline.Commands) {
	client := &gatewayClient{http: &http.Client{Timeout: requestTimeout}}
	app.Flag("gateway", "Gateway to ask, for the commands that ask one. Default 127.0.0.1:7410.").
		PlaceHolder("IP:PORT").Default("127.0.0.1:7410").Envar("COPPERCOURSE_GATEWAY").StringVar(&client.gateway)
	addTable(app, client, commands)
	addTenants(app, client, commands)
	addJobs(app, client, commands)
	addViews(app, client, commands)
	addDrains(app, client, commands)
	addCalendars(app, client, commands)
	addGone(app, client, commands)
	addTrace(app, client, commands)
}
