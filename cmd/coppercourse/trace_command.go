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

	"coppercourse/internal/commandline"
	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
)

// addTrace adds the command that prints the trace points of a job or table.
func addTrace(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	command := app.Command("trace", "Print what happened to a job or a table, on all daemons, in order of time.")
	kind := command.Arg("kind", "job or table.").Required().Enum("job", "table")
	name := command.Arg("name", "Id of the job, or edition of the table.").Required().String()
	commands["trace"] = func() error {
		subject, err := traceSubject(*kind, *name)
		if err != nil {
			return err
		}
		return client.printTrace(subject)
	}
}

// traceSubject returns the subject of the trace points of a job or of a table's version.
func traceSubject(kind, name string) (string, error) {
	if kind != "table" {
		return trace.JobSubject(types.JobID(name)), nil
	}
	version, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return "", fmt.Errorf("a table's edition is a whole number, got %q", name)
	}
	return trace.TableSubject(types.Version(version)), nil
}

// tracePoint is a trace point and the daemon that recorded it.
type tracePoint struct {
	trace.Point
	daemon string
}

// printTrace prints a subject's trace points on all daemons that the gateway knows.
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
	printByTime(points)
	return nil
}

// printByTime prints trace points in the order of the daemons' wall clocks, each with the
// time since the first.
func printByTime(points []tracePoint) {
	slices.SortStableFunc(points, func(a, b tracePoint) int { return cmp.Compare(a.At, b.At) })
	first := points[0].At
	for _, p := range points {
		sinceFirst := float64(p.At-first) / float64(time.Millisecond)
		fmt.Printf("%10.3f ms  %-26s %s\n", sinceFirst, p.daemon, p.Description)
	}
}

// fetchPeers returns the daemons that the gateway knows of, and the gateway itself.
func (c *gatewayClient) fetchPeers() ([]membership.Peer, error) {
	body, err := c.request(c.gateway, http.MethodGet, "/v1/mates", nil)
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

// fetchTrace returns a daemon's trace points of a subject. Where there are none to be had, it
// says so and returns none.
func (c *gatewayClient) fetchTrace(peer membership.Peer, subject string) []tracePoint {
	daemon := fmt.Sprintf("%s %s", peer.Role, peer.Addr)
	list, err := c.requestTrace(string(peer.Addr), subject)
	if err != nil {
		fmt.Printf("%-26s %v, last heard from %d ms ago\n", daemon, err, peer.AgeMS)
		return nil
	}
	var points []tracePoint
	for _, point := range list {
		points = append(points, tracePoint{point, daemon})
	}
	return points
}

// requestTrace asks a daemon for its trace points of a subject.
func (c *gatewayClient) requestTrace(addr, subject string) ([]trace.Point, error) {
	body, err := c.request(addr, http.MethodGet, "/v1/trace?subject="+url.QueryEscape(subject), nil)
	if err != nil {
		return nil, fmt.Errorf("no response: %w", err)
	}
	var list []trace.Point
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("its response can't be read: %w", err)
	}
	return list, nil
}
