// The disk writer: one goroutine that writes and syncs what the machine gives
// it, and that outlives a disk in trouble. What could not be written is kept and
// tried again with a growing pause until it succeeds, so that nothing is told as
// synced that isn't, and nothing is skipped.
package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
)

// Pauses between two attempts to write on a disk that refuses.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// retryDelay gives the pause after a number of failures in a row.
func retryDelay(failures int) time.Duration {
	pause := minRetryDelay
	for i := 1; i < failures && pause < maxRetryDelay; i++ {
		pause *= 2
	}
	return min(pause, maxRetryDelay)
}

// Batch is one group of records to sync as number Seq. Whole puts it in place of
// the file; Instead, if set, says the same when appended to the file as it was.
type Batch struct {
	Records         [][]byte
	Number          uint64
	ReplaceLog      bool
	FallbackRecords [][]byte
}

// Log is the file as the writer sees it.
type Log interface {
	Append([][]byte) error
	Rewrite([][]byte) error
	Seal() error
	Close() error
}

// DiskWriter is the one writer of the file. All batches that wait are synced as one.
type DiskWriter struct {
	log      Log
	onSynced func(uint64) // told the number of the last batch that is on disk
	onError  func(error)  // told of the first of several failures in a row
	logger   logr.Logger

	errorReported bool // the machine knows that the disk refuses

	mu      sync.Mutex
	pending []Batch
	wake    chan struct{}
}

// NewDiskWriter makes a writer; synced and failed are called from its goroutine.
func NewDiskWriter(log Log, synced func(uint64), failed func(error)) *DiskWriter {
	return &DiskWriter{log: log, onSynced: synced, onError: failed, logger: logr.Discard(), wake: make(chan struct{}, 1)}
}

// Enqueue queues a batch and returns at once. A batch that replaces the file makes
// those before it obsolete, so what waits for a full disk stays bounded.
func (d *DiskWriter) Enqueue(b Batch) {
	d.mu.Lock()
	if b.ReplaceLog {
		d.pending, b.FallbackRecords = supersede(d.pending, b.FallbackRecords)
	}
	d.pending = append(d.pending, b)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// supersede makes way for a batch that replaces the file. Without an alternative
// to that, nothing before it is needed; with one, all before it is needed where
// it has to be used, except that an older replacement is written as its own
// alternative. One that had none leaves none to what follows.
func supersede(queue []Batch, fallback [][]byte) ([]Batch, [][]byte) {
	for _, b := range queue {
		if b.ReplaceLog && b.FallbackRecords == nil {
			fallback = nil
		}
	}
	if fallback == nil {
		return nil, nil
	}
	var kept []Batch
	for _, b := range queue {
		if b.ReplaceLog {
			b = Batch{Records: b.FallbackRecords, Number: b.Number}
		}
		kept = append(kept, b)
	}
	return kept, fallback
}

// pendingBatches gives all batches that are queued.
func (d *DiskWriter) pendingBatches() []Batch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending[:len(d.pending):len(d.pending)]
}

// discardThrough forgets the batches up to a number, which are on disk.
func (d *DiskWriter) discardThrough(seq uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.pending) > 0 && d.pending[0].Number <= seq {
		d.pending = d.pending[1:]
	}
	if len(d.pending) == 0 {
		d.pending = nil
	}
}

// Run writes until its context ends. It never ends for its disk.
func (d *DiskWriter) Run(ctx context.Context) error {
	timer := time.NewTimer(wal.SealAfterIdle)
	defer timer.Stop()
	failures := 0
	for {
		var err error
		select {
		case <-ctx.Done():
			if err := d.log.Close(); err != nil {
				d.logger.Error(err, "cannot seal the write-ahead log at shutdown")
			}
			return nil
		case <-timer.C:
			err = d.flush()
		case <-d.wake:
			if failures > 0 {
				continue // until the pause is over
			}
			err = d.flush()
		}
		if err == nil {
			d.reportRecovery(failures)
			failures = 0
			timer.Reset(wal.SealAfterIdle)
			continue
		}
		failures++
		d.reportFailure(failures, err)
		timer.Reset(retryDelay(failures))
	}
}

// reportFailure tells of a failure: the machine once as soon as something waits, the
// operator of the first and of each later one whose pause has grown.
func (d *DiskWriter) reportFailure(failures int, err error) {
	if !d.errorReported && len(d.pendingBatches()) > 0 {
		d.errorReported = true
		d.onError(err)
	}
	if failures == 1 || retryDelay(failures) > retryDelay(failures-1) {
		d.logger.Error(err, "disk write failed, retrying", "failures", failures, "retry_in", retryDelay(failures).String())
	}
}

func (d *DiskWriter) reportRecovery(failures int) {
	d.errorReported = false
	if failures > 0 {
		d.logger.Info("disk writes succeed again", "failures", failures)
	}
}

// flush writes what waits, or seals the file when nothing does.
func (d *DiskWriter) flush() error {
	group := d.pendingBatches()
	if len(group) == 0 {
		return d.log.Seal()
	}
	if err := d.write(group); err != nil {
		return err
	}
	d.acknowledge(group[len(group)-1].Number)
	return nil
}

// acknowledge forgets what is on disk and tells the machine of it.
func (d *DiskWriter) acknowledge(seq uint64) {
	d.discardThrough(seq)
	d.onSynced(seq)
}

// write syncs a group: first the batch that replaces the file, if there is one,
// then what follows it. Where there is no room for a second file beside the old
// one, the group is appended.
func (d *DiskWriter) write(group []Batch) error {
	for i, b := range group {
		if !b.ReplaceLog {
			continue
		}
		err := d.log.Rewrite(b.Records)
		switch {
		case err == nil:
			d.acknowledge(b.Number) // it need not be rewritten if what follows fails
			group = group[i+1:]
		case b.FallbackRecords == nil || !wal.IsNoSpace(err):
			return err
		default:
			d.logger.Info("no disk space to compact the write-ahead log, appending instead", "error", err.Error())
		}
		break
	}
	return d.append(group)
}

func (d *DiskWriter) append(group []Batch) error {
	var list [][]byte
	for _, b := range group {
		if b.ReplaceLog {
			list = append(list, b.FallbackRecords...)
		} else {
			list = append(list, b.Records...)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return d.log.Append(list)
}

// onSynced tells the machine what is on disk.
func (el *EventLoop) onSynced(seq uint64) { el.enqueue(wire.Event{Synced: seq}) }

// onDiskError tells the machine that the disk refuses.
func (el *EventLoop) onDiskError(err error) { el.enqueue(wire.Event{DiskError: err}) }

func (el *EventLoop) enqueue(e wire.Event) { el.queue.force(queuedEvent{Event: e}) }
