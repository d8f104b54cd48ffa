package waltest

import (
	"io/fs"
	"slices"
	"syscall"
)

// handle is an open file.
type handle struct {
	s    *Storage
	f    *file
	path string
}

// WriteAt writes as much as a fault and the capacity let it.
func (h *handle) WriteAt(b []byte, offset int64) (int, error) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	n, err := len(b), error(nil)
	if f := h.s.fault(Write, h.path); f != nil {
		n, err = min(n, f.Written), f.Err
	}
	if room := h.s.capacity - h.s.used() + len(h.f.content) - int(offset); h.s.capacity > 0 && n > room {
		n, err = max(room, 0), syscall.ENOSPC
	}
	if n > 0 {
		c := change{int(offset), slices.Clone(b[:n])}
		h.f.content = apply(h.f.content, c)
		h.f.dirty = append(h.f.dirty, c)
	}
	if err != nil {
		err = &fs.PathError{Op: "write", Path: h.path, Err: err}
	}
	return n, err
}

// Truncate sets the length.
func (h *handle) Truncate(size int64) error {
	return h.s.do(Truncate, h.path, func() {
		c := change{offset: int(size)}
		h.f.content = apply(h.f.content, c)
		h.f.dirty = append(h.f.dirty, c)
	})
}

// Sync makes all writes durable. When it fails, each of them may have got there,
// and a later sync doesn't cover them: the cache holds them as written.
func (h *handle) Sync() error {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	fault := h.s.fault(Sync, h.path)
	for _, c := range h.f.dirty {
		if fault != nil {
			c = c.maybe(h.s.rnd)
		}
		h.f.disk = apply(h.f.disk, c)
	}
	h.f.dirty = nil
	if fault != nil {
		return &fs.PathError{Op: "sync", Path: h.path, Err: fault.Err}
	}
	h.s.keepName(h.f)
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
