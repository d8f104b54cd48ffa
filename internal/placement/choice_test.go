// What the choice promises, each on a small table of workers.
package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

func slots(n, cores int) (list []Slot) {
	for i := range n {
		list = append(list, Slot{Shard: types.Shard(fmt.Sprintf("k%d", i)), Rack: types.Rack(fmt.Sprintf("r%d", i/3)),
			Kinds: []types.Kind{"x"}, Free: types.Room{Cores: types.Cores(cores) * types.Core, Memory: 1000}, Size: types.Room{Cores: types.Cores(cores) * types.Core, Memory: 1000}, Slow: 1, Has: map[Part]int{}})
	}
	return
}

func want(job string, q types.Queue, n, cores int) Want {
	w := Want{Part: Part{Job: types.JobID(job)}, Queue: q, Kind: "x", Room: types.Room{Cores: types.Cores(cores) * types.Core}}
	for i := range n {
		w.Tasks = append(w.Tasks, i)
	}
	return w
}

func due(weight, share, running int) *Due {
	return &Due{Row: config.Row{Weight: weight, Share: share, Running: running}}
}

func place(wants []Want, list []Slot, dues map[types.Queue]*Due, total int) []Pick {
	return Place(Input{Wants: wants, Slots: list, Dues: dues, Total: types.Cores(total) * types.Core}).Picks
}

func count(picks []Pick) map[types.JobID]int {
	m := map[types.JobID]int{}
	for _, p := range picks {
		m[p.Task.Job]++
	}
	return m
}

func TestWeightsShareWhatThereIs(t *testing.T) {
	is := is.New(t)
	got := count(place([]Want{want("a", "a", 100, 1), want("b", "b", 100, 1)}, slots(4, 10),
		map[types.Queue]*Due{"a": due(3, 0, 500), "b": due(1, 0, 500)}, 40))
	is.Equal(got, map[types.JobID]int{"a": 30, "b": 10})
}

func TestAShareComesBeforeWeights(t *testing.T) {
	is := is.New(t)
	got := count(place([]Want{want("a", "a", 100, 1), want("b", "b", 100, 1)}, slots(4, 10),
		map[types.Queue]*Due{"a": due(1000, 0, 500), "b": due(1, 50, 500)}, 40))
	is.Equal(got["b"], 20)
}

func TestWhatCannotBePlacedHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	big := want("big", "a", 3, 11)
	gang := want("gang", "a", 9, 5)
	gang.Gang = true
	far := want("far", "a", 1, 1)
	far.Rack = "r9"
	got := count(place([]Want{big, gang, far, want("small", "a", 4, 1)}, slots(4, 10), map[types.Queue]*Due{"a": due(1, 0, 500)}, 40))
	is.Equal(got, map[types.JobID]int{"small": 4}) // and no part of the gang
}

func TestGangsAreWholeAndSpreadHolds(t *testing.T) {
	is := is.New(t)
	gang := want("g", "a", 6, 2)
	gang.Gang, gang.Spread = true, 2
	s := slots(3, 10)
	picks := place([]Want{gang}, s, map[types.Queue]*Due{"a": due(1, 0, 6)}, 30)
	is.Equal(len(picks), 6)
	at := map[types.Shard]int{}
	for _, p := range picks {
		at[p.Shard]++
	}
	is.Equal(at, map[types.Shard]int{"k0": 2, "k1": 2, "k2": 2})
	is.Equal(len(place([]Want{gang}, slots(3, 10), map[types.Queue]*Due{"a": due(1, 0, 5)}, 30)), 0) // the queue's limit is whole too
	is.Equal(len(place([]Want{gang}, slots(2, 10), map[types.Queue]*Due{"a": due(1, 0, 6)}, 30)), 0)
}

func TestRoomIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	s := slots(3, 7)
	place([]Want{want("a", "a", 50, 2), want("b", "a", 50, 3)}, s, map[types.Queue]*Due{"a": due(1, 0, 500)}, 21)
	for _, x := range s {
		is.True(x.Free.Cores >= 0)
	}
}

func TestUrgentFirstWithinAQueueOnly(t *testing.T) {
	is := is.New(t)
	hot := want("hot", "a", 50, 1)
	hot.Urgency = 9
	got := count(place([]Want{want("cold", "a", 50, 1), hot, want("other", "b", 50, 1)}, slots(1, 10),
		map[types.Queue]*Due{"a": due(1, 0, 500), "b": due(1, 0, 500)}, 10))
	is.Equal(got, map[types.JobID]int{"hot": 5, "other": 5})
}

func TestABadWorkerIsProbedNotUsed(t *testing.T) {
	is := is.New(t)
	s := slots(3, 10)
	s[0].Bad = 0.9
	at := 0
	for _, p := range place([]Want{want("a", "a", 12, 1)}, s, map[types.Queue]*Due{"a": due(1, 0, 500)}, 30) {
		if p.Shard == "k0" {
			at++
		}
	}
	is.True(at <= 1)
}

// A large task and a wide gang wait while small work keeps every worker nearly
// full. Without a reservation they never start; with it they do in bounded
// time, and small work that surely ends before goes on beside it.
func TestLargeWorkGetsItsTurn(t *testing.T) {
	large := want("large", "a", 1, 10)
	wide := want("wide", "a", 3, 10)
	wide.Gang = true
	for _, w := range []Want{large, wide} {
		for _, kept := range []bool{true, false} {
			is := is.New(t)
			list := slots(4, 10)
			ends := map[types.Shard][]int{} // when small tasks end, by round
			var r *Reserve
			at, small := -1, 0
			for round := range 400 {
				wants := []Want{}
				for i := range 6 {
					wants = append(wants, want(fmt.Sprint("s", round, i), "b", 2, 1))
					wants[i].Long = time.Second
				}
				if at < 0 && round >= 20 {
					w.Long, w.Since = time.Second, time.Duration(round-20)*100*time.Millisecond
					wants = append([]Want{w}, wants...)
				}
				for i := range list {
					s := &list[i]
					s.held, s.Clear = types.Room{}, 0
					left := ends[s.Shard][:0]
					for _, e := range ends[s.Shard] {
						if e > round {
							left = append(left, e)
							s.Clear = max(s.Clear, time.Duration(e-round)*100*time.Millisecond)
						}
					}
					s.Free, ends[s.Shard] = types.Room{Cores: types.Cores(10-len(left)) * types.Core, Memory: 1000}, left
				}
				out := Place(Input{Wants: wants, Slots: list, Total: 40 * types.Core, Kept: r,
					Dues: map[types.Queue]*Due{"a": due(1, 0, 500), "b": due(1, 0, 500)}})
				if r = out.Kept; !kept {
					r = nil
				}
				for _, p := range out.Picks {
					if p.Task.Job == w.Job {
						at = round
						for range 10 {
							ends[p.Shard] = append(ends[p.Shard], round+10)
						}
					} else {
						small++
						ends[p.Shard] = append(ends[p.Shard], round+10)
					}
				}
				if at >= 0 && round > at+20 {
					break
				}
			}
			if !kept {
				is.Equal(at, -1) // it starves
				continue
			}
			is.True(at > 20 && at < 80) // 3 s of patience, and the time of a small task or two
			is.True(small > 100)
		}
	}
}

// Nothing starts on a worker whose window it would run into.
func TestNothingRunsIntoAWindow(t *testing.T) {
	is := is.New(t)
	for long, n := range map[time.Duration]int{time.Minute: 10, time.Second: 20} {
		s := slots(2, 10)
		s[0].Till = 30 * time.Second
		w := want("a", "a", 30, 1)
		w.Long = long
		is.Equal(len(place([]Want{w}, s, map[types.Queue]*Due{"a": due(1, 0, 500)}, 20)), n)
	}
}
