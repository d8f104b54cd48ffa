package workqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func classesFrom(from wire.Class) (list []wire.Class) {
	for c := from; c < wire.NumClasses; c++ {
		list = append(list, c)
	}
	return
}

func TestUrgentEventsGoFirst(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 1000 {
		is.True(q.Push(wire.ClassCallers, 0, i))
	}
	for _, c := range classesFrom(0) {
		is.True(q.Push(c, 1, -1))
	}
	for _, want := range classesFrom(0)[:wire.ClassCallers] {
		item, class, _, ok := q.Pop()
		is.True(ok)
		is.Equal(class, want)
		is.Equal(item, -1)
	}
	item, class, at, _ := q.Pop()
	is.Equal(class, wire.ClassCallers)
	is.Equal(item, 0) // within a class the oldest
	is.Equal(at, types.MonoTime(0))
}

// However many events of one class come, each lower class is served in its turn:
// no later than its own bound and one event of each class between.
func TestNoClassIsStarved(t *testing.T) {
	for _, flood := range classesFrom(0)[:wire.ClassBackground] {
		t.Run(flood.String(), func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			waited := map[wire.Class]int{}
			const events = 5000
			served := 0
			for range events {
				for _, c := range classesFrom(flood) {
					for q.LenOf(c) < 2 {
						q.PushAlways(c, 0, 0)
					}
				}
				_, class, _, ok := q.Pop()
				is.True(ok)
				for _, c := range classesFrom(flood) {
					waited[c]++
				}
				waited[class] = 0
				if class == flood {
					served++
				}
				for c, n := range waited {
					if c > flood && n > limits[c].maxPassed+int(wire.NumClasses) {
						t.Fatalf("%v waited for %d events", c, n)
					}
					if c == flood && n >= int(wire.NumClasses) { // one of each class at most
						t.Fatalf("%v waited for %d events of lower classes", c, n)
					}
				}
			}
			is.True(served > events*6/10) // most are of the urgent class
		})
	}
}

func TestFullClassLeavesOthersTheirCapacity(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for _, c := range classesFrom(wire.ClassConfiguration) {
		n := 0
		for q.Push(c, 0, 0) {
			n++
		}
		is.Equal(n, limits[c].maxLen)
		is.Equal(q.Rejected[c], uint64(1))
	}
	for range limits[wire.ClassConsensus].maxLen {
		is.True(q.Push(wire.ClassConsensus, 0, 0))
	}
	is.Equal(q.Rejected[wire.ClassConsensus], uint64(0))
}

func TestLoadReportsAgesOfWaitingEvents(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	at := func(ms int) types.MonoTime { return types.MonoTime(time.Duration(ms) * time.Millisecond) }
	q.Push(wire.ClassCallers, at(0), 0)
	q.Push(wire.ClassLeases, at(40), 0)
	q.Push(wire.ClassConsensus, at(90), 0)
	_, class, since, _ := q.Pop()
	l := q.Load(at(100), class, since)
	is.Equal(l, wire.Load{EventAge: 10 * time.Millisecond, ControlAge: 60 * time.Millisecond, CallerAge: 100 * time.Millisecond, MoreWaiting: true})
	q.Pop()
	_, class, since, _ = q.Pop()
	is.Equal(q.Load(at(200), class, since), wire.Load{EventAge: 200 * time.Millisecond, CallerAge: 200 * time.Millisecond})
	is.Equal(q.Expire(wire.ClassCallers, at(999), func(int) time.Duration { return 1 }), nil)
}

func TestOnlyEventsPastTheirLimitExpire(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 5 {
		q.Push(wire.ClassCallers, types.MonoTime(i), i)
	}
	is.Equal(q.Expire(wire.ClassCallers, 12, func(int) time.Duration { return 8 }), []int{0, 1, 2, 3})
	is.Equal(q.Expire(wire.ClassCallers, 99, func(int) time.Duration { return 0 }), nil)
	is.Equal(q.Len(), 1)
}

// A loop whose every step takes long gets both ticks and events done.
func TestTicksAndEventsShareAnOverloadedLoop(t *testing.T) {
	for _, cost := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
		is := is.New(t)
		var ticks TickPacer
		now, last, ticked, took := types.MonoTime(0), types.MonoTime(0), 0, 0
		for now < types.MonoTime(20*time.Second) {
			if ticks.Due(now, 1) {
				ticks.NoteTick(now)
				is.True(now.Sub(last) <= maxTickDelay+2*cost)
				last = now
				ticked++
			} else {
				ticks.NoteEvent()
				took++
			}
			now = now.Add(cost)
		}
		is.True(ticked > 0)
		is.True(took >= ticked/2) // dear ticks leave room for events
	}
}

// What a sender doesn't repeat, and what other than a caller waits for, stays.
func TestEventsThatMustNotBeLostNeverExpire(t *testing.T) {
	is := is.New(t)
	message := func(kind wire.Kind) wire.Event { return wire.Event{Message: &wire.Message{Kind: kind}} }
	for _, kind := range []wire.Kind{wire.AppendEntries, wire.RequestVote, wire.ConfigWatch, wire.ConfigWatchReply, wire.Heartbeat, wire.StatusAck, wire.ForwardReply, wire.RunTask, wire.KillTask} {
		is.Equal(MaxWait(message(kind)), time.Duration(0))
	}
	for _, e := range []wire.Event{{}, {Synced: 1}, {Shutdown: true}, {WorkerReply: &wire.WorkerReply{}}, {Request: &wire.Request{Verb: "table.put"}}, {Request: &wire.Request{Verb: "poll"}}} {
		is.Equal(MaxWait(e), time.Duration(0))
	}
	is.Equal(MaxWait(message(wire.ForwardRequest)), MaxForwardWait)
	is.Equal(MaxWait(message(wire.StatusReport)), MaxReportWait)
	is.Equal(MaxWait(wire.Event{Request: &wire.Request{Verb: "job.cancel"}}), MaxRequestWait)
}
