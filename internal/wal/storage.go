package wal

import "os"

// Storage is the part of a file system that the log is kept on. Tests put a
// faulty one in its place.
type Storage interface {
	MakeDir(dir string) error
	ReadFile(path string) ([]byte, error)
	// OpenFile opens a file for reading and writing and creates it if it is missing.
	OpenFile(path string) (Handle, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
}

// Handle is an open file.
type Handle interface {
	WriteAt(b []byte, offset int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// OSStorage is the operating system's file system.
type OSStorage struct{}

func (OSStorage) MakeDir(dir string) error             { return os.MkdirAll(dir, 0o700) }
func (OSStorage) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }
func (OSStorage) Rename(from, to string) error         { return os.Rename(from, to) }
func (OSStorage) Remove(path string) error             { return os.Remove(path) }

func (OSStorage) OpenFile(path string) (Handle, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
}

func (OSStorage) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
