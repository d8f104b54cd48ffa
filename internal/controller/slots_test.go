package controller

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/placement"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// slotsAfresh is the full scan over all workers and all attempts that slotCache must
// agree with.
func slotsAfresh(h *Controller) (list []placement.Slot, total types.Cores) {
	at := map[types.Shard]int{}
	for _, s := range h.scheduler.Seats() {
		if s.State != dispatch.Healthy {
			continue
		}
		total += s.Room.Cores
		if till, _, _ := h.till(s); !s.Leaving && s.Healthy {
			at[s.Shard] = len(list)
			list = append(list, placement.Slot{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Labels: s.Labels, Free: s.Room.Minus(s.Lacks), Size: s.Room, Till: till,
				Bad: s.Worth.Bad, Slow: s.Worth.Slow, Now: h.scheduler.Slow(s), Has: map[placement.Part]int{}})
		}
	}
	for _, g := range h.given {
		if i, ok := at[g.Shard]; ok {
			stage := types.StageOf(g.Attempt.N)
			if j := h.state.Jobs[g.Attempt.Job]; j != nil && !j.Over() {
				list[i].Free = list[i].Free.Minus(j.Spec.Steps[stage.Step()].Room)
			}
			list[i].Busy++
			list[i].Has[placement.Part{Job: g.Attempt.Job, Stage: stage}]++
		}
	}
	for _, o := range h.scheduler.Holds() {
		i, ok := at[o.Shard]
		if !ok {
			continue
		}
		x := &list[i]
		if !h.freed[o.Attempt] {
			x.Free = x.Free.Minus(o.Room)
			x.Busy++
		}
		left := time.Hour
		if o.Limit != 0 {
			left = max(0, o.Limit-h.now.Mono.Sub(o.At))
		}
		x.Clear = max(x.Clear, left)
		if o.Stage >= 0 {
			x.Has[placement.Part{Job: o.Attempt.Job, Stage: o.Stage}]++
		}
	}
	return
}

// leadership is a controller as it leads, with agents that come, tell of themselves,
// and are given attempts, at random.
type leadership struct {
	*Controller
	rnd    *rand.Rand
	agents []dispatch.Heartbeat
	next   int
	out    []types.Attempt
}

func newLeadership(seed int64) *leadership {
	rnd := rand.New(rand.NewSource(seed))
	now := types.Now{Mono: types.Stamp(time.Hour), Wall: types.Wall(time.Hour)}
	h := New(now, rnd, Options{Addr: "h1", Core: raft.Defaults, Truth: dispatch.Defaults}, nil)
	l := &leadership{Controller: h, rnd: rnd}
	h.scheduler = dispatch.NewScheduler(now.Mono, now.Mono, dispatch.Defaults, "h1", 1, nil)
	h.scheduler.Invoked = func(types.Shard) bool { return true }
	h.scheduler.Apart = func(types.Shard) bool { return false }
	h.scheduler.Taken, h.scheduler.Doubts = func(state.End) bool { return false }, func(types.Shard) []types.Attempt { return nil }
	for i := range 5 {
		id := types.JobID(fmt.Sprint("job-", i))
		h.state.Jobs[id] = &state.Job{ID: id, State: state.Open, Spec: &state.Spec{Steps: []state.Step{
			{Name: "a", Room: types.Room{Cores: 1500, Memory: 100}}, {Name: "b", Room: types.Room{Cores: 500, Memory: 900}}}}}
	}
	for i := range 6 {
		shard := types.Shard(fmt.Sprint("k", i))
		l.agents = append(l.agents, dispatch.Heartbeat{Shard: shard, ID: types.ID("agent-" + shard), Report: dispatch.Report{Rack: "r1",
			Kinds: []types.Kind{"x"}, Room: types.Room{Cores: 16_000, Memory: 32_000}, Healthy: true, Invoked: true}})
	}
	for range 4 { // until all agree on the worker set
		for i := range l.agents {
			l.beat(i)
		}
	}
	return l
}

func (l *leadership) pass(d time.Duration) {
	l.now.Mono, l.now.Wall = l.now.Mono.Add(d), l.now.Wall+types.Wall(d)
	l.scheduler.Tick(l.now.Mono, time.Minute)
}

func (l *leadership) say(kind string, body any) {
	l.scheduler.Take(l.now.Mono, time.Minute, wire.Make("a", "h1", kind, body).Message)
}

// beat has an agent tell of itself, and take in what it is answered.
func (l *leadership) beat(i int) {
	l.pass(time.Millisecond)
	b := &l.agents[i]
	b.Stamp = l.now.Mono
	l.say(wire.Beat, *b)
	sends, _ := l.scheduler.Out()
	for _, s := range sends {
		switch s.Message.Kind {
		case wire.AskRun:
			l.say(wire.Account, dispatch.RunningTasks{Term: 1, Shard: b.Shard, ID: b.ID, Whole: true})
		case wire.Beaten:
			if r, ok := wire.Read[dispatch.HeartbeatReply](s.Message); ok {
				b.Set = r.Set
			}
		}
	}
}

// change does something at random that placement must take note of.
func (l *leadership) change() {
	attempt := types.Attempt{Task: types.Task{Job: types.JobID(fmt.Sprint("job-", l.rnd.Intn(6))), N: types.No(0, l.rnd.Intn(2), l.rnd.Intn(8))}, Attempt: l.next}
	shard := l.agents[l.rnd.Intn(len(l.agents))].Shard
	l.next++
	switch i := l.rnd.Intn(len(l.agents)); l.rnd.Intn(10) {
	case 0, 1, 2:
		l.scheduler.Order(shard, types.StageOf(attempt.N), "u", dispatch.Job{Attempt: attempt, Room: types.Room{Cores: types.Cores(l.rnd.Intn(3000)), Memory: l.rnd.Intn(2000)},
			Limit: l.rnd.Intn(3) * 1000})
		l.out = append(l.out, attempt)
	case 3, 4:
		l.settleSome()
	case 5:
		if len(l.out) > 0 {
			l.free(l.out[l.rnd.Intn(len(l.out))])
		}
	case 6:
		l.given[attempt.Task] = state.Assignment{Attempt: attempt, Shard: shard}
	case 7:
		clear(l.given)
	case 8:
		b := &l.agents[i]
		b.Room.Cores, b.Lacks.Cores, b.Leaving, b.Healthy = types.Cores(l.rnd.Intn(20_000)), types.Cores(l.rnd.Intn(500)), l.rnd.Intn(5) == 0, l.rnd.Intn(5) > 0
		l.beat(i)
	default:
		if l.rnd.Intn(20) == 0 { // another agent process, before which the account is unknown
			l.agents[i].Past, l.agents[i].ID = l.agents[i].ID, types.ID(fmt.Sprint("agent-", l.next))
		}
		l.pass(time.Duration(l.rnd.Intn(300)) * time.Millisecond)
		for i := range l.agents {
			l.beat(i)
		}
	}
}

// settleSome lets some attempts end in the log.
func (l *leadership) settleSome() {
	l.rnd.Shuffle(len(l.out), func(i, k int) { l.out[i], l.out[k] = l.out[k], l.out[i] })
	n := min(len(l.out), l.rnd.Intn(4))
	var ends []state.End
	for _, attempt := range l.out[:n] {
		ends = append(ends, state.End{Attempt: attempt, Outcome: state.OK})
	}
	l.out = l.out[n:]
	l.scheduler.Settle(ends)
	for _, end := range ends {
		l.landed(end)
	}
}

// counts gives how many tasks of each part are on a slot.
func (l *leadership) counts(s *placement.Slot) (list []int) {
	for job := range 6 {
		for step := range 2 {
			list = append(list, s.Count(placement.Part{Job: types.JobID(fmt.Sprint("job-", job)), Stage: types.StageOf(types.No(0, step, 0))}))
		}
	}
	return
}

// Whatever happens, slots kept from round to round are those of the full scan, and
// placement comes to the same with both.
func TestKeptSlotsAreThoseOfAFullScan(t *testing.T) {
	is := is.New(t)
	placed, healthy := 0, 0
	for seed := range int64(12) {
		l := newLeadership(seed)
		for range 400 {
			l.change()
			if l.rnd.Intn(3) == 0 {
				continue
			}
			got, total := l.slots.list(l.Controller)
			want, wantTotal := slotsAfresh(l.Controller)
			is.Equal(total, wantTotal)
			is.Equal(len(got), len(want))
			for i := range got {
				is.Equal(l.counts(&got[i]), l.counts(&want[i]))
				a, b := got[i], want[i]
				is.Equal([]any{a.Shard, a.Rack, a.Kinds, a.Labels, a.Free, a.Size, a.Busy, a.Bad, a.Slow, a.Now, a.Till, a.Clear},
					[]any{b.Shard, b.Rack, b.Kinds, b.Labels, b.Free, b.Size, b.Busy, b.Bad, b.Slow, b.Now, b.Till, b.Clear})
			}
			healthy += len(got)
			placed += len(l.placeBoth(is, got, want, total))
		}
	}
	t.Logf("%d slots compared, %d tasks placed", healthy, placed)
	is.True(healthy > 5000)
	is.True(placed > 5000)
}

// placeBoth places the same wants on both lists of slots.
func (l *leadership) placeBoth(is *is.I, got, want []placement.Slot, total types.Cores) []placement.Pick {
	input := func(slots []placement.Slot) placement.Input {
		in := placement.Input{Slots: slots, Total: total, Dues: map[types.Queue]*placement.Due{"q": {}}}
		in.Dues["q"].Row.Running, in.Dues["q"].Row.Weight = 100, 1
		for job := range 3 {
			in.Wants = append(in.Wants, placement.Want{Part: placement.Part{Job: types.JobID(fmt.Sprint("job-", job)), Stage: types.StageOf(types.No(0, 1, 0))}, Queue: "q", Kind: "x",
				Room: types.Room{Cores: 1000 * types.Cores(1+job), Memory: 100}, Tasks: []int{8, 9, 10}, Spread: 2 * (job % 2), Long: time.Second, Gang: job == 2})
		}
		return in
	}
	a, b := placement.Place(input(got)), placement.Place(input(slices.Clone(want)))
	is.Equal(a, b)
	return a.Picks
}
