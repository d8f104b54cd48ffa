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
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = time.Second
)

// retryPause gives the pause after a number of failures in a row.
func retryPause(failures int) time.Duration {
	pause := firstRetryPause
	for i := 1; i < failures && pause < maxRetryPause; i++ {
		pause *= 2
	}
	return min(pause, maxRetryPause)
}

// Batch is one group of records to sync as number Seq. Whole puts it in place of
// the file; Instead, if set, says the same when appended to the file as it was.
type Batch struct {
	Records [][]byte
	Seq     uint64
	Whole   bool
	Instead [][]byte
}

// Log is the file as the writer sees it.
type Log interface {
	Append([][]byte) error
	Rewrite([][]byte) error
	Seal() error
	Close() error
}

// Disk is the one writer of the file. All batches that wait are synced as one.
type Disk struct {
	log    Log
	synced func(uint64) // told the number of the last batch that is on disk
	failed func(error)  // told of the first of several failures in a row
	logger logr.Logger

	told bool // the machine knows that the disk refuses

	mu     sync.Mutex
	queue  []Batch
	queued chan struct{}
}

// NewDisk makes a writer; synced and failed are called from its goroutine.
func NewDisk(log Log, synced func(uint64), failed func(error)) *Disk {
	return &Disk{log: log, synced: synced, failed: failed, logger: logr.Discard(), queued: make(chan struct{}, 1)}
}

// Write queues a batch and returns at once. A batch that replaces the file makes
// those before it obsolete, so what waits for a full disk stays bounded.
func (d *Disk) Write(b Batch) {
	d.mu.Lock()
	if b.Whole {
		d.queue, b.Instead = supersede(d.queue, b.Instead)
	}
	d.queue = append(d.queue, b)
	d.mu.Unlock()
	select {
	case d.queued <- struct{}{}:
	default:
	}
}

// supersede makes way for a batch that replaces the file. Without an alternative
// to that, nothing before it is needed; with one, all before it is needed where
// it has to be used, except that an older replacement is written as its own
// alternative. One that had none leaves none to what follows.
func supersede(queue []Batch, instead [][]byte) ([]Batch, [][]byte) {
	for _, b := range queue {
		if b.Whole && b.Instead == nil {
			instead = nil
		}
	}
	if instead == nil {
		return nil, nil
	}
	var kept []Batch
	for _, b := range queue {
		if b.Whole {
			b = Batch{Records: b.Instead, Seq: b.Seq}
		}
		kept = append(kept, b)
	}
	return kept, instead
}

// waiting gives all batches that are queued.
func (d *Disk) waiting() []Batch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue[:len(d.queue):len(d.queue)]
}

// drop forgets the batches up to a number, which are on disk.
func (d *Disk) drop(seq uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.queue) > 0 && d.queue[0].Seq <= seq {
		d.queue = d.queue[1:]
	}
	if len(d.queue) == 0 {
		d.queue = nil
	}
}

// Run writes until its context ends. It never ends for its disk.
func (d *Disk) Run(ctx context.Context) error {
	timer := time.NewTimer(wal.Rest)
	defer timer.Stop()
	failures := 0
	for {
		var err error
		select {
		case <-ctx.Done():
			if err := d.log.Close(); err != nil {
				d.logger.Error(err, "the log could not be sealed at the end")
			}
			return nil
		case <-timer.C:
			err = d.flush()
		case <-d.queued:
			if failures > 0 {
				continue // until the pause is over
			}
			err = d.flush()
		}
		if err == nil {
			d.recovered(failures)
			failures = 0
			timer.Reset(wal.Rest)
			continue
		}
		failures++
		d.refused(failures, err)
		timer.Reset(retryPause(failures))
	}
}

// refused tells of a failure: the machine once as soon as something waits, the
// operator of the first and of each later one whose pause has grown.
func (d *Disk) refused(failures int, err error) {
	if !d.told && len(d.waiting()) > 0 {
		d.told = true
		d.failed(err)
	}
	if failures == 1 || retryPause(failures) > retryPause(failures-1) {
		d.logger.Error(err, "the disk refuses; trying again", "failures", failures, "pause", retryPause(failures).String())
	}
}

func (d *Disk) recovered(failures int) {
	d.told = false
	if failures > 0 {
		d.logger.Info("the disk takes writes again", "failures", failures)
	}
}

// flush writes what waits, or seals the file when nothing does.
func (d *Disk) flush() error {
	group := d.waiting()
	if len(group) == 0 {
		return d.log.Seal()
	}
	if err := d.write(group); err != nil {
		return err
	}
	d.settle(group[len(group)-1].Seq)
	return nil
}

// settle forgets what is on disk and tells the machine of it.
func (d *Disk) settle(seq uint64) {
	d.drop(seq)
	d.synced(seq)
}

// write syncs a group: first the batch that replaces the file, if there is one,
// then what follows it. Where there is no room for a second file beside the old
// one, the group is appended.
func (d *Disk) write(group []Batch) error {
	for i, b := range group {
		if !b.Whole {
			continue
		}
		err := d.log.Rewrite(b.Records)
		switch {
		case err == nil:
			d.settle(b.Seq) // it need not be rewritten if what follows fails
			group = group[i+1:]
		case b.Instead == nil || !wal.NoSpace(err):
			return err
		default:
			d.logger.Info("no room to rewrite the log; it grows on", "error", err.Error())
		}
		break
	}
	return d.append(group)
}

func (d *Disk) append(group []Batch) error {
	var list [][]byte
	for _, b := range group {
		if b.Whole {
			list = append(list, b.Instead...)
		} else {
			list = append(list, b.Records...)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return d.log.Append(list)
}

// synced tells the machine what is on disk.
func (o *Owner) synced(seq uint64) { o.tell(wire.Event{Synced: seq}) }

// diskFailed tells the machine that the disk refuses.
func (o *Owner) diskFailed(err error) { o.tell(wire.Event{Disk: err}) }

func (o *Owner) tell(e wire.Event) { o.inbox.force(event{Event: e}) }
