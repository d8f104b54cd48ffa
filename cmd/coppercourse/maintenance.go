package main

// Commands for the maintenance of workers: drains, maintenance calendars, and
// giving up a worker that will not come back.

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

// addMaintenance adds the commands for drains, calendars and lost workers.
func addMaintenance(app *kingpin.Application, gateway *string, commands commandSet) {
	addDrains(app, gateway, commands)
	addCalendars(app, gateway, commands)
	gone := app.Command("gone", "Say that a lost worker never comes back: its unfinished tasks go elsewhere now.")
	shard := gone.Arg("worker", "Its name.").Required().String()
	commands["gone"] = func() error { return printResponse(*gateway, http.MethodPost, "/v1/workers/"+*shard+"/gone", nil) }
}

func addDrains(app *kingpin.Application, gateway *string, commands commandSet) {
	drain := app.Command("drain", "Let nothing start on a worker or a rack, until undrain.")
	undrain := app.Command("undrain", "Let work start there again.")
	for kind, path := range map[string]string{"worker": "/v1/drains/workers/", "rack": "/v1/drains/racks/"} {
		d := drain.Command(kind, "A "+kind+".")
		name := d.Arg("name", "Its name.").Required().String()
		within := d.Flag("within", "Stop what still runs after so long and have it go elsewhere; 0 lets it end.").Default("0s").Duration()
		commands["drain "+kind] = func() error {
			body, _ := json.Marshal(config.Drain{WithinMillis: int(within.Milliseconds())})
			return printResponse(*gateway, http.MethodPut, path+*name, body)
		}
		u := undrain.Command(kind, "A "+kind+".")
		back := u.Arg("name", "Its name.").Required().String()
		commands["undrain "+kind] = func() error { return printResponse(*gateway, http.MethodDelete, path+*back, nil) }
	}
}

func addCalendars(app *kingpin.Application, gateway *string, commands commandSet) {
	calendars := app.Command("calendar", "Put, check or drop a maintenance calendar.")
	put := calendars.Command("put", "Put an iCalendar file; nothing runs in its windows.")
	name := put.Arg("name", "The calendar's name.").Required().String()
	file := put.Arg("file", "iCalendar file.").Required().String()
	worker := put.Flag("worker", "The worker it is for.").String()
	rack := put.Flag("rack", "The rack it is for.").String()
	commands["calendar put"] = func() error {
		text, err := readCalendar(*file)
		if err != nil {
			return err
		}
		if (*worker == "") == (*rack == "") {
			return errors.New("say either --worker or --rack")
		}
		body, _ := json.Marshal(config.Calendar{Shard: types.Shard(*worker), Rack: types.Rack(*rack), ICS: string(text)})
		return printResponse(*gateway, http.MethodPut, "/v1/calendars/"+*name, body)
	}
	check := calendars.Command("check", "Check an iCalendar file without putting it.")
	checked := check.Arg("file", "iCalendar file.").Required().String()
	commands["calendar check"] = func() error {
		if _, err := readCalendar(*checked); err != nil {
			return err
		}
		fmt.Println("the calendar is fine")
		return nil
	}
	drop := calendars.Command("drop", "Take a calendar away.")
	dropped := drop.Arg("name", "The calendar's name.").Required().String()
	commands["calendar drop"] = func() error { return printResponse(*gateway, http.MethodDelete, "/v1/calendars/"+*dropped, nil) }
}

// readCalendar reads and checks an iCalendar file.
func readCalendar(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "calendar file")
	}
	errs := &apierror.ErrorList{}
	maintenance.Read(b, time.Now(), errs)
	return b, errs.Err()
}
