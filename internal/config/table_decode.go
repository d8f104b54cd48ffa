package config

import (
	"coppercourse/internal/apierror"
)

// MaxExactInteger is the largest integer of a document: JSON readers that keep numbers as
// floating point represent all integers up to it exactly.
const MaxExactInteger = 1 << 53

// Limits of a table's document.
const (
	maxQueues      = 1000
	maxServices    = 200
	maxSourceBytes = 1 << 20
	maxPrefixBytes = 256
	maxConnections = 65535
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 4 << 20

	secondMillis = 1000
	minuteMillis = 60 * secondMillis
	hourMillis   = 60 * minuteMillis
	dayMillis    = 24 * hourMillis
	weekMillis   = 7 * dayMillis
)

// ReadTable decodes and checks a table as an operator writes it. All errors are added to
// errs; without any the table is valid.
func ReadTable(document []byte, errs *apierror.ErrorList) Table {
	var table Table
	r := NewReader(document, errs)
	hasBase := false
	r.ReadDocument(map[string]Field{
		"edition": func(path string) {
			hasBase = true
			Int(r, &table.Version, 0, MaxExactInteger)(path)
		},
		"becomes":   Int(r, &table.RequestedVersion, 0, MaxExactInteger),
		"tasks":     Int(r, &table.MaxTasks, 1000, 1_000_000),
		"megabytes": Int(r, &table.MaxMegabytes, 8, 512),
		"orphans":   Text(r, &table.Orphans, checkOrphanPolicy),
		"queues": func(path string) {
			table.Queues = []Queue{}
			r.Array(path, maxQueues, func(path string, _ int) {
				table.Queues = append(table.Queues, readQueue(r, path))
			})
		},
		"services": func(path string) {
			r.Array(path, maxServices, func(path string, _ int) {
				table.Services = append(table.Services, readService(r, path))
			})
		},
		"tenants": func(path string) {
			r.Array(path, maxTenants, func(path string, _ int) {
				table.Tenants = append(table.Tenants, readTenant(r, path))
			})
		},
		"limits": func(path string) { readLimits(r, path, &table.Limits) },
		"source": Raw(r, (*[]byte)(&table.Source), maxSourceBytes),
	})
	if len(errs.List()) > 0 {
		return table
	}
	errs.Check(hasBase, "edition", "missing: say which edition the table is based on")
	errs.Check(table.Queues != nil, "queues", "missing")
	table.Check(errs)
	return table
}

// readQueue decodes the queue at a path; fields left out have the defaults of
// docs/settings.md.
func readQueue(r *Reader, path string) Queue {
	queue := Queue{
		Weight: 1, MaxRunning: 1000, MaxUnfinished: 1000, MaxFailures: 3,
		TaskTimeoutMillis: 10 * minuteMillis, UnresolvedTimeoutMillis: 30 * secondMillis,
		PartitionTimeoutMillis: dayMillis, StragglerFactor: 10, MaxPreemptions: 3,
	}
	r.Object(path, map[string]Field{
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
		"host":            Text(r, &queue.Host, AnyText),
		"prefix":          Text(r, &queue.PathPrefix, Optional(checkPathPrefix)),
		"service":         Text(r, &queue.Service, Optional(CheckName)),
		"requires_key":    Bool(r, &queue.RequiresKey),
		"priority":        Int(r, &queue.Priority, 0, 9),
		"stretch":         Float(r, &queue.TargetFactor, 0, 1000),
		"target_ms":       Int(r, &queue.TargetMarginMillis, 0, dayMillis),
		"timeout_ms":      Int(r, &queue.RequestTimeoutMillis, 0, dayMillis),
		"rest_ms":         Int(r, &queue.InitialBackoffMillis, 0, minuteMillis),
	})
	r.Errors.Check(queue.Name != "", path+".name", "missing")
	return queue
}

// readService decodes the service at a path.
func readService(r *Reader, path string) Service {
	service := Service{EnforcesResources: true}
	r.Object(path, map[string]Field{
		"name":        Text(r, &service.Name, CheckName),
		"guards":      Bool(r, &service.EnforcesResources),
		"health":      Text(r, &service.HealthPath, AnyText),
		"connections": Int(r, &service.MaxConnections, 0, maxConnections),
	})
	return service
}

// readLimits decodes the limits at a path.
func readLimits(r *Reader, path string, limits *Limits) {
	r.Object(path, map[string]Field{
		"header_bytes": Int(r, &limits.HeaderBytes, 0, maxHeaderBytes),
		"body_bytes":   Int(r, &limits.BodyBytes, 0, maxBodyBytes),
		"header_ms":    Int(r, &limits.HeaderTimeoutMillis, 0, 10*minuteMillis),
		"idle_ms":      Int(r, &limits.IdleTimeoutMillis, 0, hourMillis),
	})
}

// checkOrphanPolicy accepts the policies that there are.
func checkOrphanPolicy(text string) string {
	if text != string(RejectOrphans) && text != string(FinishOrphans) {
		return "want finish, or nothing"
	}
	return ""
}

// checkPathPrefix accepts the prefixes that routes may have.
func checkPathPrefix(text string) string {
	if text[0] != '/' || len(text) > maxPrefixBytes {
		return "want a path that begins with a slash"
	}
	return ""
}
