package waltest

import (
	"io/fs"
	"slices"
	"syscall"
)

// handle is an open file.
type handle struct {
	storage *Storage
	file    *file
	path    string
}

// WriteAt writes as much as a fault and the capacity let it.
func (h *handle) WriteAt(b []byte, offset int64) (int, error) {
	h.storage.mu.Lock()
	defer h.storage.mu.Unlock()
	n, err := len(b), error(nil)
	if f := h.storage.fault(Write, h.path); f != nil {
		n, err = min(n, f.Written), f.Err
	}
	if room := h.storage.capacity - h.storage.used() + len(h.file.content) - int(offset); h.storage.capacity > 0 && n > room {
		n, err = max(room, 0), syscall.ENOSPC
	}
	if n > 0 {
		c := change{int(offset), slices.Clone(b[:n])}
		h.file.content = apply(h.file.content, c)
		h.file.dirty = append(h.file.dirty, c)
	}
	if err != nil {
		err = &fs.PathError{Op: "write", Path: h.path, Err: err}
	}
	return n, err
}

// Truncate sets the length.
func (h *handle) Truncate(size int64) error {
	return h.storage.do(Truncate, h.path, func() {
		c := change{offset: int(size)}
		h.file.content = apply(h.file.content, c)
		h.file.dirty = append(h.file.dirty, c)
	})
}

// Sync makes all writes durable. When it fails, each of them may have got there,
// and a later sync doesn't cover them: the cache holds them as written.
func (h *handle) Sync() error {
	h.storage.mu.Lock()
	defer h.storage.mu.Unlock()
	fault := h.storage.fault(Sync, h.path)
	for _, c := range h.file.dirty {
		if fault != nil {
			c = c.partial(h.storage.rnd)
		}
		h.file.onDisk = apply(h.file.onDisk, c)
	}
	h.file.dirty = nil
	if fault != nil {
		return &fs.PathError{Op: "sync", Path: h.path, Err: fault.Err}
	}
	h.storage.keepName(h.file)
	return nil
}

// keepName makes the name of a new file durable, which its own sync does.
func (s *Storage) keepName(f *file) {
	for _, kept := range s.durable {
		if kept == f {
			return
		}
	}
	for path, named := range s.names {
		if named == f {
			s.durable[path] = f
		}
	}
}

func (h *handle) Close() error { return nil }
