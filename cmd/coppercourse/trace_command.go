package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
)

func addTrace(app *kingpin.Application, client *gatewayClient, commands commandSet) {
	command := app.Command("trace", "Print what happened to a job or a table, on all daemons, in order of time.")
	kind := command.Arg("kind", "job or table.").Required().Enum("job", "table")
	name := command.Arg("name", "Id of the job, or edition of the table.").Required().String()
	commands["trace"] = func() error {
		subject := trace.JobSubject(types.JobID(*name))
		if *kind == "table" {
			version, err := strconv.ParseUint(*name, 10, 64)
			if err != nil {
				return fmt.Errorf("a table's edition is a whole number, got %q", *name)
			}
			subject = trace.TableSubject(types.Version(version))
		}
		return client.printTrace(subject)
	}
}

// tracePoint is a trace point and the daemon that recorded it.
type tracePoint struct {
	trace.Point
	daemon string
}

// printTrace prints a subject's trace points of all daemons that the gateway knows of, by
// the daemons' wall clocks and with the time since the first.
func (c *gatewayClient) printTrace(subject string) error {
	peers, err := c.fetchPeers()
	if err != nil {
		return err
	}
	var points []tracePoint
	for _, peer := range peers {
		points = append(points, c.fetchTrace(peer, subject)...)
	}
	if len(points) == 0 {
		return fmt.Errorf("no daemon has a trace point of %s", subject)
	}
	slices.SortStableFunc(points, func(a, b tracePoint) int { return cmp.Compare(a.At, b.At) })
	first := points[0].At
	for _, p := range points {
		sinceFirst := float64(p.At-first) / float64(time.Millisecond)
		fmt.Printf("%10.3f ms  %-26s %s\n", sinceFirst, p.daemon, p.Description)
	}
	return nil
}

// fetchPeers returns the daemons that the gateway knows of, and the gateway itself.
func (c *gatewayClient) fetchPeers() ([]membership.Peer, error) {
	body, err := c.fetch(c.gateway, http.MethodGet, "/v1/mates", nil)
	if err != nil {
		return nil, err
	}
	var peers []membership.Peer
	if err := json.Unmarshal(body, &peers); err != nil {
		return nil, fmt.Errorf("decode the gateway's list of daemons: %w", err)
	}
	self := membership.MemberInfo{Addr: types.Addr(c.gateway), Role: membership.RoleGateway}
	return append(peers, membership.Peer{MemberInfo: self}), nil
}

// fetchTrace returns a daemon's trace points of a subject. A daemon that does not answer
// is reported and left out.
func (c *gatewayClient) fetchTrace(peer membership.Peer, subject string) (points []tracePoint) {
	daemon := fmt.Sprintf("%s %s", peer.Role, peer.Addr)
	path := "/v1/trace?subject=" + url.QueryEscape(subject)
	body, err := c.fetch(string(peer.Addr), http.MethodGet, path, nil)
	var list []trace.Point
	if err != nil || json.Unmarshal(body, &list) != nil {
		fmt.Printf("%-26s no response, last heard from %d ms ago\n", daemon, peer.AgeMS)
		return nil
	}
	for _, point := range list {
		points = append(points, tracePoint{point, daemon})
	}
	return points
}
