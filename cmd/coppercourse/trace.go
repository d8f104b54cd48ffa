// The tracer: follows one change, a job or an version of the table, through
// all daemons that a gateway knows of, and prints its marks in order of time.
package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
)

type line struct {
	trace.Mark
	who string
}

func tracer(app *kingpin.Application, gateway *string, runs map[string]func() error) {
	t := app.Command("trace", "Follow one change through all daemons.")
	kind := t.Arg("kind", "job or table.").Required().Enum("job", "table")
	name := t.Arg("name", "The job's id or the table's edition.").Required().String()
	runs["trace"] = func() error {
		subject := trace.Job(types.JobID(*name))
		if *kind == "table" {
			n, err := strconv.ParseUint(*name, 10, 64)
			if err != nil {
				return fmt.Errorf("a table's edition is a whole number, got %q", *name)
			}
			subject = trace.Table(types.Version(n))
		}
		return traceChange(*gateway, subject)
	}
}

func traceChange(gateway, subject string) error {
	b, err := fetch(gateway, "GET", "/v1/mates", nil)
	if err != nil {
		return err
	}
	var peers []membership.Peer
	if err := json.Unmarshal(b, &peers); err != nil {
		return err
	}
	peers = append(peers, membership.Peer{Card: membership.Card{Addr: types.Addr(gateway), Role: "gateway"}})
	var lines []line
	for _, m := range peers {
		who := fmt.Sprintf("%s %s", m.Role, m.Addr)
		b, err := fetch(string(m.Addr), "GET", "/v1/trace?subject="+url.QueryEscape(subject), nil)
		var list []trace.Mark
		if err != nil || json.Unmarshal(b, &list) != nil {
			fmt.Printf("%-26s no answer, last heard of %d ms ago\n", who, m.AgeMS)
			continue
		}
		for _, k := range list {
			lines = append(lines, line{k, who})
		}
	}
	if lines == nil {
		return fmt.Errorf("no daemon has a mark of %s", subject)
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].At < lines[k].At })
	first := lines[0].At
	for _, l := range lines {
		fmt.Printf("%10.3f ms  %-26s %s\n", float64(l.At-first)/float64(time.Millisecond), l.who, l.What)
	}
	return nil
}
