// Package apierror holds the closed list of error kinds and the table from each
// kind to the HTTP answer that a caller gets. Error is the body of a refusal;
// Wrap makes an errorx error of a kind for use inside a process. A kind that is
// not in the table can't be made.
package apierror

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Kind is a kind of error, as callers read it in a refusal's body.
type Kind string

// All kinds of error; docs/api.md says when each is answered.
const (
	BadBody        Kind = "bad_body"
	BadField       Kind = "bad_field"
	BodyCutShort   Kind = "body_cut_short" // what came of it says nothing about the request
	TooLarge       Kind = "too_large"
	NoSuchPath     Kind = "no_such_path"
	NoSuchMethod   Kind = "no_such_method"
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
	TooManyIDs     Kind = "too_many_ids"
	TooBusy        Kind = "too_busy"
	NoLeader       Kind = "no_leader"
	NotReady       Kind = "not_ready"
	OutcomeUnknown Kind = "outcome_unknown"
	ShuttingDown   Kind = "closing"
	Unusable       Kind = "unfit"
	BadSetting     Kind = "bad_setting"
)

// StatusCodes is the HTTP status of each kind.
var StatusCodes = map[Kind]int{
	BadBody: http.StatusBadRequest, BadField: http.StatusUnprocessableEntity,
	BodyCutShort: http.StatusRequestTimeout, TooLarge: http.StatusRequestEntityTooLarge, NoSuchPath: http.StatusNotFound,
	NoSuchMethod: http.StatusMethodNotAllowed, NoSuchJob: http.StatusNotFound,
	NoSuchWorker: http.StatusNotFound, NotDrained: http.StatusNotFound, NoSuchCalendar: http.StatusNotFound, WorkerHealthy: http.StatusConflict,
	NoSuchQueue: http.StatusUnprocessableEntity, IDInUse: http.StatusConflict,
	AlreadyEnded: http.StatusConflict, NeverPlaceable: http.StatusUnprocessableEntity,
	StaleVersion: http.StatusConflict, QueueInUse: http.StatusConflict,
	QueueFull: http.StatusTooManyRequests, TooManyIDs: http.StatusServiceUnavailable, TooBusy: http.StatusServiceUnavailable,
	NoLeader: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	OutcomeUnknown: http.StatusServiceUnavailable, ShuttingDown: http.StatusServiceUnavailable,
	Unusable: http.StatusConflict, BadSetting: http.StatusUnprocessableEntity,
}

// Retryable names the kinds whose answer carries Retry-After.
var Retryable = map[Kind]bool{QueueFull: true, TooManyIDs: true, TooBusy: true, NoLeader: true, NotReady: true, OutcomeUnknown: true, ShuttingDown: true}

// Error is the body of every refusal. Field is the path of the field at fault, if
// there is one; Retry is the Retry-After in seconds, or 0 for none.
type Error struct {
	Kind              Kind   `json:"kind"`
	Field             string `json:"field,omitempty"`
	Reason            string `json:"reason"`
	RetryAfterSeconds int    `json:"retry_after_s,omitempty"`
}

// Error returns kind, field and reason on one line.
func (e *Error) Error() string {
	if e.Field != "" {
		return string(e.Kind) + ": " + e.Field + ": " + e.Reason
	}
	return string(e.Kind) + ": " + e.Reason
}

// StatusCode returns the HTTP status of the error's kind.
func (e *Error) StatusCode() int { return StatusCodes[e.Kind] }

// New makes an error; kinds in Later get a Retry-After of one second.
func New(kind Kind, field, reason string) *Error {
	e := &Error{Kind: kind, Field: field, Reason: reason}
	if Retryable[kind] {
		e.RetryAfterSeconds = 1
	}
	return e
}

// WithRetryAfter sets the Retry-After, rounded up to whole seconds, one at least.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfterSeconds = max(1, int((wait+time.Second-1)/time.Second))
	return e
}

var (
	namespace  = errorx.NewNamespace("coppercourse")
	errorTypes = makeErrorTypes()
)

func makeErrorTypes() map[Kind]*errorx.Type {
	byKind := map[Kind]*errorx.Type{}
	for kind := range StatusCodes {
		byKind[kind] = errorx.NewType(namespace, string(kind))
	}
	return byKind
}

// Wrap makes an errorx error of a kind around its cause, for errors that stay
// inside a process or end it.
func Wrap(kind Kind, err error, message string) error {
	return errorTypes[kind].Wrap(err, "%s", message)
}

// ErrorList collects the errors of one document or request, so that all of them
// are reported together.
type ErrorList struct{ list []*Error }

// Add appends an error.
func (el *ErrorList) Add(kind Kind, field, reason string) {
	el.list = append(el.list, New(kind, field, reason))
}

// Check appends a BadField error unless ok.
func (el *ErrorList) Check(ok bool, field, reason string) {
	if !ok {
		el.Add(BadField, field, reason)
	}
}

// List returns all errors in order.
func (el *ErrorList) List() []*Error { return el.list }

// First returns the first error, with which a caller is answered, or nil.
func (el *ErrorList) First() *Error {
	if len(el.list) == 0 {
		return nil
	}
	return el.list[0]
}

// Err joins all errors into one for the command line; nil if there are none.
func (el *ErrorList) Err() error {
	var all []error
	for _, e := range el.list {
		all = append(all, e)
	}
	return errors.Join(all...)
}
