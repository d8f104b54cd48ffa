package workqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func classes(from wire.Class) (list []wire.Class) {
	for c := from; c < wire.Classes; c++ {
		list = append(list, c)
	}
	return
}

func TestWhatIsUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 1000 {
		is.True(q.Push(wire.Callers, 0, i))
	}
	for _, c := range classes(0) {
		is.True(q.Push(c, 1, -1))
	}
	for _, want := range classes(0)[:wire.Callers] {
		item, class, _, ok := q.Pop()
		is.True(ok)
		is.Equal(class, want)
		is.Equal(item, -1)
	}
	item, class, at, _ := q.Pop()
	is.Equal(class, wire.Callers)
	is.Equal(item, 0) // within a class the oldest
	is.Equal(at, types.MonoTime(0))
}

// However many events of one class come, each lower class is served in its turn:
// no later than its own bound and one event of each class between.
func TestNoClassIsStarved(t *testing.T) {
	for _, flood := range classes(0)[:wire.Background] {
		t.Run(flood.String(), func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			waited := map[wire.Class]int{}
			const events = 5000
			served := 0
			for range events {
				for _, c := range classes(flood) {
					for q.Waits(c) < 2 {
						q.Force(c, 0, 0)
					}
				}
				_, class, _, ok := q.Pop()
				is.True(ok)
				for _, c := range classes(flood) {
					waited[c]++
				}
				waited[class] = 0
				if class == flood {
					served++
				}
				for c, n := range waited {
					if c > flood && n > limits[c].passes+int(wire.Classes) {
						t.Fatalf("%v waited for %d events", c, n)
					}
					if c == flood && n >= int(wire.Classes) { // one of each class at most
						t.Fatalf("%v waited for %d events of lower classes", c, n)
					}
				}
			}
			is.True(served > events*6/10) // most are of the urgent class
		})
	}
}

func TestAFullClassLeavesTheOthersTheirRoom(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for _, c := range classes(wire.Configuration) {
		n := 0
		for q.Push(c, 0, 0) {
			n++
		}
		is.Equal(n, limits[c].depth)
		is.Equal(q.Refused[c], uint64(1))
	}
	for range limits[wire.Consensus].depth {
		is.True(q.Push(wire.Consensus, 0, 0))
	}
	is.Equal(q.Refused[wire.Consensus], uint64(0))
}

func TestTheLoadIsTheAgeOfWhatWaits(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	at := func(ms int) types.MonoTime { return types.MonoTime(time.Duration(ms) * time.Millisecond) }
	q.Push(wire.Callers, at(0), 0)
	q.Push(wire.Leases, at(40), 0)
	q.Push(wire.Consensus, at(90), 0)
	_, class, since, _ := q.Pop()
	l := q.Load(at(100), class, since)
	is.Equal(l, wire.Load{Age: 10 * time.Millisecond, Control: 60 * time.Millisecond, Callers: 100 * time.Millisecond, Waiting: true})
	q.Pop()
	_, class, since, _ = q.Pop()
	is.Equal(q.Load(at(200), class, since), wire.Load{Age: 200 * time.Millisecond, Callers: 200 * time.Millisecond})
	is.Equal(q.Expire(wire.Callers, at(999), func(int) time.Duration { return 1 }), nil)
}

func TestOnlyWhatMayExpireDoes(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 5 {
		q.Push(wire.Callers, types.MonoTime(i), i)
	}
	is.Equal(q.Expire(wire.Callers, 12, func(int) time.Duration { return 8 }), []int{0, 1, 2, 3})
	is.Equal(q.Expire(wire.Callers, 99, func(int) time.Duration { return 0 }), nil)
	is.Equal(q.Len(), 1)
}

// A loop whose every step takes long gets both ticks and events done.
func TestTicksAndEventsShareADearLoop(t *testing.T) {
	for _, cost := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
		is := is.New(t)
		var ticks Ticks
		now, last, ticked, took := types.MonoTime(0), types.MonoTime(0), 0, 0
		for now < types.MonoTime(20*time.Second) {
			if ticks.Due(now, 1) {
				ticks.Ticked(now)
				is.True(now.Sub(last) <= longestToTick+2*cost)
				last = now
				ticked++
			} else {
				ticks.Took()
				took++
			}
			now = now.Add(cost)
		}
		is.True(ticked > 0)
		is.True(took >= ticked/2) // dear ticks leave room for events
	}
}

// What a sender doesn't repeat, and what other than a caller waits for, stays.
func TestWhatMayNotBeLostNeverExpires(t *testing.T) {
	is := is.New(t)
	message := func(kind string) wire.Event { return wire.Event{Message: &wire.Message{Kind: kind}} }
	for _, kind := range []string{wire.AppendEntries, wire.RequestVote, wire.News, wire.Told, wire.Beat, wire.Settled, wire.Reply, wire.Order, wire.Stop} {
		is.Equal(Patience(message(kind)), time.Duration(0))
	}
	for _, e := range []wire.Event{{}, {Synced: 1}, {Close: true}, {Reply: &wire.WorkerReply{}}, {Ask: &wire.Ask{Verb: "table.put"}}, {Ask: &wire.Ask{Verb: "poll"}}} {
		is.Equal(Patience(e), time.Duration(0))
	}
	is.Equal(Patience(message(wire.Call)), CallPatience)
	is.Equal(Patience(message(wire.Status)), ReportPatience)
	is.Equal(Patience(wire.Event{Ask: &wire.Ask{Verb: "job.cancel"}}), RequestPatience)
}
