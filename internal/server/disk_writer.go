package server

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/wal"
)

// recordLog is the log file as the disk writer uses it; wal.File is one.
type recordLog interface {
	Append([][]byte) error
	Rewrite([][]byte) error
	Seal() error
	Close() error
}

// diskListener is notified by the disk writer's goroutine.
type diskListener interface {
	// batchSynced is called when all batches up to a number are on disk.
	batchSynced(number uint64)
	// diskFailed is called when a batch could not be written, but only for the first of
	// several failures in a row.
	diskFailed(err error)
}

// diskWriter writes and syncs the machine's batches. A failing disk does not end it: a
// batch that could not be written stays queued and is retried with exponential backoff. So
// no batch is reported as synced that is not, and none is skipped.
//
// The event loop's goroutine queues the batches. The goroutine of run owns the log.
type diskWriter struct {
	log      recordLog
	listener diskListener
	logger   logr.Logger
	queue    batchQueue
	wake     chan struct{} // has an element once a batch was queued

	// Owned by the goroutine of run.
	backoff         diskBackoff
	failureReported bool // the listener was notified of the current failures
}

func newDiskWriter(log recordLog, listener diskListener, logger logr.Logger) *diskWriter {
	return &diskWriter{log: log, listener: listener, logger: logger, wake: make(chan struct{}, 1)}
}

// enqueue queues a batch and returns at once.
func (w *diskWriter) enqueue(batch recordBatch) {
	w.queue.push(batch)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes batches until ctx ends, all that are queued with one sync. An idle log is sealed
// when the timer fires; after a failure the timer starts the next attempt.
func (w *diskWriter) run(ctx context.Context) error {
	timer := time.NewTimer(wal.SealAfterIdle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := w.log.Close(); err != nil {
				w.logger.Error(err, "cannot seal the write-ahead log at shutdown")
			}
			return nil
		case <-timer.C:
		case <-w.wake:
			if w.backoff.failures > 0 {
				continue // the next attempt is due when the timer fires
			}
		}
		if err := w.flush(); err != nil {
			w.recordFailure(err)
			timer.Reset(w.backoff.delay())
		} else {
			w.recordSuccess()
			timer.Reset(wal.SealAfterIdle)
		}
	}
}

// failed counts a failure and reports it: to the listener once, as soon as a batch is queued,
// and in the log whenever the delay has grown.
func (w *diskWriter) recordFailure(err error) {
	w.backoff.failures++
	if !w.failureReported && len(w.queue.pending()) > 0 {
		w.failureReported = true
		w.listener.diskFailed(err)
	}
	if w.backoff.shouldLog() {
		w.logger.Error(err, "disk write failed, retrying",
			"failures", w.backoff.failures, "retry_in", w.backoff.delay().String())
	}
}

// succeeded ends a row of failures, if there was one.
func (w *diskWriter) recordSuccess() {
	if w.backoff.failures > 0 {
		w.logger.Info("disk writes succeed again", "failures", w.backoff.failures)
	}
	w.backoff = diskBackoff{}
	w.failureReported = false
}

// flush writes the queued batches, or seals the log if there are none.
func (w *diskWriter) flush() error {
	batches := w.queue.pending()
	if len(batches) == 0 {
		return w.log.Seal()
	}
	if err := w.write(batches); err != nil {
		return err
	}
	w.acknowledge(batches[len(batches)-1].number)
	return nil
}

// acknowledge removes the batches up to a number, which are on disk, and reports them.
func (w *diskWriter) acknowledge(number uint64) {
	w.queue.discardThrough(number)
	w.listener.batchSynced(number)
}

// write syncs batches. The queue holds at most one that replaces the log; once that has
// succeeded, those before it are obsolete. Where there is no room for a second file beside
// the old one, all are appended.
func (w *diskWriter) write(batches []recordBatch) error {
	i := slices.IndexFunc(batches, func(batch recordBatch) bool { return batch.replaceLog })
	if i >= 0 {
		replaced, err := w.replaceLog(batches[i])
		if err != nil {
			return err
		}
		if replaced {
			batches = batches[i+1:]
		}
	}
	return w.append(batches)
}

// replaceLog replaces the log, and returns false if it has no room and the batch can be
// appended instead.
func (w *diskWriter) replaceLog(batch recordBatch) (bool, error) {
	err := w.log.Rewrite(batch.records)
	if err == nil {
		w.acknowledge(batch.number) // it need not be written again if what follows fails
		return true, nil
	}
	if batch.fallbackRecords == nil || !wal.IsNoSpace(err) {
		return false, err
	}
	w.logger.Info("no disk space to compact the write-ahead log, appending instead", "error", err.Error())
	return false, nil
}

// append syncs batches at the end of the log, replacements as their fallbacks.
func (w *diskWriter) append(batches []recordBatch) error {
	var records [][]byte
	for _, batch := range batches {
		if batch.replaceLog {
			records = append(records, batch.fallbackRecords...)
		} else {
			records = append(records, batch.records...)
		}
	}
	if len(records) == 0 {
		return nil
	}
	return w.log.Append(records)
}
