package main

// The trace command: collects the trace points of one job, or of one version of the
// table, from all daemons that a gateway knows of, and prints them by time.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
)

// tracePoint is a trace point and the daemon that recorded it.
type tracePoint struct {
	trace.Point
	daemon string
}

func addTrace(app *kingpin.Application, gateway *string, commands commandSet) {
	t := app.Command("trace", "Follow one change through all daemons.")
	kind := t.Arg("kind", "job or table.").Required().Enum("job", "table")
	name := t.Arg("name", "The job's id or the table's edition.").Required().String()
	commands["trace"] = func() error {
		subject := trace.JobSubject(types.JobID(*name))
		if *kind == "table" {
			n, err := strconv.ParseUint(*name, 10, 64)
			if err != nil {
				return fmt.Errorf("a table's edition is a whole number, got %q", *name)
			}
			subject = trace.TableSubject(types.Version(n))
		}
		return traceChange(*gateway, subject)
	}
}

// traceChange prints a subject's trace points, with the time since the first.
func traceChange(gateway, subject string) error {
	peers, err := fetchPeers(gateway)
	if err != nil {
		return err
	}
	var points []tracePoint
	for _, peer := range peers {
		points = append(points, fetchTrace(peer, subject)...)
	}
	if points == nil {
		return fmt.Errorf("no daemon has a trace point of %s", subject)
	}
	sort.SliceStable(points, func(i, k int) bool { return points[i].At < points[k].At })
	first := points[0].At
	for _, p := range points {
		fmt.Printf("%10.3f ms  %-26s %s\n", float64(p.At-first)/float64(time.Millisecond), p.daemon, p.Description)
	}
	return nil
}

// fetchPeers returns the daemons that a gateway knows of, and the gateway itself.
func fetchPeers(gateway string) ([]membership.Peer, error) {
	body, err := fetch(gateway, http.MethodGet, "/v1/mates", nil)
	if err != nil {
		return nil, err
	}
	var peers []membership.Peer
	if err := json.Unmarshal(body, &peers); err != nil {
		return nil, err
	}
	self := membership.MemberInfo{Addr: types.Addr(gateway), Role: membership.RoleGateway}
	return append(peers, membership.Peer{MemberInfo: self}), nil
}

// fetchTrace returns a daemon's trace points of a subject. A daemon that does not
// answer is reported and left out.
func fetchTrace(peer membership.Peer, subject string) (points []tracePoint) {
	daemon := fmt.Sprintf("%s %s", peer.Role, peer.Addr)
	body, err := fetch(string(peer.Addr), http.MethodGet, "/v1/trace?subject="+url.QueryEscape(subject), nil)
	var list []trace.Point
	if err != nil || json.Unmarshal(body, &list) != nil {
		fmt.Printf("%-26s no answer, last heard of %d ms ago\n", daemon, peer.AgeMS)
		return nil
	}
	for _, mark := range list {
		points = append(points, tracePoint{mark, daemon})
	}
	return points
}
