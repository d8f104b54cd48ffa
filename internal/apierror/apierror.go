// Package apierror is the closed list of error kinds and the one table from a
// kind to the answer a caller gets. Errors are errorx errors of one namespace;
// a kind that is not in the table cannot be made.
package apierror

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

type Kind string

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

// Code is the answer table: HTTP status by kind.
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

// Later names the kinds whose answer tells when to come back.
var Later = map[Kind]bool{Full: true, Kept: true, Crowd: true, NoLead: true, NotReady: true, Unsure: true, Closing: true}

// Error is the body of every refusal.
type Error struct {
	Kind   Kind   `json:"kind"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	Retry  int    `json:"retry_after_s,omitempty"`
}

func (f *Error) Error() string {
	if f.Field != "" {
		return string(f.Kind) + ": " + f.Field + ": " + f.Reason
	}
	return string(f.Kind) + ": " + f.Reason
}

// Code gives the status of the fault's kind.
func (f *Error) Code() int { return Code[f.Kind] }

func New(k Kind, field, reason string) *Error {
	f := &Error{Kind: k, Field: field, Reason: reason}
	if Later[k] {
		f.Retry = 1
	}
	return f
}

// After sets when to come back, rounded up to whole seconds, one at least.
func (f *Error) After(d time.Duration) *Error {
	f.Retry = max(1, int((d+time.Second-1)/time.Second))
	return f
}

var (
	space = errorx.NewNamespace("coppercourse")
	types = func() map[Kind]*errorx.Type {
		m := map[Kind]*errorx.Type{}
		for k := range Code {
			m[k] = errorx.NewType(space, string(k))
		}
		return m
	}()
)

// Wrap makes an errorx error of the kind round a cause, for errors that stay
// inside a process or end it.
func Wrap(k Kind, err error, text string) error {
	return types[k].Wrap(err, "%s", text)
}

// ErrorList collects errors so that they are looked at once, at the end of a step.
type ErrorList struct{ list []*Error }

func (h *ErrorList) Add(k Kind, field, reason string) { h.list = append(h.list, New(k, field, reason)) }
func (h *ErrorList) Check(ok bool, field, reason string) {
	if !ok {
		h.Add(BadField, field, reason)
	}
}
func (h *ErrorList) List() []*Error { return h.list }

// First gives the first fault, or nil; a caller is answered with it.
func (h *ErrorList) First() *Error {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}

// Err joins all faults into one error, for the command line.
func (h *ErrorList) Err() error {
	var all []error
	for _, f := range h.list {
		all = append(all, f)
	}
	return errors.Join(all...)
}
