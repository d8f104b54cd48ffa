package apierror

import "net/http"

// Kind is a kind of error, as callers read it in the body of a response.
type Kind string

// All kinds of error; docs/api.md says when a caller gets each of them.
const (
	BadBody        Kind = "bad_body"
	BadField       Kind = "bad_field"
	BodyCutShort   Kind = "body_cut_short" // what arrived says nothing about the request
	TooLarge       Kind = "too_large"
	NoSuchPath     Kind = "no_such_path"
	NoSuchMethod   Kind = "no_such_method"
	Unauthorized   Kind = "unauthorized" // no tenant holds the key, or there is none
	Forbidden      Kind = "forbidden"    // the job is another tenant's
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
	TenantOverRate Kind = "tenant_over_rate" // it submits more jobs a second than its weight
	TooManyIDs     Kind = "too_many_ids"
	TooBusy        Kind = "too_busy"
	NoLeader       Kind = "no_leader"
	NotReady       Kind = "not_ready"
	OutcomeUnknown Kind = "outcome_unknown" // the request may have been carried out
	ShuttingDown   Kind = "closing"
	Unusable       Kind = "unfit"       // stored data or a process that can't be used; not for callers
	BadSetting     Kind = "bad_setting" // in a daemon's settings; not for callers
)

// StatusCodes are the HTTP status codes of all kinds.
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

// Retryable are the kinds whose response has a Retry-After header.
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
