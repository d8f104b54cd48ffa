package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"coppercourse/internal/types"
)

// Table is the queue table in one version. It is replaced as a whole. In a request to
// replace it, Version is the version on which the new table is based, and RequestedVersion
// the one that it shall get, or 0 for the next.
type Table struct {
	Version          types.Version   `json:"edition"`
	RequestedVersion types.Version   `json:"becomes,omitempty"`
	MaxTasks         int             `json:"tasks,omitempty"`     // see TaskLimit
	MaxMegabytes     int             `json:"megabytes,omitempty"` // see ByteLimit
	Orphans          OrphanPolicy    `json:"orphans,omitempty"`
	Queues           []Queue         `json:"queues"`
	Services         []Service       `json:"services,omitempty"`
	Tenants          []Tenant        `json:"tenants,omitempty"`
	Limits           Limits          `json:"limits,omitzero"`
	Source           json.RawMessage `json:"source,omitempty"` // the operator's own document, as it came
}

// OrphanPolicy says what becomes of unfinished jobs of a queue that a new table leaves
// out.
type OrphanPolicy string

const (
	// RejectOrphans rejects the new table while there are such jobs; it is the default.
	RejectOrphans OrphanPolicy = ""
	// FinishOrphans lets them finish by the last settings of their queue.
	FinishOrphans OrphanPolicy = "finish"
)

// Service is a kind of worker.
type Service struct {
	Name types.ServiceKind `json:"name"`
	// EnforcesResources says that its workers reject tasks that don't fit. Where they
	// don't, the scheduler alone keeps their resources from being exceeded.
	EnforcesResources bool   `json:"guards"`
	HealthPath        string `json:"health,omitempty"`      // path of the health check
	MaxConnections    int    `json:"connections,omitempty"` // to one worker
}

// Limits bound what a client's connection may bring; 0 stands for the daemon's own bound.
type Limits struct {
	HeaderBytes         int `json:"header_bytes,omitempty"`
	BodyBytes           int `json:"body_bytes,omitempty"`
	HeaderTimeoutMillis int `json:"header_ms,omitempty"`
	IdleTimeoutMillis   int `json:"idle_ms,omitempty"`
}

// Bounds of the unfinished work of all queues, for a table that sets none.
const (
	defaultMaxTasks     = 100_000
	defaultMaxMegabytes = 64
)

// TaskLimit returns the bound of the unfinished tasks of all queues together.
func (t Table) TaskLimit() int {
	if t.MaxTasks == 0 {
		return defaultMaxTasks
	}
	return t.MaxTasks
}

// ByteLimit returns the bound of the unfinished work of all queues together, in bytes.
func (t Table) ByteLimit() int {
	if t.MaxMegabytes == 0 {
		return defaultMaxMegabytes << 20
	}
	return t.MaxMegabytes << 20
}

// FindQueue returns the settings of a queue.
func (t Table) FindQueue(name types.QueueName) (Queue, bool) {
	for _, queue := range t.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// FindService returns the service with a name.
func (t Table) FindService(name types.ServiceKind) (Service, bool) {
	for _, service := range t.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Accepted returns the table as it will be in force once it is accepted.
func (t Table) Accepted() Table {
	t.Version = max(t.Version+1, t.RequestedVersion)
	t.RequestedVersion = 0
	return t
}

// SameContent reports whether two tables are equal apart from their versions.
func (t Table) SameContent(other Table) bool { return t.ContentHash() == other.ContentHash() }

// contentHashBytes is how many bytes of the SHA-256 make the hash of a table.
const contentHashBytes = 8

// ContentHash returns a hash of the table's content without its versions, in hexadecimal.
func (t Table) ContentHash() string {
	t.Version, t.RequestedVersion = 0, 0
	t.MaxTasks, t.MaxMegabytes = t.TaskLimit(), t.ByteLimit()
	content, _ := json.Marshal(t) // fails only for a Source that is not JSON, which ReadTable rejects
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:contentHashBytes])
}
