package apierror

import "errors"

// ErrorList collects the errors of one document or request, so that they are reported together.
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

// First returns the first error, which is the one sent to a caller, or nil.
func (el *ErrorList) First() *Error {
	if len(el.list) == 0 {
		return nil
	}
	return el.list[0]
}

// Err returns all errors joined into one, as the command line reports them, or nil if there are none.
func (el *ErrorList) Err() error {
	all := make([]error, 0, len(el.list))
	for _, e := range el.list {
		all = append(all, e)
	}
	return errors.Join(all...)
}
