// Verbs for the upkeep of workers: drains, maintenance calendars, and giving up
// a worker that will not come back.
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

func upkeep(app *kingpin.Application, gateway *string, runs map[string]func() error) {
	drain := app.Command("drain", "Let nothing start on a worker or a rack, until undrain.")
	undrain := app.Command("undrain", "Let work start there again.")
	for kind, path := range map[string]string{"worker": "/v1/drains/workers/", "rack": "/v1/drains/racks/"} {
		d := drain.Command(kind, "A "+kind+".")
		name := d.Arg("name", "Its name.").Required().String()
		within := d.Flag("within", "Stop what still runs after so long and have it go elsewhere; 0 lets it end.").Default("0s").Duration()
		runs["drain "+kind] = func() error {
			b, _ := json.Marshal(config.Drain{Within: int(within.Milliseconds())})
			return show(*gateway, http.MethodPut, path+*name, b)
		}
		u := undrain.Command(kind, "A "+kind+".")
		back := u.Arg("name", "Its name.").Required().String()
		runs["undrain "+kind] = func() error { return show(*gateway, http.MethodDelete, path+*back, nil) }
	}
	gone := app.Command("gone", "Say that a lost worker never comes back: its unfinished tasks go elsewhere now.")
	shard := gone.Arg("worker", "Its name.").Required().String()
	runs["gone"] = func() error { return show(*gateway, http.MethodPost, "/v1/workers/"+*shard+"/gone", nil) }

	cal := app.Command("calendar", "Put, check or drop a maintenance calendar.")
	put := cal.Command("put", "Put an iCalendar file; nothing runs in its windows.")
	name := put.Arg("name", "The calendar's name.").Required().String()
	file := put.Arg("file", "iCalendar file.").Required().String()
	worker := put.Flag("worker", "The worker it is for.").String()
	rack := put.Flag("rack", "The rack it is for.").String()
	runs["calendar put"] = func() error {
		b, err := calendar(*file)
		if err != nil {
			return err
		}
		if (*worker == "") == (*rack == "") {
			return errors.New("say either --worker or --rack")
		}
		body, _ := json.Marshal(config.Calendar{Shard: types.Shard(*worker), Rack: types.Rack(*rack), Text: string(b)})
		return show(*gateway, http.MethodPut, "/v1/calendars/"+*name, body)
	}
	check := cal.Command("check", "Check an iCalendar file without putting it.")
	checked := check.Arg("file", "iCalendar file.").Required().String()
	runs["calendar check"] = func() error {
		if _, err := calendar(*checked); err != nil {
			return err
		}
		fmt.Println("the calendar is fine")
		return nil
	}
	drop := cal.Command("drop", "Take a calendar away.")
	dropped := drop.Arg("name", "The calendar's name.").Required().String()
	runs["calendar drop"] = func() error { return show(*gateway, http.MethodDelete, "/v1/calendars/"+*dropped, nil) }
}

// calendar reads and checks an iCalendar file.
func calendar(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "calendar file")
	}
	heap := &apierror.ErrorList{}
	maintenance.Read(b, time.Now(), heap)
	return b, heap.Err()
}
