package wal

import (
	"errors"
	"syscall"
)

// DiskError says that the file system has refused an operation on the log. The File stays
// usable, and the operation may be tried again.
type DiskError struct {
	Op  string // the operation, such as "sync"
	Err error  // of the Storage, with the path where that gives it
}

// Error names the operation and the file system's error.
func (e *DiskError) Error() string { return "log: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the file system's error.
func (e *DiskError) Unwrap() error { return e.Err }

// diskError returns a DiskError about an operation.
func diskError(op string, err error) error { return &DiskError{Op: op, Err: err} }

// IsNoSpace reports whether an operation failed because the disk, or a quota, is full, also
// where err wraps that error.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
