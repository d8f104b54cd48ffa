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

type pending struct {
	at  int64
	seq uint64
	run func()
}

type agenda []pending

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(pending)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

func (w *World) at(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.agenda, pending{w.now + int64(d), w.seq, run})
}

// NetworkQuality is how the network behaves in a stretch of time.
type NetworkQuality struct {
	Loss, Twice, Late float64
}

type pair struct{ from, to types.Addr }

// transmit takes a packet from one address to another, or loses it.
func (w *World) transmit(from, to types.Addr, run func()) {
	times := 1
	if w.random.Float64() < w.network.Twice {
		times = 2
	}
	for range times {
		if w.random.Float64() < w.network.Loss {
			continue
		}
		d := 200*time.Microsecond + time.Duration(w.random.Int63n(int64(2*time.Millisecond)))
		d += w.lag[pair{from, to}]
		if w.distance != nil {
			d += w.distance(from, to)
		}
		if w.random.Float64() < w.network.Late {
			d += time.Duration(w.random.Int63n(int64(900 * time.Millisecond)))
		}
		sent := w.now
		w.at(d, func() {
			if !w.cut[pair{from, to}] && !w.reset(from, to, sent) {
				run()
			}
		})
	}
}

// Split cuts all between two groups, in one direction or both.
func (w *World) Split(a, b []types.Addr, both, on bool) {
	for _, x := range a {
		for _, y := range b {
			w.set(pair{x, y}, on)
			if both {
				w.set(pair{y, x}, on)
			}
		}
	}
}

func (w *World) set(p pair, on bool) {
	if on {
		w.cut[p] = true
	} else {
		delete(w.cut, p)
	}
}

// disk is one simulated disk: what is synced, and what is only written.
type disk struct {
	w          *World
	synced     []byte
	unsynced   []byte
	slow       time.Duration
	full       bool  // it takes no more bytes
	stall      int64 // until this time nothing is synced
	busy       bool
	queue      []write
	lies       bool // a planted bug: says synced, and is not
	sealed     bool
	wiped      bool // once at least
	generation int  // a generation; writes of an earlier one do not finish
	use        *Usage
}

type write struct {
	list  [][]byte
	seq   uint64
	whole bool
	done  func(uint64)
}

func (d *disk) put(x write) {
	d.queue = append(d.queue, x)
	if !d.busy {
		d.next()
	}
}

func (d *disk) next() {
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
		if x.whole && i > 0 {
			group = group[:i]
			break
		}
	}
	if group[0].whole {
		group = group[:1]
	}
	d.queue = d.queue[len(group):]
	var b []byte
	for _, x := range group {
		for _, r := range x.list {
			if x.whole {
				b = wal.AppendRecord(b, r, wal.SyncedByRename)
			} else {
				b = wal.AppendRecord(b, r, int64(len(d.synced)))
			}
		}
	}
	d.use.Syncs++
	d.use.Written += len(b)
	whole := group[0].whole
	if !whole {
		d.unsynced = b
	}
	wait := time.Millisecond + d.slow + time.Duration(d.w.random.Int63n(int64(3*time.Millisecond)))
	if d.stall > d.w.now {
		wait += time.Duration(d.stall - d.w.now)
	}
	gen := d.generation
	d.w.at(wait, func() {
		if gen != d.generation {
			return
		}
		if d.lies {
			last := group[len(group)-1]
			last.done(last.seq)
			d.next()
			return
		}
		if whole {
			d.synced = wal.AppendRecord(b, []byte("{}"), wal.SyncedByRename)
		} else {
			d.synced = append(d.synced, b...)
		}
		d.unsynced = nil
		last := group[len(group)-1]
		last.done(last.seq)
		d.sealed = whole
		d.next()
		d.seal()
	})
}

// refusedAgain is how long a daemon waits after a refused write before it tries again.
const refusedAgain = 100 * time.Millisecond

// retry tries what waits again later, as a daemon does whose disk refused a write.
func (d *disk) retry() {
	gen := d.generation
	d.w.at(refusedAgain, func() {
		if gen == d.generation {
			d.next()
		}
	})
}

// seal has a last small record witness what was synced, once the disk rests.
func (d *disk) seal() {
	gen := d.generation
	d.w.at(wal.SealAfterIdle, func() {
		if gen != d.generation || d.busy || d.sealed {
			return
		}
		d.synced = wal.AppendRecord(d.synced, []byte("{}"), int64(len(d.synced)))
		d.sealed = true
	})
}

// power cuts the power: of what was not synced an arbitrary part stays, torn.
func (d *disk) power() {
	d.generation++
	d.busy, d.queue = false, nil
	keep := 0
	if n := len(d.unsynced); n > 0 {
		keep = d.w.random.Intn(n + 1)
	}
	d.synced = append(d.synced[:len(d.synced):len(d.synced)], d.unsynced[:keep]...)
	d.unsynced = nil
}

// wipe loses everything.
func (d *disk) wipe() {
	d.power()
	d.synced, d.wiped = nil, true
}
