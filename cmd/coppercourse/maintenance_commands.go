package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/maintenance"
	"coppercourse/internal/types"
)

func addDrains(app *kingpin.Application, client *gatewayClient, commands commandSet) {
	drain := app.Command("drain", "Start no more tasks on a worker or on a rack.")
	undrain := app.Command("undrain", "Let tasks start on a worker or on a rack again.")
	for _, target := range []struct{ kind, path string }{
		{"worker", "/v1/drains/workers/"},
		{"rack", "/v1/drains/racks/"},
	} {
		on := drain.Command(target.kind, "Start no more tasks on a "+target.kind+", until undrain.")
		onName := on.Arg("name", "Name of the "+target.kind+".").Required().String()
		within := on.Flag("within", "Stop attempts that run for longer, to retry them elsewhere; 0s lets them end.").
			PlaceHolder("DURATION").Default("0s").Duration()
		commands["drain "+target.kind] = func() error {
			body, err := json.Marshal(config.Drain{WithinMillis: int(within.Milliseconds())})
			if err != nil {
				return err
			}
			return client.print(http.MethodPut, target.path+*onName, body)
		}
		off := undrain.Command(target.kind, "Let tasks start on a "+target.kind+" again.")
		offName := off.Arg("name", "Name of the "+target.kind+".").Required().String()
		commands["undrain "+target.kind] = func() error {
			return client.print(http.MethodDelete, target.path+*offName, nil)
		}
	}
}

func addCalendars(app *kingpin.Application, client *gatewayClient, commands commandSet) {
	calendar := app.Command("calendar", "Put, check or drop a maintenance calendar.")

	put := calendar.Command("put", "Add or replace a maintenance calendar: nothing runs there in its windows.")
	putName := put.Arg("name", "Name of the calendar.").Required().String()
	putFile := put.Arg("file", "iCalendar file.").Required().String()
	worker := put.Flag("worker", "Worker that the windows are for.").PlaceHolder("NAME").String()
	rack := put.Flag("rack", "Rack that the windows are for.").PlaceHolder("NAME").String()
	commands["calendar put"] = func() error {
		text, err := readCalendar(*putFile)
		if err != nil {
			return err
		}
		if (*worker == "") == (*rack == "") {
			return errors.New("say either --worker or --rack")
		}
		body, err := json.Marshal(config.Calendar{
			Shard: types.Shard(*worker), Rack: types.Rack(*rack), ICS: string(text),
		})
		if err != nil {
			return err
		}
		return client.print(http.MethodPut, "/v1/calendars/"+*putName, body)
	}

	check := calendar.Command("check", "Check an iCalendar file. Needs no cluster.")
	checkFile := check.Arg("file", "iCalendar file.").Required().String()
	commands["calendar check"] = func() error {
		if _, err := readCalendar(*checkFile); err != nil {
			return err
		}
		fmt.Println("the calendar is valid")
		return nil
	}

	drop := calendar.Command("drop", "Remove a maintenance calendar.")
	dropName := drop.Arg("name", "Name of the calendar.").Required().String()
	commands["calendar drop"] = func() error {
		return client.print(http.MethodDelete, "/v1/calendars/"+*dropName, nil)
	}
}

// readCalendar reads and checks an iCalendar file.
func readCalendar(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "read the calendar file")
	}
	errs := &apierror.ErrorList{}
	maintenance.Read(text, time.Now(), errs)
	return text, errs.Err()
}

func addGone(app *kingpin.Application, client *gatewayClient, commands commandSet) {
	gone := app.Command("gone", "Declare a lost worker gone for good: its tasks are retried elsewhere at once.")
	worker := gone.Arg("worker", "Name of the worker.").Required().String()
	commands["gone"] = func() error {
		return client.print(http.MethodPost, "/v1/workers/"+*worker+"/gone", nil)
	}
}
