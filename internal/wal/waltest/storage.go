// Package waltest is a file system in memory for tests of the log. It fails operations on
// request, forgets what a failed sync covered, and loses power.
package waltest

import (
	"io/fs"
	"math/rand"
	"path/filepath"
	"slices"
	"sync"

	"coppercourse/internal/wal"
)

// Op is an operation that can be made to fail.
type Op string

// The operations of a Storage. OpenFile is an Open or a Create.
const (
	MakeDir  Op = "make directory"
	Read     Op = "read"
	Open     Op = "open"
	Create   Op = "create"
	Write    Op = "write"
	Truncate Op = "truncate"
	Sync     Op = "sync"
	Rename   Op = "rename"
	Remove   Op = "remove"
	SyncDir  Op = "sync directory"
)

// Fault is how an operation fails.
type Fault struct {
	Err     error
	Written int // how many bytes a write writes before it fails
}

// FaultFunc decides whether an operation on a file fails; nil lets it succeed.
type FaultFunc = func(op Op, path string) *Fault

// FailWith returns a FaultFunc that fails the given operations with an error.
func FailWith(err error, ops ...Op) FaultFunc {
	return func(op Op, _ string) *Fault {
		if slices.Contains(ops, op) {
			return &Fault{Err: err}
		}
		return nil
	}
}

// Storage is a file system in memory. It is safe for use by several goroutines.
type Storage struct {
	// Fail is asked before each operation, if it is not nil. Once other goroutines use the
	// storage it is set with SetFail.
	Fail FaultFunc

	mu                  sync.Mutex
	capacity            int // bytes that all files together may hold; 0 is no bound
	rnd                 *rand.Rand
	names               map[string]*file
	durableNames        map[string]*file // what a loss of power leaves of names
	unsyncedNameChanges []func()         // changes of durable that a sync of the directory makes
	calls               map[Op]int
}

// New returns an empty file system. The seed decides what a failed sync and a loss of power
// leave.
func New(seed int64) *Storage {
	return &Storage{
		rnd:          rand.New(rand.NewSource(seed)),
		names:        map[string]*file{},
		durableNames: map[string]*file{},
		calls:        map[Op]int{},
	}
}

// SetFail sets what fails from now on.
func (s *Storage) SetFail(fail FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fail = fail
}

// SetCapacity bounds the bytes that all files together may hold.
func (s *Storage) SetCapacity(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = bytes
}

// Count returns how often an operation was tried.
func (s *Storage) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// fault counts an operation and returns how it fails, if it does.
func (s *Storage) fault(op Op, path string) *Fault {
	s.calls[op]++
	if s.Fail == nil {
		return nil
	}
	return s.Fail(op, path)
}

// do carries out an operation unless it fails.
func (s *Storage) perform(op Op, path string, act func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault := s.fault(op, path); fault != nil {
		return &fs.PathError{Op: string(op), Path: path, Err: fault.Err}
	}
	act()
	return nil
}

// MakeDir succeeds unless it is made to fail. Directories are not kept.
func (s *Storage) MakeDir(dir string) error { return s.perform(MakeDir, dir, func() {}) }

// ReadFile returns the content of a file.
func (s *Storage) ReadFile(path string) ([]byte, error) {
	var content []byte
	err := s.perform(Read, path, func() {
		if f := s.names[path]; f != nil {
			content = slices.Clone(f.content)
		}
	})
	if err == nil && content == nil {
		err = &fs.PathError{Op: "read", Path: path, Err: fs.ErrNotExist}
	}
	return content, err
}

// OpenFile opens a file, or creates one.
func (s *Storage) OpenFile(path string) (wal.Handle, error) {
	s.mu.Lock()
	f, op := s.names[path], Open
	s.mu.Unlock()
	if f == nil {
		f, op = &file{}, Create
	}
	err := s.perform(op, path, func() {
		if op == Create {
			s.names[path] = f
			s.unsyncedNameChanges = append(s.unsyncedNameChanges, func() { s.durableNames[path] = f })
		}
	})
	return &handle{s, f, path}, err
}

// Rename gives a file another name.
func (s *Storage) Rename(from, to string) error {
	return s.perform(Rename, from, func() {
		f := s.names[from]
		delete(s.names, from)
		s.names[to] = f
		s.unsyncedNameChanges = append(s.unsyncedNameChanges, func() {
			delete(s.durableNames, from)
			s.durableNames[to] = f
		})
	})
}

// Remove removes a file, if there is one.
func (s *Storage) Remove(path string) error {
	return s.perform(Remove, path, func() {
		delete(s.names, path)
		s.unsyncedNameChanges = append(s.unsyncedNameChanges, func() { delete(s.durableNames, path) })
	})
}

// SyncDir makes all names durable.
func (s *Storage) SyncDir(dir string) error {
	return s.perform(SyncDir, dir, func() {
		for _, change := range s.unsyncedNameChanges {
			change()
		}
		s.unsyncedNameChanges = nil
	})
}

// makeNameDurable makes the name of a new file durable, as the file's own sync does.
func (s *Storage) makeNameDurable(f *file) {
	for _, kept := range s.durableNames {
		if kept == f {
			return
		}
	}
	for path, named := range s.names {
		if named == f {
			s.durableNames[path] = f
		}
	}
}

// Content returns what a file of a directory holds now.
func (s *Storage) Content(dir, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.names[filepath.Join(dir, name)]; f != nil {
		return slices.Clone(f.content)
	}
	return nil
}

// used returns how many bytes all files together hold.
func (s *Storage) used() (bytes int) {
	for _, f := range s.names {
		bytes += len(f.content)
	}
	return bytes
}

// LosePower returns the file system as it is found after a loss of power. Of each change of
// a name, and of each write since the last sync that covered it, all, nothing or a part is
// kept, whatever becomes of the others.
func (s *Storage) LosePower() *Storage {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := New(s.rnd.Int63())
	for _, change := range s.unsyncedNameChanges {
		if s.rnd.Intn(2) == 0 {
			change()
		}
	}
	for path, f := range s.durableNames {
		for _, c := range f.unsynced {
			f.onDisk = apply(f.onDisk, c.randomPart(s.rnd))
		}
		kept := &file{content: slices.Clone(f.onDisk), onDisk: slices.Clone(f.onDisk)}
		after.names[path], after.durableNames[path] = kept, kept
	}
	return after
}
