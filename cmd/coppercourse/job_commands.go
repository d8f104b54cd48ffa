package main

import (
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/commandline"
	"coppercourse/internal/state"
)

// jobClient sends job requests to the gateway, authenticated with a tenant's key if one is given.
type jobClient struct {
	client  *gatewayClient
	keyFile string // empty for none; set once the command line is parsed
}

// print sends a job request to the gateway and prints the response.
func (j *jobClient) print(method, path string, body []byte) error {
	if j.keyFile != "" {
		key, err := os.ReadFile(j.keyFile)
		if err != nil {
			return apierror.Wrap(apierror.BadSetting, err, "read the key file")
		}
		j.client.key = strings.TrimSpace(string(key))
	}
	return j.client.print(method, path, body)
}

// addJobs registers the commands for a single job.
func addJobs(app *kingpin.Application, gateway *gatewayClient, commands commandline.Commands) {
	job := app.Command("job", "Submit, show or cancel a job.")
	client := &jobClient{client: gateway}
	job.Flag("key-file", "File with the key of the job's tenant, where its queue requires one.").
		PlaceHolder("FILE").Envar("COPPERCOURSE_KEY_FILE").StringVar(&client.keyFile)
	addJobSend(job, client, commands)

	show := job.Command("show", "Print a job's state and tasks.")
	showID := show.Arg("id", "Id of the job.").Required().String()
	commands["job show"] = func() error {
		return client.print(http.MethodGet, "/v1/jobs/"+url.PathEscape(*showID), nil)
	}

	cancel := job.Command("cancel", "Cancel a job: its running tasks are stopped, no more are started.")
	cancelID := cancel.Arg("id", "Id of the job.").Required().String()
	commands["job cancel"] = func() error {
		return client.print(http.MethodPost, "/v1/jobs/"+url.PathEscape(*cancelID)+"/cancel", nil)
	}
}

func addJobSend(group *kingpin.CmdClause, client *jobClient, commands commandline.Commands) {
	command := group.Command("send", "Submit a job. Submitting the same id and file again has no effect.")
	id := command.Arg("id", "Id of the job, chosen by the caller.").Required().String()
	file := command.Arg("file", "Job file (JSON).").Required().String()
	commands["job send"] = func() error {
		body, err := readJob(*file)
		if err != nil {
			return err
		}
		return client.print(http.MethodPut, "/v1/jobs/"+url.PathEscape(*id), body)
	}
}

// readJob reads and validates a job file.
func readJob(path string) ([]byte, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "read the job file")
	}
	errs := &apierror.ErrorList{}
	state.ReadSpec(document, errs)
	return document, errs.Err()
}
