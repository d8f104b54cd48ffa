package config

// Decoding and checking of the queue table.

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Bounds of a table.
const (
	rows     = 1000    // queues
	services = 200     // services
	source   = 1 << 20 // bytes of the operator's own document
)

// Bounds of numbers in a document.
const (
	dayMS      = 86_400_000 // a day in milliseconds
	weekMS     = 7 * dayMS  // a week in milliseconds
	mostExact  = 1 << 53    // the largest whole number that every JSON reader keeps exactly
	mostPrefix = 256        // bytes of a route's path prefix
	mostShares = 100        // percent, all queues together
)

// ReadTable decodes a table as an operator writes it. Its Version is the one that
// it is based on.
func ReadTable(document []byte, errs *apierror.ErrorList) (t Table) {
	r := NewReader(document, errs)
	base := false
	r.Whole(map[string]Field{
		"edition":   func(at string) { base = true; Num(r, &t.Version, 0, mostExact)(at) },
		"tasks":     Num(r, &t.Tasks, 1000, 1_000_000),
		"megabytes": Num(r, &t.MB, 8, 512),
		"queues": func(at string) {
			t.Rows = []Row{}
			r.List(at, rows, func(at string, _ int) { t.Rows = append(t.Rows, readRow(r, at)) })
		},
		"becomes": Num(r, &t.Becomes, 0, mostExact),
		"orphans": Text(r, &t.Orphans, orphans),
		"services": func(at string) {
			r.List(at, services, func(at string, _ int) { t.Services = append(t.Services, readService(r, at)) })
		},
		"limits": func(at string) {
			l := &t.Limits
			r.Obj(at, map[string]Field{"header_bytes": Num(r, &l.Header, 0, 1<<20), "body_bytes": Num(r, &l.Body, 0, 4<<20),
				"header_ms": Num(r, &l.HeaderMS, 0, 600_000), "idle_ms": Num(r, &l.IdleMS, 0, 3_600_000)})
		},
		"source": Raw(r, (*[]byte)(&t.Source), source),
	})
	if len(errs.List()) > 0 {
		return
	}
	errs.Check(base, "edition", "missing: say which edition the table is based on")
	errs.Check(t.Rows != nil, "queues", "missing")
	t.Check(errs)
	return
}

func orphans(s string) string {
	if s != string(Refuse) && s != string(Finish) {
		return "want finish, or nothing"
	}
	return ""
}

// Check adds the errors of a table as a whole: repeated names and routes, unknown
// services, shares over 100%.
func (t Table) Check(errs *apierror.ErrorList) {
	errs.Check(t.Becomes == 0 || t.Becomes > t.Version, "becomes", "must be above the edition it is based on")
	shares, seen, routes := 0, map[types.Queue]bool{}, map[[2]string]bool{}
	for i, row := range t.Rows {
		at := fmt.Sprintf("queues[%d]", i)
		errs.Check(!seen[row.Name], at+".name", "two rows for "+string(row.Name))
		seen[row.Name] = true
		shares += row.Share
		if row.Prefix != "" {
			route := [2]string{row.Host, row.Prefix}
			errs.Check(!routes[route], at+".prefix", "two rows take "+row.Host+row.Prefix)
			routes[route] = true
		}
		if _, ok := t.Serves(row.Service); row.Service != "" && len(t.Services) > 0 {
			errs.Check(ok, at+".service", "no service is called "+string(row.Service))
		}
	}
	errs.Check(shares <= mostShares, "queues", "the shares add up to more than 100")
}

func readService(r *Reader, at string) (s Service) {
	s.Guards = true
	r.Obj(at, map[string]Field{"name": Text(r, &s.Name, Name), "guards": Bool(r, &s.Guards),
		"health": Text(r, &s.Health, anyText), "connections": Num(r, &s.Conns, 0, 65535)})
	return
}

// readRow decodes one queue; fields left out have the defaults of docs/settings.md.
func readRow(r *Reader, at string) Row {
	row := Row{Weight: 1, Running: 1000, Waiting: 1000, Tries: 3, TaskMS: 600_000, Patience: 30_000, CutMS: dayMS,
		Stall: 10, Moves: 3}
	r.Obj(at, map[string]Field{
		"name":            Text(r, &row.Name, Name),
		"weight":          Num(r, &row.Weight, 1, 1000),
		"share":           Num(r, &row.Share, 0, 100),
		"running":         Num(r, &row.Running, 1, 100_000),
		"waiting":         Num(r, &row.Waiting, 1, 100_000),
		"tries":           Num(r, &row.Tries, 1, 100),
		"task_time_ms":    Num(r, &row.TaskMS, 10, dayMS),
		"patience_ms":     Num(r, &row.Patience, 0, dayMS),
		"cut_patience_ms": Num(r, &row.CutMS, 0, weekMS),
		"losses":          Num(r, &row.Losses, 0, 1000),
		"stall_times":     Num(r, &row.Stall, 0, 1000),
		"displaces":       Bool(r, &row.Displace),
		"displaced":       Num(r, &row.Moves, 0, 100),
		"host":            Text(r, &row.Host, anyText),
		"prefix":          Text(r, &row.Prefix, Maybe(pathPrefix)),
		"service":         Text(r, &row.Service, Maybe(Name)),
		"priority":        Num(r, &row.Priority, 0, 9),
		"stretch":         Real(r, &row.Stretch, 0, 1000),
		"target_ms":       Num(r, &row.Target, 0, dayMS),
		"timeout_ms":      Num(r, &row.Timeout, 0, dayMS),
		"rest_ms":         Num(r, &row.Rest, 0, 60_000),
	})
	r.Heap.Check(row.Name != "", at+".name", "missing")
	return row
}

// pathPrefix accepts the prefixes that routes may have.
func pathPrefix(s string) string {
	if s[0] != '/' || len(s) > mostPrefix {
		return "want a path that begins with a slash"
	}
	return ""
}
