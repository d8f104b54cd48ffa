package placement

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

func rows(list ...config.Row) map[types.Queue]*Due {
	m := map[types.Queue]*Due{}
	for _, r := range list {
		r.Running, r.Weight = 100, 1
		m[r.Name] = &Due{Row: r}
	}
	return m
}

// Queues whose jobs have aims: what has the lowest turn goes first, whichever queue
// it is of, for priority is part of the turn already.
func TestOfQueuesWithAimsTheLowestTurnGoesFirst(t *testing.T) {
	is := is.New(t)
	late, small, large, low, spent := want("late", "a", 1, 4), want("small", "a", 1, 4), want("large", "b", 1, 4), want("low", "c", 1, 4), want("spent", "a", 1, 4)
	late.Class, spent.Class = Late, Spent
	small.Turn, large.Turn, low.Turn, late.Turn, spent.Turn = -9, -8, -8.5, -1, -0.1
	dues := rows(config.Row{Name: "a", Stretch: 1.5}, config.Row{Name: "b", Stretch: 2}, config.Row{Name: "c", Stretch: 2, Priority: 1})
	order := []types.JobID{"small", "low", "large", "late", "spent"}
	for room, jobs := range []int{0, 1, 2, 3, 4, 5} {
		n := count(place([]Want{spent, low, late, large, small}, slots(room, 4), dues, 20))
		for i, id := range order {
			is.Equal(n[id] == 1, i < jobs)
		}
		for _, d := range dues {
			d.Running, d.Cores = 0, 0
		}
	}
}

// A queue without aims goes by its priority, before and after those with aims.
func TestBesideAQueueWithoutAimsPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	first, plain, last := want("first", "a", 1, 4), want("plain", "b", 1, 4), want("last", "c", 1, 4)
	last.Turn, first.Turn = -9, -1
	dues := rows(config.Row{Name: "a", Stretch: 1.5}, config.Row{Name: "b", Priority: 1}, config.Row{Name: "c", Stretch: 2, Priority: 2})
	order := []types.JobID{"last", "first", "plain"} // those with aims stand at the place of the first of them
	for jobs := range 4 {
		for _, list := range [][]Want{{last, plain, first}, {first, plain, last}, {plain, last, first}} {
			n := count(place(list, slots(jobs, 4), dues, 12))
			for i, id := range order {
				is.Equal(n[id] == 1, i < jobs)
			}
			for _, d := range dues {
				d.Running, d.Cores = 0, 0
			}
		}
	}
}

// Work that must leave room takes none beyond its bound, but some always.
func TestWorkThatTakesLongLeavesRoom(t *testing.T) {
	for bound, n := range map[types.Cores]int{0: 5, 1: 1, 8 * types.Core: 2, 12 * types.Core: 3} {
		is := is.New(t)
		w := want("long", "a", 5, 4)
		w.Cap = bound
		is.Equal(len(place([]Want{w}, slots(5, 4), rows(config.Row{Name: "a", Stretch: 3}), 20)), n)
	}
}

func TestDataRackIsPreferredAndLabelsAreNeeded(t *testing.T) {
	is := is.New(t)
	w := want("j", "q", 2, 1)
	w.Near = "r1"
	list := slots(6, 4)
	list[4].Free.Cores = types.Core // little room, but on the rack of the data
	picks := place([]Want{w}, list, rows(config.Row{Name: "q"}), 24)
	is.Equal(len(picks), 2)
	for _, p := range picks {
		is.True(p.Shard == "k3" || p.Shard == "k4" || p.Shard == "k5")
	}
	w.Near, w.Labels = "", []string{"ssd", "b"}
	list = slots(6, 4)
	is.Equal(len(place([]Want{w}, list, rows(config.Row{Name: "q"}), 24)), 0)
	list[2].Labels = []string{"b", "r0", "ssd"}
	for _, p := range place([]Want{w}, list, rows(config.Row{Name: "q"}), 24) {
		is.Equal(p.Shard, types.Shard("k2"))
	}
}

func TestAGangThatIsSlowerWhenSpreadGoesOnOneRackIfItFits(t *testing.T) {
	is := is.New(t)
	racks := func(picks []Pick, list []Slot) map[types.Rack]int {
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
	w := want("j", "q", 6, 2)
	w.Gang, w.OneRack = true, true
	list := slots(6, 4)
	is.Equal(len(racks(place([]Want{w}, list, rows(config.Row{Name: "q"}), 24), list)), 1)
	list = slots(6, 4)
	list[0].Free.Cores, list[3].Free.Cores = 0, 0
	got := racks(place([]Want{w}, list, rows(config.Row{Name: "q"}), 24), list)
	is.Equal(got["r0"]+got["r1"], 6) // spread over two rather than not placed
}
