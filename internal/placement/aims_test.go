package placement

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

func usageOf(list ...config.Queue) map[types.QueueName]*QueueUsage {
	usage := map[types.QueueName]*QueueUsage{}
	for _, r := range list {
		r.MaxRunning, r.Weight = 100, 1
		usage[r.Name] = &QueueUsage{Queue: r}
	}
	return usage
}

// Queues whose jobs have aims: what has the lowest turn goes first, whichever queue
// it is of, for priority is part of the turn already.
func TestOfQueuesWithAimsTheLowestTurnGoesFirst(t *testing.T) {
	is := is.New(t)
	late, small, large, low, spent := newRequest("late", "a", 1, 4), newRequest("small", "a", 1, 4), newRequest("large", "b", 1, 4), newRequest("low", "c", 1, 4), newRequest("spent", "a", 1, 4)
	late.Class, spent.Class = Late, TargetMissed
	small.SortKey, large.SortKey, low.SortKey, late.SortKey, spent.SortKey = -9, -8, -8.5, -1, -0.1
	dues := usageOf(config.Queue{Name: "a", TargetFactor: 1.5}, config.Queue{Name: "b", TargetFactor: 2}, config.Queue{Name: "c", TargetFactor: 2, Priority: 1})
	order := []types.JobID{"small", "low", "large", "late", "spent"}
	for room, jobs := range []int{0, 1, 2, 3, 4, 5} {
		n := tasksByJob(assignments([]Request{spent, low, late, large, small}, newSlots(room, 4), dues, 20))
		for i, id := range order {
			is.Equal(n[id] == 1, i < jobs)
		}
		for _, d := range dues {
			d.RunningTasks, d.CoresInUse = 0, 0
		}
	}
}

// A queue without aims goes by its priority, before and after those with aims.
func TestBesideAQueueWithoutAimsPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	first, plain, last := newRequest("first", "a", 1, 4), newRequest("plain", "b", 1, 4), newRequest("last", "c", 1, 4)
	last.SortKey, first.SortKey = -9, -1
	dues := usageOf(config.Queue{Name: "a", TargetFactor: 1.5}, config.Queue{Name: "b", Priority: 1}, config.Queue{Name: "c", TargetFactor: 2, Priority: 2})
	order := []types.JobID{"last", "first", "plain"} // those with aims stand at the place of the first of them
	for jobs := range 4 {
		for _, list := range [][]Request{{last, plain, first}, {first, plain, last}, {plain, last, first}} {
			n := tasksByJob(assignments(list, newSlots(jobs, 4), dues, 12))
			for i, id := range order {
				is.Equal(n[id] == 1, i < jobs)
			}
			for _, d := range dues {
				d.RunningTasks, d.CoresInUse = 0, 0
			}
		}
	}
}

// Work that must leave room takes none beyond its bound, but some always.
func TestWorkThatTakesLongLeavesRoom(t *testing.T) {
	for bound, n := range map[types.MilliCores]int{0: 5, 1: 1, 8 * types.Core: 2, 12 * types.Core: 3} {
		is := is.New(t)
		w := newRequest("long", "a", 5, 4)
		w.MaxQueueCores = bound
		is.Equal(len(assignments([]Request{w}, newSlots(5, 4), usageOf(config.Queue{Name: "a", TargetFactor: 3}), 20)), n)
	}
}

func TestDataRackIsPreferredAndLabelsAreNeeded(t *testing.T) {
	is := is.New(t)
	w := newRequest("j", "q", 2, 1)
	w.DataRack = "r1"
	list := newSlots(6, 4)
	list[4].Free.Cores = types.Core // little room, but on the rack of the data
	picks := assignments([]Request{w}, list, usageOf(config.Queue{Name: "q"}), 24)
	is.Equal(len(picks), 2)
	for _, p := range picks {
		is.True(p.Shard == "k3" || p.Shard == "k4" || p.Shard == "k5")
	}
	w.DataRack, w.Labels = "", []string{"ssd", "b"}
	list = newSlots(6, 4)
	is.Equal(len(assignments([]Request{w}, list, usageOf(config.Queue{Name: "q"}), 24)), 0)
	list[2].Labels = []string{"b", "r0", "ssd"}
	for _, p := range assignments([]Request{w}, list, usageOf(config.Queue{Name: "q"}), 24) {
		is.Equal(p.Shard, types.Shard("k2"))
	}
}

func TestAGangThatIsSlowerWhenSpreadGoesOnOneRackIfItFits(t *testing.T) {
	is := is.New(t)
	racks := func(picks []Assignment, list []Slot) map[types.Rack]int {
		m := map[types.Rack]int{}
		for _, p := range picks {
			for _, s := range list {
				if s.Shard == p.Shard {
					m[s.Rack]++
				}
			}
		}
		return m
	}
	w := newRequest("j", "q", 6, 2)
	w.Gang, w.PreferOneRack = true, true
	list := newSlots(6, 4)
	is.Equal(len(racks(assignments([]Request{w}, list, usageOf(config.Queue{Name: "q"}), 24), list)), 1)
	list = newSlots(6, 4)
	list[0].Free.Cores, list[3].Free.Cores = 0, 0
	got := racks(assignments([]Request{w}, list, usageOf(config.Queue{Name: "q"}), 24), list)
	is.Equal(got["r0"]+got["r1"], 6) // spread over two rather than not placed
}
