// The verbs of callers and operators: each asks a gateway and prints its answer,
// or one clear line and a non-zero exit.
package main

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

func verbs(app *kingpin.Application, runs map[string]func() error) {
	gateway := app.Flag("gateway", "IP:port of a gateway, for the verbs that ask one.").Default("127.0.0.1:7410").Envar("COPPERCOURSE_GATEWAY").String()
	get := func(name, help, path string) {
		app.Command(name, help)
		runs[name] = func() error { return show(*gateway, http.MethodGet, path, nil) }
	}
	table := app.Command("table", "Read, check or change the table of queues.")
	table.Command("get", "Print the table in force.")
	runs["table get"] = func() error { return show(*gateway, http.MethodGet, "/v1/table", nil) }
	put := table.Command("put", "Put a whole table, based on the edition that the file names.")
	putFile := put.Arg("file", "Table file (JSON).").Required().String()
	base := put.Flag("base", "The edition it is based on, in place of the file's.").Default("-1").Int64()
	runs["table put"] = func() error {
		b, err := tableFile(*putFile, *base)
		if err != nil {
			return err
		}
		return show(*gateway, http.MethodPut, "/v1/table", b)
	}
	check := table.Command("check", "Check a table file without putting it.")
	checkFile := check.Arg("file", "Table file (JSON).").Required().String()
	runs["table check"] = func() error {
		if _, err := tableFile(*checkFile, -1); err != nil {
			return err
		}
		fmt.Println("the table is fine")
		return nil
	}
	job := app.Command("job", "Send, show or cancel a job.")
	send := job.Command("send", "Send a job; the same id and file may be sent again.")
	sendID := send.Arg("id", "The job's id.").Required().String()
	sendFile := send.Arg("file", "Job file (JSON).").Required().String()
	runs["job send"] = func() error {
		b, err := os.ReadFile(*sendFile)
		if err != nil {
			return apierror.Wrap(apierror.BadBody, err, "job file")
		}
		heap := &apierror.ErrorList{}
		if state.ReadSpec(b, heap); heap.Err() != nil {
			return heap.Err()
		}
		return show(*gateway, http.MethodPut, "/v1/jobs/"+*sendID, b)
	}
	shown := job.Command("show", "Show a job.").Arg("id", "The job's id.").Required().String()
	runs["job show"] = func() error { return show(*gateway, http.MethodGet, "/v1/jobs/"+*shown, nil) }
	gone := job.Command("cancel", "Cancel a job.").Arg("id", "The job's id.").Required().String()
	runs["job cancel"] = func() error { return show(*gateway, http.MethodPost, "/v1/jobs/"+*gone+"/cancel", nil) }
	get("queues", "Show every queue and what is in it.", "/v1/queues")
	get("workers", "Show every worker as the leader sees it.", "/v1/workers")
	get("mates", "Show every daemon that the gateway knows of.", "/v1/mates")
	get("status", "Show the leader's account of the cluster.", "/v1/leader")
	get("drains", "Show what is drained, and how much still runs there.", "/v1/drains")
	get("calendars", "Show the maintenance calendars and their next windows.", "/v1/calendars")
	upkeep(app, gateway, runs)
	tracer(app, gateway, runs)
}

// tableFile reads and checks a table; a base of 0 or more replaces its own.
func tableFile(path string, base int64) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "table file")
	}
	heap := &apierror.ErrorList{}
	t := config.ReadTable(b, heap)
	if heap.Err() != nil {
		return nil, heap.Err()
	}
	if base < 0 {
		return b, nil
	}
	t.Version = types.Version(base)
	return json.Marshal(t)
}

// fetch asks a daemon and gives its answer, or its refusal as an error.
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
	b, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil {
		return nil, apierror.Wrap(apierror.NotReady, err, "answer cut short")
	}
	if res.StatusCode >= 300 {
		f := &apierror.Error{}
		if json.Unmarshal(b, f) != nil || f.Kind == "" {
			return nil, fmt.Errorf("%s answered %s", addr, res.Status)
		}
		if f.Retry > 0 {
			return nil, fmt.Errorf("%w (come back in %d s)", f, f.Retry)
		}
		return nil, f
	}
	return b, nil
}

func show(addr, method, path string, body []byte) error {
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
