package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/commandline"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// baseFromFile is the base version that stands for the one in the table's file.
const baseFromFile = -1

// addTable adds the commands that work on the queue table.
func addTable(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	table := app.Command("table", "Print, replace or check the table of queues.")
	table.Command("get", "Print the table in force.")
	commands["table get"] = func() error { return client.print(http.MethodGet, "/v1/table", nil) }
	addTablePut(table, client, commands)
	addTableCheck(table, commands)
}

func addTablePut(group *kingpin.CmdClause, client *gatewayClient, commands commandline.Commands) {
	command := group.Command("put", "Replace the whole table. The edition in the file must be the one in force.")
	file := command.Arg("file", "Table file (JSON).").Required().String()
	base := command.Flag("base", "Edition that must be in force, instead of the file's.").
		PlaceHolder("EDITION").Default("-1").Int64()
	commands["table put"] = func() error {
		body, err := readTable(*file, *base)
		if err != nil {
			return err
		}
		return client.print(http.MethodPut, "/v1/table", body)
	}
}

func addTableCheck(group *kingpin.CmdClause, commands commandline.Commands) {
	command := group.Command("check", "Check a table file. Needs no cluster.")
	file := command.Arg("file", "Table file (JSON).").Required().String()
	commands["table check"] = func() error {
		if _, err := readTable(*file, baseFromFile); err != nil {
			return err
		}
		fmt.Println("the table is valid")
		return nil
	}
}

// readTable reads and checks a table file. A base of 0 or more replaces the base version of
// the file.
func readTable(path string, base int64) ([]byte, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(apierror.BadBody, err, "read the table file")
	}
	errs := &apierror.ErrorList{}
	table := config.ReadTable(document, errs)
	if errs.Err() != nil {
		return nil, errs.Err()
	}
	if base == baseFromFile {
		return document, nil
	}
	if base < 0 {
		return nil, apierror.New(apierror.BadSetting, "base", "want an edition, a whole number from 0 on")
	}
	table.Version = types.Version(base)
	return json.Marshal(table)
}
