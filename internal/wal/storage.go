package wal

import "os"

// Storage is the part of a file system that a log needs. Its errors wrap the system's errors,
// such as syscall.ENOSPC, like those of package os.
type Storage interface {
	// MakeDir creates a directory and its parents, unless they exist.
	MakeDir(dir string) error
	// ReadFile returns the content of a file; fs.ErrNotExist if there is none.
	ReadFile(path string) ([]byte, error)
	// OpenFile opens a file for reading and writing, and creates it if it is missing.
	OpenFile(path string) (Handle, error)
	// Rename renames a file and replaces an existing target. It is durable after SyncDir.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
}

// Handle is an open file.
type Handle interface {
	// WriteAt writes at a byte offset. After an error any part may have been written.
	WriteAt(b []byte, offset int64) (int, error)
	// Truncate sets the length of the file in bytes.
	Truncate(size int64) error
	// Sync makes all writes durable. After an error the unsynced writes may be lost, and a
	// later Sync does not cover them.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// OSStorage is the operating system's file system. Files are accessible to the daemon's user
// only.
type OSStorage struct{}

// Permissions of created directories and files.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MakeDir implements Storage.
func (OSStorage) MakeDir(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadFile implements Storage.
func (OSStorage) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// OpenFile implements Storage.
func (OSStorage) OpenFile(path string) (Handle, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
}

// Rename implements Storage.
func (OSStorage) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Storage.
func (OSStorage) Remove(path string) error { return os.Remove(path) }

// SyncDir implements Storage.
func (OSStorage) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
