// Package waltest is a file system in memory for tests of the log. It refuses
// operations as told, forgets what a failed sync covered, and loses power.
package waltest

import (
	"io/fs"
	"math/rand"
	"path/filepath"
	"slices"
	"sync"

	"coppercourse/internal/wal"
)

// Op is an operation that may be made to fail.
type Op string

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

// Fault is how an operation fails; Written is how much a write does before that.
type Fault struct {
	Err     error
	Written int
}

// Storage is the file system.
type Storage struct {
	// Fail is asked before each operation; nil lets it succeed. Set it with SetFail
	// once other goroutines use the storage.
	Fail func(op Op, path string) *Fault

	mu            sync.Mutex
	capacity      int // bytes that all files may hold; 0 is no bound
	rnd           *rand.Rand
	names         map[string]*file
	durable       map[string]*file // after a loss of power, but for what renames may do
	unsyncedNames []func()         // changes of names that a synced directory makes durable
	calls         map[Op]int
}

// file is its content, and what of it survives a loss of power.
type file struct {
	content []byte
	onDisk  []byte
	dirty   []change // not synced yet; a failed sync forgets them
}

// change is a write, or a truncation where bytes is nil.
type change struct {
	offset int
	bytes  []byte
}

// New makes an empty file system.
func New(seed int64) *Storage {
	return &Storage{rnd: rand.New(rand.NewSource(seed)), names: map[string]*file{}, durable: map[string]*file{}, calls: map[Op]int{}}
}

// SetFail changes what fails from now on.
func (s *Storage) SetFail(fail func(op Op, path string) *Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fail = fail
}

// SetCapacity bounds the bytes that all files may hold.
func (s *Storage) SetCapacity(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = bytes
}

// Count is how often an operation was tried.
func (s *Storage) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// FailWith makes the named operations fail with an error.
func FailWith(err error, ops ...Op) func(Op, string) *Fault {
	return func(op Op, _ string) *Fault {
		if slices.Contains(ops, op) {
			return &Fault{Err: err}
		}
		return nil
	}
}

// fault asks whether an operation fails.
func (s *Storage) fault(op Op, path string) *Fault {
	s.calls[op]++
	if s.Fail == nil {
		return nil
	}
	return s.Fail(op, path)
}

func (s *Storage) do(op Op, path string, act func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.fault(op, path); f != nil {
		return &fs.PathError{Op: string(op), Path: path, Err: f.Err}
	}
	act()
	return nil
}

// MakeDir succeeds; directories aren't kept.
func (s *Storage) MakeDir(dir string) error { return s.do(MakeDir, dir, func() {}) }

// ReadFile gives a file's content.
func (s *Storage) ReadFile(path string) (b []byte, err error) {
	err = s.do(Read, path, func() {
		if f := s.names[path]; f != nil {
			b = slices.Clone(f.content)
		}
	})
	if err == nil && b == nil {
		err = &fs.PathError{Op: "read", Path: path, Err: fs.ErrNotExist}
	}
	return b, err
}

// OpenFile opens or creates a file.
func (s *Storage) OpenFile(path string) (wal.Handle, error) {
	s.mu.Lock()
	f, op := s.names[path], Open
	s.mu.Unlock()
	if f == nil {
		f, op = &file{}, Create
	}
	err := s.do(op, path, func() {
		if op == Create {
			s.names[path] = f
			s.unsyncedNames = append(s.unsyncedNames, func() { s.durable[path] = f })
		}
	})
	return &handle{s, f, path}, err
}

// Rename gives a file another name.
func (s *Storage) Rename(from, to string) error {
	return s.do(Rename, from, func() {
		f := s.names[from]
		delete(s.names, from)
		s.names[to] = f
		s.unsyncedNames = append(s.unsyncedNames, func() {
			delete(s.durable, from)
			s.durable[to] = f
		})
	})
}

// Remove removes a file, if it is there.
func (s *Storage) Remove(path string) error {
	return s.do(Remove, path, func() {
		delete(s.names, path)
		s.unsyncedNames = append(s.unsyncedNames, func() { delete(s.durable, path) })
	})
}

// SyncDir makes names durable.
func (s *Storage) SyncDir(dir string) error {
	return s.do(SyncDir, dir, func() {
		for _, apply := range s.unsyncedNames {
			apply()
		}
		s.unsyncedNames = nil
	})
}

// Content is what a file of a directory holds now.
func (s *Storage) Content(dir, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.names[filepath.Join(dir, name)]; f != nil {
		return slices.Clone(f.content)
	}
	return nil
}

// LosePower gives the file system as it is found afterwards: each change of a
// name and each write since the last sync that covered it is kept, lost or torn
// by itself.
func (s *Storage) LosePower() *Storage {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := New(s.rnd.Int63())
	for _, apply := range s.unsyncedNames {
		if s.rnd.Intn(2) == 0 {
			apply()
		}
	}
	for path, f := range s.durable {
		for _, c := range f.dirty {
			f.onDisk = apply(f.onDisk, c.partial(s.rnd))
		}
		kept := &file{content: slices.Clone(f.onDisk), onDisk: slices.Clone(f.onDisk)}
		after.names[path], after.durable[path] = kept, kept
	}
	return after
}

// partial gives a change, a part of it, or one that does nothing.
func (c change) partial(rnd *rand.Rand) change {
	switch {
	case rnd.Intn(3) == 0:
		return change{bytes: []byte{}}
	case rnd.Intn(2) == 0 && len(c.bytes) > 0:
		return change{c.offset, c.bytes[:rnd.Intn(len(c.bytes)+1)]}
	}
	return c
}

// apply carries out one change.
func apply(content []byte, c change) []byte {
	end := c.offset + len(c.bytes)
	if c.bytes != nil && len(c.bytes) == 0 {
		return content
	}
	if end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	if c.bytes == nil {
		return content[:c.offset]
	}
	copy(content[c.offset:], c.bytes)
	return content
}

// used is how many bytes all files hold.
func (s *Storage) used() (bytes int) {
	for _, f := range s.names {
		bytes += len(f.content)
	}
	return bytes
}
