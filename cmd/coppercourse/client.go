package main

// The commands of callers and operators. Each asks a gateway and prints its answer,
// or its errors, one a line, with a non-zero exit code.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

var client = &http.Client{Timeout: 10 * time.Second}

// maxResponseBytes bounds the answer of a daemon, in bytes.
const maxResponseBytes = 64 << 20

// addClient adds the commands that ask a gateway.
func addClient(app *kingpin.Application, commands commandSet) {
	gateway := app.Flag("gateway", "IP:port of a gateway, for the commands that ask one.").Default("127.0.0.1:7410").Envar("COPPERCOURSE_GATEWAY").String()
	addTable(app, gateway, commands)
	addJobs(app, gateway, commands)
	for _, view := range []struct{ name, help, path string }{
		{"queues", "Show every queue and what is in it.", "/v1/queues"},
		{"workers", "Show every worker as the leader sees it.", "/v1/workers"},
		{"peers", "Show every daemon that the gateway knows of.", "/v1/mates"},
		{"status", "Show the leader's account of the cluster.", "/v1/leader"},
		{"drains", "Show what is drained, and how much still runs there.", "/v1/drains"},
		{"calendars", "Show the maintenance calendars and their next windows.", "/v1/calendars"},
	} {
		app.Command(view.name, view.help)
		commands[view.name] = func() error { return printResponse(*gateway, http.MethodGet, view.path, nil) }
	}
	addMaintenance(app, gateway, commands)
	addTrace(app, gateway, commands)
}

func addTable(app *kingpin.Application, gateway *string, commands commandSet) {
	table := app.Command("table", "Read, check or change the table of queues.")
	table.Command("get", "Print the table in force.")
	commands["table get"] = func() error { return printResponse(*gateway, http.MethodGet, "/v1/table", nil) }
	put := table.Command("put", "Put a whole table, based on the edition that the file names.")
	putFile := put.Arg("file", "Table file (JSON).").Required().String()
	base := put.Flag("base", "The edition it is based on, in place of the file's.").Default("-1").Int64()
	commands["table put"] = func() error {
		body, err := readTable(*putFile, *base)
		if err != nil {
			return err
		}
		return printResponse(*gateway, http.MethodPut, "/v1/table", body)
	}
	check := table.Command("check", "Check a table file without putting it.")
	checkFile := check.Arg("file", "Table file (JSON).").Required().String()
	commands["table check"] = func() error {
		if _, err := readTable(*checkFile, fileBase); err != nil {
			return err
		}
		fmt.Println("the table is fine")
		return nil
	}
}

func addJobs(app *kingpin.Application, gateway *string, commands commandSet) {
	job := app.Command("job", "Send, show or cancel a job.")
	send := job.Command("send", "Send a job; the same id and file may be sent again.")
	sendID := send.Arg("id", "The job's id.").Required().String()
	sendFile := send.Arg("file", "Job file (JSON).").Required().String()
	commands["job send"] = func() error {
		body, err := readJob(*sendFile)
		if err != nil {
			return err
		}
		return printResponse(*gateway, http.MethodPut, "/v1/jobs/"+*sendID, body)
	}
	shown := job.Command("show", "Show a job.").Arg("id", "The job's id.").Required().String()
	commands["job show"] = func() error { return printResponse(*gateway, http.MethodGet, "/v1/jobs/"+*shown, nil) }
	cancelled := job.Command("cancel", "Cancel a job.").Arg("id", "The job's id.").Required().String()
	commands["job cancel"] = func() error {
		return printResponse(*gateway, http.MethodPost, "/v1/jobs/"+*cancelled+"/cancel", nil)
	}
}

// readJob reads and checks a job.
func readJob(path string) ([]byte, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "job file")
	}
	errs := &apierror.ErrorList{}
	state.ReadSpec(body, errs)
	return body, errs.Err()
}

// fileBase, as a base, leaves a table the base that its file names.
const fileBase = -1

// readTable reads and checks a table; a base of 0 or more replaces its own.
func readTable(path string, base int64) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "table file")
	}
	errs := &apierror.ErrorList{}
	t := config.ReadTable(b, errs)
	if errs.Err() != nil {
		return nil, errs.Err()
	}
	if base < 0 {
		return b, nil
	}
	t.Version = types.Version(base)
	return json.Marshal(t)
}

// fetch asks a daemon and returns the body of its answer. A refusal is returned as
// an *apierror.Error.
func fetch(addr, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, apierror.Wrap(apierror.BadSetting, err, "address")
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, apierror.Wrap(apierror.NotReady, err, "no answer")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, apierror.Wrap(apierror.NotReady, err, "answer cut short")
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, responseError(addr, res.Status, b)
	}
	return b, nil
}

// responseError makes an error of an answer that is not 2xx.
func responseError(addr, status string, body []byte) error {
	refused := &apierror.Error{}
	if json.Unmarshal(body, refused) != nil || refused.Kind == "" {
		return fmt.Errorf("%s answered %s", addr, status)
	}
	if refused.RetryAfterSeconds > 0 {
		return fmt.Errorf("%w (come back in %d s)", refused, refused.RetryAfterSeconds)
	}
	return refused
}

// printResponse asks a daemon and prints its answer, indented.
func printResponse(addr, method, path string, body []byte) error {
	b, err := fetch(addr, method, path, body)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if json.Indent(&out, b, "", "  ") != nil {
		out.Write(b)
	}
	fmt.Println(out.String())
	return nil
}
