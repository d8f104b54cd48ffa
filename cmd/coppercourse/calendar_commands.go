package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/commandline"
	"coppercourse/internal/config"
	"coppercourse/internal/maintenance"
	"coppercourse/internal/types"
)

// addCalendars registers the commands for maintenance calendars.
func addCalendars(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	calendar := app.Command("calendar", "Put, check or drop a maintenance calendar.")
	addCalendarPut(calendar, client, commands)
	addCalendarCheck(calendar, commands)
	addCalendarDrop(calendar, client, commands)
}

// calendarPut implements the command that adds or replaces a calendar.
type calendarPut struct {
	client               *gatewayClient
	name, file           string
	workerName, rackName string // exactly one is set
}

func addCalendarPut(group *kingpin.CmdClause, client *gatewayClient, commands commandline.Commands) {
	put := &calendarPut{client: client}
	command := group.Command("put", "Add or replace a maintenance calendar: no task runs on its target in its windows.")
	command.Arg("name", "Name of the calendar.").Required().StringVar(&put.name)
	command.Arg("file", "iCalendar file.").Required().StringVar(&put.file)
	command.Flag("worker", "Worker that the windows apply to.").PlaceHolder("NAME").StringVar(&put.workerName)
	command.Flag("rack", "Rack that the windows apply to.").PlaceHolder("NAME").StringVar(&put.rackName)
	commands["calendar put"] = put.run
}

func (cp *calendarPut) run() error {
	if (cp.workerName == "") == (cp.rackName == "") {
		return errors.New("exactly one of --worker and --rack is required")
	}
	text, err := readCalendar(cp.file)
	if err != nil {
		return err
	}
	body, err := json.Marshal(config.Calendar{
		Shard: types.Shard(cp.workerName),
		Rack:  types.Rack(cp.rackName),
		ICS:   string(text),
	})
	if err != nil {
		return err
	}
	return cp.client.print(http.MethodPut, "/v1/calendars/"+url.PathEscape(cp.name), body)
}

func addCalendarCheck(group *kingpin.CmdClause, commands commandline.Commands) {
	command := group.Command("check", "Check an iCalendar file. Needs no cluster.")
	file := command.Arg("file", "iCalendar file.").Required().String()
	commands["calendar check"] = func() error {
		if _, err := readCalendar(*file); err != nil {
			return err
		}
		fmt.Println("the calendar is valid")
		return nil
	}
}

func addCalendarDrop(group *kingpin.CmdClause, client *gatewayClient, commands commandline.Commands) {
	command := group.Command("drop", "Remove a maintenance calendar.")
	name := command.Arg("name", "Name of the calendar.").Required().String()
	commands["calendar drop"] = func() error {
		return client.print(http.MethodDelete, "/v1/calendars/"+url.PathEscape(*name), nil)
	}
}

// readCalendar reads and validates an iCalendar file.
func readCalendar(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "read the calendar file")
	}
	errs := &apierror.ErrorList{}
	maintenance.Read(text, time.Now(), errs)
	return text, errs.Err()
}
