package config

// Decoding and checking of the queue table.

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Bounds of a table.
const (
	maxQueues      = 1000    // queues
	maxServices    = 200     // services
	maxSourceBytes = 1 << 20 // bytes of the operator's own document
)

// Bounds of numbers in a document.
const (
	dayMillis            = 86_400_000    // a day in milliseconds
	weekMillis           = 7 * dayMillis // a week in milliseconds
	maxExactInteger      = 1 << 53       // the largest whole number that every JSON reader keeps exactly
	maxPrefixBytes       = 256           // bytes of a route's path prefix
	maxTotalSharePercent = 100           // percent, all queues together
)

// ReadTable decodes a table as an operator writes it. Its Version is the one that
// it is based on.
func ReadTable(document []byte, errs *apierror.ErrorList) (table Table) {
	r := NewReader(document, errs)
	hasBase := false
	r.ReadDocument(map[string]Field{
		"edition":   func(at string) { hasBase = true; Int(r, &table.Version, 0, maxExactInteger)(at) },
		"tasks":     Int(r, &table.MaxTasks, 1000, 1_000_000),
		"megabytes": Int(r, &table.MaxMegabytes, 8, 512),
		"queues": func(at string) {
			table.Queues = []Queue{}
			r.Array(at, maxQueues, func(at string, _ int) { table.Queues = append(table.Queues, readQueue(r, at)) })
		},
		"becomes": Int(r, &table.RequestedVersion, 0, maxExactInteger),
		"orphans": Text(r, &table.Orphans, checkOrphanPolicy),
		"services": func(at string) {
			r.Array(at, maxServices, func(at string, _ int) { table.Services = append(table.Services, readService(r, at)) })
		},
		"limits": func(at string) {
			l := &table.Limits
			r.Object(at, map[string]Field{"header_bytes": Int(r, &l.HeaderBytes, 0, 1<<20), "body_bytes": Int(r, &l.BodyBytes, 0, 4<<20),
				"header_ms": Int(r, &l.HeaderTimeoutMillis, 0, 600_000), "idle_ms": Int(r, &l.IdleTimeoutMillis, 0, 3_600_000)})
		},
		"source": Raw(r, (*[]byte)(&table.Source), maxSourceBytes),
	})
	if len(errs.List()) > 0 {
		return
	}
	errs.Check(hasBase, "edition", "missing: say which edition the table is based on")
	errs.Check(table.Queues != nil, "queues", "missing")
	table.Check(errs)
	return
}

func checkOrphanPolicy(s string) string {
	if s != string(RefuseOrphans) && s != string(FinishOrphans) {
		return "want finish, or nothing"
	}
	return ""
}

// Check adds the errors of a table as a whole: repeated names and routes, unknown
// services, shares over 100%.
func (t Table) Check(errs *apierror.ErrorList) {
	errs.Check(t.RequestedVersion == 0 || t.RequestedVersion > t.Version, "becomes", "must be above the edition it is based on")
	shares, seen, routes := 0, map[types.QueueName]bool{}, map[[2]string]bool{}
	for i, queue := range t.Queues {
		at := fmt.Sprintf("queues[%d]", i)
		errs.Check(!seen[queue.Name], at+".name", "two rows for "+string(queue.Name))
		seen[queue.Name] = true
		shares += queue.SharePercent
		if queue.PathPrefix != "" {
			route := [2]string{queue.Host, queue.PathPrefix}
			errs.Check(!routes[route], at+".prefix", "two rows take "+queue.Host+queue.PathPrefix)
			routes[route] = true
		}
		if _, ok := t.FindService(queue.Service); queue.Service != "" && len(t.Services) > 0 {
			errs.Check(ok, at+".service", "no service is called "+string(queue.Service))
		}
	}
	errs.Check(shares <= maxTotalSharePercent, "queues", "the shares add up to more than 100")
}

func readService(r *Reader, at string) (service Service) {
	service.EnforcesResources = true
	r.Object(at, map[string]Field{"name": Text(r, &service.Name, CheckName), "guards": Bool(r, &service.EnforcesResources),
		"health": Text(r, &service.HealthPath, acceptAny), "connections": Int(r, &service.MaxConnections, 0, 65535)})
	return
}

// readQueue decodes one queue; fields left out have the defaults of docs/settings.md.
func readQueue(r *Reader, at string) Queue {
	queue := Queue{Weight: 1, MaxRunning: 1000, MaxUnfinished: 1000, MaxFailures: 3, TaskTimeoutMillis: 600_000, UnresolvedTimeoutMillis: 30_000, PartitionTimeoutMillis: dayMillis,
		StragglerFactor: 10, MaxPreemptions: 3}
	r.Object(at, map[string]Field{
		"name":            Text(r, &queue.Name, CheckName),
		"weight":          Int(r, &queue.Weight, 1, 1000),
		"share":           Int(r, &queue.SharePercent, 0, 100),
		"running":         Int(r, &queue.MaxRunning, 1, 100_000),
		"waiting":         Int(r, &queue.MaxUnfinished, 1, 100_000),
		"tries":           Int(r, &queue.MaxFailures, 1, 100),
		"task_time_ms":    Int(r, &queue.TaskTimeoutMillis, 10, dayMillis),
		"patience_ms":     Int(r, &queue.UnresolvedTimeoutMillis, 0, dayMillis),
		"cut_patience_ms": Int(r, &queue.PartitionTimeoutMillis, 0, weekMillis),
		"losses":          Int(r, &queue.MaxLosses, 0, 1000),
		"stall_times":     Int(r, &queue.StragglerFactor, 0, 1000),
		"displaces":       Bool(r, &queue.CanPreempt),
		"displaced":       Int(r, &queue.MaxPreemptions, 0, 100),
		"host":            Text(r, &queue.Host, acceptAny),
		"prefix":          Text(r, &queue.PathPrefix, Optional(checkPathPrefix)),
		"service":         Text(r, &queue.Service, Optional(CheckName)),
		"priority":        Int(r, &queue.Priority, 0, 9),
		"stretch":         Float(r, &queue.TargetFactor, 0, 1000),
		"target_ms":       Int(r, &queue.TargetMarginMillis, 0, dayMillis),
		"timeout_ms":      Int(r, &queue.RequestTimeoutMillis, 0, dayMillis),
		"rest_ms":         Int(r, &queue.InitialBackoffMillis, 0, 60_000),
	})
	r.Errors.Check(queue.Name != "", at+".name", "missing")
	return queue
}

// checkPathPrefix accepts the prefixes that routes may have.
func checkPathPrefix(s string) string {
	if s[0] != '/' || len(s) > maxPrefixBytes {
		return "want a path that begins with a slash"
	}
	return ""
}
