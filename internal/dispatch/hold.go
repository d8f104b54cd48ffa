// The attempts that possibly run, kept by shard and by what is open about them, so
// that an event costs what it touches. Lists are in the attempts' own order, and
// shards in order of their names.
package dispatch

import (
	"maps"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// Hold is an attempt that possibly runs.
type Hold struct {
	Attempt types.AttemptID
	Shard   types.Shard
	Stage   types.Stage // or -1, where the log does not have it
	Room    types.Resources
	Phase   phase
	Usual   string // what its time is compared with
	Limit   time.Duration
	At      types.MonoTime
	Ref     string         // what it has saved
	Late    types.MonoTime // by when it will have ended, where it is far behind its like
	halt    types.MonoTime
}

// load is what possibly runs on one shard.
type load struct {
	list   []*Hold
	used   types.Resources
	dim    int
	unsure int
}

// holds is all of them.
type holds struct {
	by   map[types.AttemptID]*Hold
	on   map[types.Shard]*load
	dim  int
	open map[types.Shard]bool // those with unsure attempts
	sent []*Hold              // in order of time; some are not any more
	// revisions counts, for each shard, how often its list has changed.
	revisions map[types.Shard]uint64
	alien     map[types.AttemptID]*Hold // told by an agent, and not given out as far as the log says
}

func newHolds() holds {
	return holds{by: map[types.AttemptID]*Hold{}, on: map[types.Shard]*load{}, open: map[types.Shard]bool{}, alien: map[types.AttemptID]*Hold{},
		revisions: map[types.Shard]uint64{}}
}

func least(a, b *Hold) int { return a.Attempt.Compare(b.Attempt) }

func (h *holds) add(o *Hold) {
	h.drop(o.Attempt)
	x := h.on[o.Shard]
	if x == nil {
		x = &load{}
		h.on[o.Shard] = x
	}
	i, _ := slices.BinarySearchFunc(x.list, o, least)
	x.list = slices.Insert(x.list, i, o)
	x.used = x.used.Add(o.Room)
	h.by[o.Attempt] = o
	h.revisions[o.Shard]++
	if o.Stage < 0 {
		h.alien[o.Attempt] = o
	}
	h.count(o, 1)
}

func (h *holds) drop(l types.AttemptID) {
	o := h.by[l]
	if o == nil {
		return
	}
	h.count(o, -1)
	delete(h.by, l)
	h.revisions[o.Shard]++
	delete(h.alien, l)
	x := h.on[o.Shard]
	i, _ := slices.BinarySearchFunc(x.list, o, least)
	x.list = slices.Delete(x.list, i, i+1)
	x.used = x.used.Sub(o.Room)
	if len(x.list) == 0 {
		delete(h.on, o.Shard)
	}
}

func (h *holds) turn(o *Hold, p phase) {
	h.count(o, -1)
	o.Phase = p
	h.count(o, 1)
}

func (h *holds) count(o *Hold, by int) {
	x := h.on[o.Shard]
	switch o.Phase {
	case dim:
		x.dim += by
		h.dim += by
	case unsure:
		if x.unsure += by; x.unsure > 0 {
			h.open[o.Shard] = true
		} else {
			delete(h.open, o.Shard)
		}
	case sent:
		if by > 0 {
			h.sent = append(h.sent, o)
		}
	}
}

// overdue takes from the sent ones those that are no longer, and gives the ones
// that have been since before a time.
func (h *holds) overdue(by types.MonoTime) (list []*Hold) {
	for len(h.sent) > 0 && (h.sent[0].Phase != sent || h.by[h.sent[0].Attempt] != h.sent[0] || h.sent[0].At < by) {
		if o := h.sent[0]; o.Phase == sent && h.by[o.Attempt] == o {
			list = append(list, o)
		}
		h.sent = h.sent[1:]
	}
	return
}

// of lists what possibly runs on a shard; the list is a copy.
func (h *holds) of(s types.Shard) []*Hold {
	if x := h.on[s]; x != nil {
		return slices.Clone(x.list)
	}
	return nil
}

func (h *holds) used(s types.Shard) (r types.Resources) {
	if x := h.on[s]; x != nil {
		r = x.used
	}
	return
}

// dims lists the attempts not told of yet on shards that no agent has come for.
func (h *holds) dims(came map[types.Shard]*WorkerEntry) (list []*Hold) {
	if h.dim == 0 {
		return nil
	}
	for _, s := range sorted(h.on) {
		if x := h.on[s]; x.dim > 0 && came[s] == nil {
			for _, o := range x.list {
				if o.Phase == dim {
					list = append(list, o)
				}
			}
		}
	}
	return
}

// all lists every attempt, by shard.
func (h *holds) all() []*Hold {
	list := make([]*Hold, 0, len(h.by))
	for _, s := range sorted(h.on) {
		list = append(list, h.on[s].list...)
	}
	return list
}

func sorted[T any](m map[types.Shard]T) []types.Shard { return slices.Sorted(maps.Keys(m)) }
