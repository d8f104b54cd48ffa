// Package apierror defines the closed list of error kinds (Kind) and the HTTP status code of each
// kind. Error is the body of a response to a rejected request. Wrap returns an errorx error of
// a kind for use inside a process. ErrorList collects the errors of one document.
package apierror

import (
	"time"

	"github.com/joomcode/errorx"
)

// Error is the body of the response to every rejected request.
type Error struct {
	Kind              Kind   `json:"kind"`
	Field             string `json:"field,omitempty"` // path of the invalid field, if any
	Reason            string `json:"reason"`
	RetryAfterSeconds int    `json:"retry_after_s,omitempty"` // the Retry-After; 0 for none
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

// New returns an error. Retryable kinds get a Retry-After of one second.
func New(kind Kind, field, reason string) *Error {
	e := &Error{Kind: kind, Field: field, Reason: reason}
	if Retryable[kind] {
		e.RetryAfterSeconds = 1
	}
	return e
}

// KeyRequired returns the error for a request without a valid tenant key. The error is the same for
// every such request, since it must not reveal the key.
func KeyRequired() *Error {
	return New(Unauthorized, "", "a valid tenant key is required")
}

// WithRetryAfter sets the Retry-After, rounded up to whole seconds and at least one second, and
// returns the error.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfterSeconds = max(1, int((wait+time.Second-1)/time.Second))
	return e
}

var (
	namespace  = errorx.NewNamespace("coppercourse")
	errorTypes = makeErrorTypes()
)

// makeErrorTypes returns an errorx type for each kind.
func makeErrorTypes() map[Kind]*errorx.Type {
	byKind := map[Kind]*errorx.Type{}
	for kind := range StatusCodes {
		byKind[kind] = errorx.NewType(namespace, string(kind))
	}
	return byKind
}

// Wrap returns an errorx error of a kind with a cause, for errors that are handled inside a process
// or terminate it. The message names the operation that failed.
func Wrap(kind Kind, err error, message string) error {
	return errorTypes[kind].Wrap(err, "%s", message)
}
