package apierror

import "net/http"

// Kind is a kind of error. It is encoded in the body of a response.
type Kind string

// All error kinds. docs/api.md describes when a caller receives each of them.
const (
	BadBody        Kind = "bad_body"
	BadField       Kind = "bad_field"
	BodyCutShort   Kind = "body_cut_short" // the body is incomplete, so its validity is unknown
	TooLarge       Kind = "too_large"
	NoSuchPath     Kind = "no_such_path"
	NoSuchMethod   Kind = "no_such_method"
	Unauthorized   Kind = "unauthorized" // the key is missing or belongs to no tenant
	Forbidden      Kind = "forbidden"    // the job belongs to another tenant
	NoSuchJob      Kind = "no_such_job"
	NoSuchQueue    Kind = "no_such_queue"
	NoSuchWorker   Kind = "no_such_worker"
	NotDrained     Kind = "not_drained"
	NoSuchCalendar Kind = "no_such_calendar"
	WorkerHealthy  Kind = "worker_is_healthy"
	IDInUse        Kind = "id_in_use"
	AlreadyEnded   Kind = "already_ended"
	NeverPlaceable Kind = "never_placeable"
	StaleVersion   Kind = "stale_edition"
	QueueInUse     Kind = "queue_in_use"
	QueueFull      Kind = "queue_full"
	TenantOverRate Kind = "tenant_over_rate" // the tenant submits more jobs per second than its weight allows
	TooManyIDs     Kind = "too_many_ids"
	TooBusy        Kind = "too_busy"
	NoLeader       Kind = "no_leader"
	NotReady       Kind = "not_ready"
	OutcomeUnknown Kind = "outcome_unknown" // the request may have been executed
	ShuttingDown   Kind = "closing"
	Unusable       Kind = "unfit"       // unusable stored data or process; never sent to callers
	BadSetting     Kind = "bad_setting" // invalid daemon setting; never sent to callers
)

// StatusCodes maps each kind to its HTTP status code.
var StatusCodes = map[Kind]int{
	BadBody:        http.StatusBadRequest,
	BadField:       http.StatusUnprocessableEntity,
	BodyCutShort:   http.StatusRequestTimeout,
	TooLarge:       http.StatusRequestEntityTooLarge,
	NoSuchPath:     http.StatusNotFound,
	NoSuchMethod:   http.StatusMethodNotAllowed,
	Unauthorized:   http.StatusUnauthorized,
	Forbidden:      http.StatusForbidden,
	NoSuchJob:      http.StatusNotFound,
	NoSuchQueue:    http.StatusUnprocessableEntity,
	NoSuchWorker:   http.StatusNotFound,
	NotDrained:     http.StatusNotFound,
	NoSuchCalendar: http.StatusNotFound,
	WorkerHealthy:  http.StatusConflict,
	IDInUse:        http.StatusConflict,
	AlreadyEnded:   http.StatusConflict,
	NeverPlaceable: http.StatusUnprocessableEntity,
	StaleVersion:   http.StatusConflict,
	QueueInUse:     http.StatusConflict,
	QueueFull:      http.StatusTooManyRequests,
	TenantOverRate: http.StatusTooManyRequests,
	TooManyIDs:     http.StatusServiceUnavailable,
	TooBusy:        http.StatusServiceUnavailable,
	NoLeader:       http.StatusServiceUnavailable,
	NotReady:       http.StatusServiceUnavailable,
	OutcomeUnknown: http.StatusServiceUnavailable,
	ShuttingDown:   http.StatusServiceUnavailable,
	Unusable:       http.StatusConflict,
	BadSetting:     http.StatusUnprocessableEntity,
}

// Retryable lists the kinds whose response has a Retry-After header.
var Retryable = map[Kind]bool{
	QueueFull:      true,
	TenantOverRate: true,
	TooManyIDs:     true,
	TooBusy:        true,
	NoLeader:       true,
	NotReady:       true,
	OutcomeUnknown: true,
	ShuttingDown:   true,
}
