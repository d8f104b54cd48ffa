// The simulated network and disks: packets lost, late, twice or out of order,
// pairs cut one way or both; disks that are slow, stall, lose what was not
// synced, or are wiped.
package sim

import (
	"container/heap"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wal"
)

type scheduledEvent struct {
	at  int64
	seq uint64
	run func()
}

type eventHeap []scheduledEvent

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e eventHeap) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *World) after(d time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.scheduled, scheduledEvent{w.now + int64(d), w.lastSequence, run})
}

// NetworkQuality is how the network behaves in a stretch of time.
type NetworkQuality struct {
	LossRate, DuplicateRate, DelayRate float64
}

type addressPair struct{ from, to types.Addr }

// transmit takes a packet from one address to another, or loses it.
func (w *World) transmit(from, to types.Addr, run func()) {
	times := 1
	if w.random.Float64() < w.network.DuplicateRate {
		times = 2
	}
	for range times {
		if w.random.Float64() < w.network.LossRate {
			continue
		}
		d := 200*time.Microsecond + time.Duration(w.random.Int63n(int64(2*time.Millisecond)))
		d += w.extraDelay[addressPair{from, to}]
		if w.regionDelay != nil {
			d += w.regionDelay(from, to)
		}
		if w.random.Float64() < w.network.DelayRate {
			d += time.Duration(w.random.Int63n(int64(900 * time.Millisecond)))
		}
		sent := w.now
		w.after(d, func() {
			if !w.partitioned[addressPair{from, to}] && !w.lostToReset(from, to, sent) {
				run()
			}
		})
	}
}

// SetPartition cuts all between two groups, in one direction or both.
func (w *World) SetPartition(a, b []types.Addr, bothWays, cut bool) {
	for _, x := range a {
		for _, y := range b {
			w.setPartitioned(addressPair{x, y}, cut)
			if bothWays {
				w.setPartitioned(addressPair{y, x}, cut)
			}
		}
	}
}

func (w *World) setPartitioned(p addressPair, on bool) {
	if on {
		w.partitioned[p] = true
	} else {
		delete(w.partitioned, p)
	}
}

// disk is one simulated disk: what is synced, and what is only written.
type disk struct {
	world        *World
	synced       []byte
	unsynced     []byte
	extraLatency time.Duration
	full         bool  // it takes no more bytes
	stalledUntil int64 // until this time nothing is synced
	busy         bool
	queue        []diskWrite
	falseSync    bool // a planted bug: says synced, and is not
	sealed       bool
	wiped        bool // once at least
	generation   int  // a generation; writes of an earlier one do not finish
	usage        *Usage
}

type diskWrite struct {
	records  [][]byte
	seq      uint64
	rewrite  bool
	onSynced func(uint64)
}

func (d *disk) enqueue(x diskWrite) {
	d.queue = append(d.queue, x)
	if !d.busy {
		d.syncNext()
	}
}

func (d *disk) syncNext() {
	if len(d.queue) == 0 {
		d.busy = false
		return
	}
	d.busy = true
	if d.full {
		d.retry()
		return
	}
	group := d.queue
	for i, x := range group {
		if x.rewrite && i > 0 {
			group = group[:i]
			break
		}
	}
	if group[0].rewrite {
		group = group[:1]
	}
	d.queue = d.queue[len(group):]
	var b []byte
	for _, x := range group {
		for _, r := range x.records {
			if x.rewrite {
				b = wal.AppendRecord(b, r, wal.SyncedByRename)
			} else {
				b = wal.AppendRecord(b, r, int64(len(d.synced)))
			}
		}
	}
	d.usage.Syncs++
	d.usage.Written += len(b)
	whole := group[0].rewrite
	if !whole {
		d.unsynced = b
	}
	wait := time.Millisecond + d.extraLatency + time.Duration(d.world.random.Int63n(int64(3*time.Millisecond)))
	if d.stalledUntil > d.world.now {
		wait += time.Duration(d.stalledUntil - d.world.now)
	}
	gen := d.generation
	d.world.after(wait, func() {
		if gen != d.generation {
			return
		}
		if d.falseSync {
			last := group[len(group)-1]
			last.onSynced(last.seq)
			d.syncNext()
			return
		}
		if whole {
			d.synced = wal.AppendRecord(b, []byte("{}"), wal.SyncedByRename)
		} else {
			d.synced = append(d.synced, b...)
		}
		d.unsynced = nil
		last := group[len(group)-1]
		last.onSynced(last.seq)
		d.sealed = whole
		d.syncNext()
		d.seal()
	})
}

// refusedWriteRetry is how long a daemon waits after a refused write before it tries again.
const refusedWriteRetry = 100 * time.Millisecond

// retry tries what waits again later, as a daemon does whose disk refused a write.
func (d *disk) retry() {
	gen := d.generation
	d.world.after(refusedWriteRetry, func() {
		if gen == d.generation {
			d.syncNext()
		}
	})
}

// seal has a last small record witness what was synced, once the disk rests.
func (d *disk) seal() {
	gen := d.generation
	d.world.after(wal.SealAfterIdle, func() {
		if gen != d.generation || d.busy || d.sealed {
			return
		}
		d.synced = wal.AppendRecord(d.synced, []byte("{}"), int64(len(d.synced)))
		d.sealed = true
	})
}

// losePower cuts the power: of what was not synced an arbitrary part stays, torn.
func (d *disk) losePower() {
	d.generation++
	d.busy, d.queue = false, nil
	keep := 0
	if n := len(d.unsynced); n > 0 {
		keep = d.world.random.Intn(n + 1)
	}
	d.synced = append(d.synced[:len(d.synced):len(d.synced)], d.unsynced[:keep]...)
	d.unsynced = nil
}

// wipe loses everything.
func (d *disk) wipe() {
	d.losePower()
	d.synced, d.wiped = nil, true
}
