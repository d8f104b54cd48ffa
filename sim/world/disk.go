package world

import (
	"time"

	"coppercourse/internal/wal"
)

const (
	minSyncTime = time.Millisecond
	syncSpread  = 3 * time.Millisecond
	// diskFullRetryDelay is how long a daemon waits after a refused write before it tries
	// again.
	diskFullRetryDelay = 100 * time.Millisecond
)

// sealRecord is the small record that closes what was synced before it.
var sealRecord = []byte("{}")

// Disk holds a controller's log file. It syncs one group of writes after another.
type Disk struct {
	ExtraLatency   time.Duration // of each sync
	Full           bool          // it refuses writes
	StalledUntil   int64         // true time until which nothing is synced
	FalseSync      bool          // a planted bug: reports syncs that never happen
	RevertsRewrite bool          // a planted bug: a loss of power brings the replaced file back
	Wiped          bool          // at least once

	world        *World
	usage        *Usage
	synced       []byte // what would be read after a crash
	replacedFile []byte // what the last rewrite replaced, for RevertsRewrite
	unsynced     []byte // what is being synced; a crash keeps some of it
	queue        []diskWrite
	busy         bool
	sealed       bool
	powerLosses  int // counts them: a write from before one never finishes
}

// diskWrite is records to append, or to replace the file with.
type diskWrite struct {
	records  [][]byte
	batch    uint64
	rewrite  bool
	onSynced func(batch uint64)
}

// HasWrites reports whether writes wait.
func (d *Disk) HasWrites() bool { return len(d.queue) > 0 }

// read returns the records of the file, and cuts off what is torn at its end. A damaged
// file reads as an empty one.
func (d *Disk) read() [][]byte {
	records, intact, err := wal.Scan(d.synced)
	if err != nil {
		records, intact = nil, 0
	}
	d.synced = d.synced[:intact]
	return records
}

func (d *Disk) enqueue(write diskWrite) {
	d.queue = append(d.queue, write)
	if !d.busy {
		d.syncNext()
	}
}

// afterUnlessPowerLost runs something after a time, unless the power is lost before.
func (d *Disk) afterUnlessPowerLost(delay time.Duration, run func()) {
	powerLosses := d.powerLosses
	d.world.After(delay, func() {
		if powerLosses == d.powerLosses {
			run()
		}
	})
}

// syncNext begins to sync what waits, if anything does.
func (d *Disk) syncNext() {
	d.busy = len(d.queue) > 0
	if !d.busy {
		return
	}
	if d.Full {
		d.afterUnlessPowerLost(diskFullRetryDelay, d.syncNext)
		return
	}
	group := d.takeGroup()
	data := d.encode(group)
	d.usage.Syncs++
	d.usage.Written += len(data)
	if !group[0].rewrite {
		d.unsynced = data
	}
	d.afterUnlessPowerLost(d.syncTime(), func() { d.finish(group, data) })
}

// takeGroup takes the writes that are synced together: appends up to the next rewrite, or
// one rewrite.
func (d *Disk) takeGroup() []diskWrite {
	n := 1
	for !d.queue[0].rewrite && n < len(d.queue) && !d.queue[n].rewrite {
		n++
	}
	group := d.queue[:n]
	d.queue = d.queue[n:]
	return group
}

func (d *Disk) encode(group []diskWrite) []byte {
	var data []byte
	for _, write := range group {
		position := int64(len(d.synced))
		if write.rewrite {
			position = wal.SyncedByRename
		}
		for _, record := range write.records {
			data = wal.AppendRecord(data, record, position)
		}
	}
	return data
}

// syncTime draws how long the next sync takes.
func (d *Disk) syncTime() time.Duration {
	took := minSyncTime + d.ExtraLatency + randomBelow(d.world.Random, syncSpread)
	if d.StalledUntil > d.world.now {
		took += time.Duration(d.StalledUntil - d.world.now)
	}
	return took
}

// finish reports a group as synced, and goes on to the next.
func (d *Disk) finish(group []diskWrite, data []byte) {
	last := group[len(group)-1]
	if d.FalseSync {
		last.onSynced(last.batch)
		d.syncNext()
		return
	}
	if last.rewrite {
		d.replacedFile = d.synced
		d.synced = wal.AppendRecord(data, sealRecord, wal.SyncedByRename)
	} else {
		d.synced = append(d.synced, data...)
	}
	d.unsynced = nil
	last.onSynced(last.batch)
	d.sealed = last.rewrite
	d.syncNext()
	d.afterUnlessPowerLost(wal.SealAfterIdle, d.seal)
}

// seal closes what was synced with a record of its own, if the disk rests.
func (d *Disk) seal() {
	if d.busy || d.sealed {
		return
	}
	d.synced = wal.AppendRecord(d.synced, sealRecord, int64(len(d.synced)))
	d.sealed = true
}

// losePower tears what is not synced: an arbitrary part of it stays.
func (d *Disk) losePower() {
	d.powerLosses++
	d.busy, d.queue = false, nil
	if d.RevertsRewrite && d.replacedFile != nil {
		d.synced, d.replacedFile = d.replacedFile, nil
	}
	kept := 0
	if n := len(d.unsynced); n > 0 {
		kept = d.world.Random.Intn(n + 1)
	}
	d.synced = append(d.synced[:len(d.synced):len(d.synced)], d.unsynced[:kept]...)
	d.unsynced = nil
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.losePower()
	d.synced, d.Wiped = nil, true
}
