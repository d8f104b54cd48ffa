// Snapshots as the controller makes them and reads them back, both a bounded
// piece a step, so that neither keeps it from answering.
package controller

import (
	"coppercourse/internal/state"
)

// Every is how many entries the log grows at least before it is put together,
// unless they are large; and it must have grown to a good part of what it would
// be put together to, so that the file is not rewritten more often than it is worth.
const (
	Every     = 4096
	Far       = 50_000
	largeLog  = 4 << 20   // bytes of entries that are put together before there are Every
	writePart = 64 << 10  // about how many bytes of a snapshot one step writes
	readPart  = 256 << 10 // about how many bytes of a snapshot one step reads back
	// applyAtOnce is how many entries one step applies at most.
	applyAtOnce = 512
)

// compactionDue tells whether the log has grown enough to be put together.
func (h *Controller) compactionDue() bool {
	entries, bytes := h.applied-h.since, h.raft.Grown()
	every := h.options.Every
	if every == 0 {
		every = Every
	}
	if entries <= every && bytes <= largeLog {
		return false
	}
	return bytes >= h.shot/2 || entries >= Far
}

// writeSnapshotPart puts the log together, a little a step.
func (h *Controller) writeSnapshotPart() {
	if h.loader != nil {
		return
	}
	if !h.state.Shooting() {
		if !h.compactionDue() {
			return
		}
		h.since = h.applied
		h.state.Begin()
	}
	if parts := h.state.Shoot(writePart); parts != nil {
		h.shot = sizeOf(parts)
		h.raft.Compact(h.since, parts)
	}
}

func sizeOf(parts [][]byte) (bytes int) {
	for _, b := range parts {
		bytes += len(b)
	}
	return bytes
}

// beginLoad starts to read back the snapshot that the log begins with. Until it
// is done the state is the old one, nothing is applied, and this member does not
// stand for election.
func (h *Controller) beginLoad() {
	s := h.raft.State()
	h.loader, h.loaded = state.NewLoader(s.Parts), s.Index
	h.raft.Loading(true)
}

// loadPart reads on, and takes the state over once it is whole.
func (h *Controller) loadPart() {
	if h.loader == nil {
		return
	}
	whole, err := h.loader.Load(readPart)
	if err != nil {
		panic(err)
	}
	if whole == nil {
		return
	}
	h.state, h.applied, h.since, h.loader = whole, h.loaded, h.loaded, nil
	h.shot = sizeOf(h.raft.State().Parts)
	h.raft.Wind(whole.Tick)
	h.raft.Loading(false)
}

// replaced tells whether a leader has sent a snapshot in place of what this
// member had.
func (h *Controller) replaced() bool {
	return h.raft.State().Index > max(h.applied, h.loaded)
}

// lags tells whether the state lacks something that is committed.
func (h *Controller) lags() bool { return h.loader != nil || h.applied < h.raft.Commit() }
