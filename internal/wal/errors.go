package wal

import (
	"errors"
	"syscall"
)

// DiskError reports a failed file system operation on the log. The File stays usable, and
// the operation may be retried.
type DiskError struct {
	Op  string // the operation, such as "sync"
	Err error  // the Storage's error, which usually includes the path
}

// Error returns the operation and the file system's error.
func (e *DiskError) Error() string { return "log: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the file system's error.
func (e *DiskError) Unwrap() error { return e.Err }

// diskError returns a DiskError for an operation.
func diskError(op string, err error) error { return &DiskError{Op: op, Err: err} }

// IsNoSpace reports whether err is, or wraps, the error of a full disk or an exhausted quota.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
