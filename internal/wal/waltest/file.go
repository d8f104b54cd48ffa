package waltest

import (
	"io/fs"
	"math/rand"
	"slices"
	"syscall"
)

// file is the content of a file, and what of it survives a loss of power.
type file struct {
	content  []byte
	onDisk   []byte
	unsynced []change // a failed sync forgets them
}

// write changes the content; a sync makes it durable.
func (f *file) write(c change) {
	f.content = apply(f.content, c)
	f.unsynced = append(f.unsynced, c)
}

// change is a write, or a truncation if bytes is nil.
type change struct {
	offset int
	bytes  []byte
}

// partial returns a change, a part of it, or one that does nothing.
func (c change) randomPart(rnd *rand.Rand) change {
	switch {
	case rnd.Intn(3) == 0:
		return change{bytes: []byte{}}
	case rnd.Intn(2) == 0 && len(c.bytes) > 0:
		return change{c.offset, c.bytes[:rnd.Intn(len(c.bytes)+1)]}
	default:
		return c
	}
}

// apply returns content with a change carried out.
func apply(content []byte, c change) []byte {
	if c.bytes != nil && len(c.bytes) == 0 {
		return content
	}
	end := c.offset + len(c.bytes)
	if end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	if c.bytes == nil {
		return content[:c.offset]
	}
	copy(content[c.offset:], c.bytes)
	return content
}

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
	if fault := h.storage.fault(Write, h.path); fault != nil {
		n, err = min(n, fault.Written), fault.Err
	}
	if h.storage.capacity > 0 {
		room := h.storage.capacity - h.storage.used() + len(h.file.content) - int(offset)
		if n > room {
			n, err = max(room, 0), syscall.ENOSPC
		}
	}
	if n > 0 {
		h.file.write(change{int(offset), slices.Clone(b[:n])})
	}
	if err != nil {
		err = &fs.PathError{Op: "write", Path: h.path, Err: err}
	}
	return n, err
}

// Truncate sets the length of the file.
func (h *handle) Truncate(size int64) error {
	return h.storage.perform(Truncate, h.path, func() { h.file.write(change{offset: int(size)}) })
}

// Sync makes all writes durable. If it fails, each of them may be on disk or not, and a
// later sync does not cover them: the cache holds them as if they were written.
func (h *handle) Sync() error {
	h.storage.mu.Lock()
	defer h.storage.mu.Unlock()
	fault := h.storage.fault(Sync, h.path)
	for _, c := range h.file.unsynced {
		if fault != nil {
			c = c.randomPart(h.storage.rnd)
		}
		h.file.onDisk = apply(h.file.onDisk, c)
	}
	h.file.unsynced = nil
	if fault != nil {
		return &fs.PathError{Op: "sync", Path: h.path, Err: fault.Err}
	}
	h.storage.makeNameDurable(h.file)
	return nil
}

// Close succeeds.
func (h *handle) Close() error { return nil }
