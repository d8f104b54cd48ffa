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
	BadBody    Kind = "bad_body"
	BadField   Kind = "bad_field"
	CutShort   Kind = "body_cut_short" // what came of it says nothing about the request
	TooLarge   Kind = "too_large"
	NoPath     Kind = "no_such_path"
	NoMethod   Kind = "no_such_method"
	NoJob      Kind = "no_such_job"
	NoQueue    Kind = "no_such_queue"
	NoWorker   Kind = "no_such_worker"
	NoDrain    Kind = "not_drained"
	NoPlan     Kind = "no_such_calendar"
	Alive      Kind = "worker_is_healthy"
	Conflict   Kind = "id_in_use"
	Ended      Kind = "already_ended"
	Unplaced   Kind = "never_placeable"
	Stale      Kind = "stale_edition"
	InUse      Kind = "queue_in_use"
	Full       Kind = "queue_full"
	Kept       Kind = "too_many_ids"
	Crowd      Kind = "too_busy"
	NoLead     Kind = "no_leader"
	NotReady   Kind = "not_ready"
	Unsure     Kind = "outcome_unknown"
	Closing    Kind = "closing"
	Unfit      Kind = "unfit"
	BadSetting Kind = "bad_setting"
)

// Code is the HTTP status of each kind.
var Code = map[Kind]int{
	BadBody: http.StatusBadRequest, BadField: http.StatusUnprocessableEntity,
	CutShort: http.StatusRequestTimeout, TooLarge: http.StatusRequestEntityTooLarge, NoPath: http.StatusNotFound,
	NoMethod: http.StatusMethodNotAllowed, NoJob: http.StatusNotFound,
	NoWorker: http.StatusNotFound, NoDrain: http.StatusNotFound, NoPlan: http.StatusNotFound, Alive: http.StatusConflict,
	NoQueue: http.StatusUnprocessableEntity, Conflict: http.StatusConflict,
	Ended: http.StatusConflict, Unplaced: http.StatusUnprocessableEntity,
	Stale: http.StatusConflict, InUse: http.StatusConflict,
	Full: http.StatusTooManyRequests, Kept: http.StatusServiceUnavailable, Crowd: http.StatusServiceUnavailable,
	NoLead: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	Unsure: http.StatusServiceUnavailable, Closing: http.StatusServiceUnavailable,
	Unfit: http.StatusConflict, BadSetting: http.StatusUnprocessableEntity,
}

// Later names the kinds whose answer carries Retry-After.
var Later = map[Kind]bool{Full: true, Kept: true, Crowd: true, NoLead: true, NotReady: true, Unsure: true, Closing: true}

// Error is the body of every refusal. Field is the path of the field at fault, if
// there is one; Retry is the Retry-After in seconds, or 0 for none.
type Error struct {
	Kind   Kind   `json:"kind"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	Retry  int    `json:"retry_after_s,omitempty"`
}

// Error returns kind, field and reason on one line.
func (e *Error) Error() string {
	if e.Field != "" {
		return string(e.Kind) + ": " + e.Field + ": " + e.Reason
	}
	return string(e.Kind) + ": " + e.Reason
}

// Code returns the HTTP status of the error's kind.
func (e *Error) Code() int { return Code[e.Kind] }

// New makes an error; kinds in Later get a Retry-After of one second.
func New(kind Kind, field, reason string) *Error {
	e := &Error{Kind: kind, Field: field, Reason: reason}
	if Later[kind] {
		e.Retry = 1
	}
	return e
}

// After sets the Retry-After, rounded up to whole seconds, one at least.
func (e *Error) After(d time.Duration) *Error {
	e.Retry = max(1, int((d+time.Second-1)/time.Second))
	return e
}

var (
	namespace  = errorx.NewNamespace("coppercourse")
	errorTypes = makeErrorTypes()
)

func makeErrorTypes() map[Kind]*errorx.Type {
	byKind := map[Kind]*errorx.Type{}
	for kind := range Code {
		byKind[kind] = errorx.NewType(namespace, string(kind))
	}
	return byKind
}

// Wrap makes an errorx error of a kind around its cause, for errors that stay
// inside a process or end it.
func Wrap(kind Kind, err error, text string) error {
	return errorTypes[kind].Wrap(err, "%s", text)
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
