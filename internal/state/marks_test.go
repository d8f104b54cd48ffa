// Marks, snapshots and what may start, against slower ways to the same answer;
// and the measure of a day's marks: go test ./store -run Day -v -args -marks 720000
package state

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

var count = flag.Int("marks", 30_000, "how many jobs have ended in the day")

func quick(id string, n int) Command {
	return Command{Job: &Submit{types.JobID(id), Spec{Queue: "q", Steps: []Step{{Name: "a", Kind: "x", Room: types.Room{Cores: 1 * types.Core}, Tasks: n}}}}}
}

// finish takes a job in and ends it well.
func (s *State) finish(at types.Tick, id string) {
	s.must(at, quick(id, 1))
	l := types.Attempt{Task: types.Task{Job: types.JobID(id)}}
	s.must(at, Command{Attempts: []Assignment{{Attempt: l, Shard: "k"}}})
	l.Attempt = 1
	s.must(at, Command{Ends: []End{{Attempt: l, Outcome: OK}}})
}

func TestIdsAreRememberedForADay(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.finish(sec, "old")
	s.must(sec, quick("halted", 1))
	s.must(sec, Command{Cancel: "halted"})
	for _, c := range []struct {
		at    types.Tick
		whole bool
		known bool
	}{{2 * sec, true, true}, {2 * 3600 * sec, false, true}, {23 * 3600 * sec, false, true}} {
		s.must(c.at, Command{})
		is.Equal(s.Jobs["old"] != nil, c.whole)
		j, bad := s.CheckJob("old", quick("old", 1).Job.Spec)
		is.True(bad == nil)
		is.Equal(j.State, Done)
		_, bad = s.CheckJob("old", quick("old", 2).Job.Spec)
		is.Equal(bad.Kind, apierror.Conflict)
		_, bad = s.CheckCancel("old")
		is.Equal(bad.Kind, apierror.Ended)
		again, bad := s.CheckCancel("halted")
		is.True(again && bad == nil)
	}
	s.tombstones.limit = s.Tombstones() + len(s.Jobs)
	_, bad := s.CheckJob("new", quick("new", 1).Job.Spec)
	is.Equal(bad.Kind, apierror.Kept) // refused rather than an old one forgotten
	is.True(bad.Retry >= 60)
	for i := range 2 * tombstonesPerPage {
		s.tombstones.limit = TombstoneLimit
		s.finish(23*3600*sec, fmt.Sprint("fill", i))
	}
	s.must(26*3600*sec, Command{})
	is.True(s.Find("fill1") != nil)
	s.must(48*3600*sec, Command{})
	is.True(s.Find("old") == nil) // more than a day has passed
	is.True(s.Tombstones() < tombstonesPerPage)
}

// whole is the state as one list of parts, put together at once.
func whole(t *testing.T, s *State) []byte {
	t.Helper()
	s.Begin()
	b := bytes.Join(s.Shoot(1<<30), []byte("\n"))
	return b
}

func anyFact(rnd *rand.Rand, s *State) Command {
	id := fmt.Sprint("j", rnd.Intn(40))
	task := func() types.Attempt {
		l := types.Attempt{Task: types.Task{Job: types.JobID(id), N: rnd.Intn(4)}}
		if j := s.Jobs[l.Job]; j != nil && l.N < len(j.Tasks) {
			l.Attempt = max(0, j.Tasks[l.N].Attempt-rnd.Intn(2))
		}
		return l
	}
	switch rnd.Intn(10) {
	case 0, 1:
		f := quick(id, 1+rnd.Intn(4))
		f.Job.Spec.Steps[0].Gang = rnd.Intn(2) == 0
		f.Job.Spec.Steps = append(f.Job.Spec.Steps, Step{Name: "b", Kind: "x", Room: types.Room{Cores: 1 * types.Core}, Tasks: 1,
			After: []string{"a"}, Delay: rnd.Intn(3000)})
		return f
	case 2:
		return Command{Cancel: types.JobID(id)}
	case 3:
		row := s.Table.Rows[0]
		row.Tries = 1 + rnd.Intn(4)
		return Command{Table: &config.Table{Version: s.Table.Version, Rows: []config.Row{row}}}
	case 4, 5, 6:
		return Command{Attempts: []Assignment{{Attempt: task(), Shard: "k"}, {Attempt: task(), Shard: "m", Copy: rnd.Intn(2) == 0}}}
	}
	return Command{Ends: []End{{Attempt: task(), Outcome: []Outcome{OK, OK, Bad, Lost, Cut, Gone, Halted, Unrun, Waited}[rnd.Intn(9)]}}}
}

func TestSnapshotsAndHeatAgainstTheSlowWay(t *testing.T) {
	is := is.New(t)
	for seed := range int64(30) {
		rnd := rand.New(rand.NewSource(seed))
		s := town(t)
		s.Table.Rows[0].Waiting = 100
		var want []byte
		at := sec
		shots := 0
		for range 1500 {
			at = at.Add(time.Duration(rnd.Intn(400)) * time.Millisecond)
			s.must(at, anyFact(rnd, s))
			if rnd.Intn(60) == 0 && !s.Shooting() {
				_, err := Restore([][]byte{})
				is.NoErr(err)
				copied, err := Restore(bytes.Split(whole(t, s), []byte("\n")))
				is.NoErr(err)
				want = whole(t, copied)
				s.Begin()
			}
			if s.Shooting() {
				if parts := s.Shoot(400); parts != nil {
					shots++
					got, err := Restore(parts)
					is.NoErr(err)
					is.Equal(string(whole(t, got)), string(want)) // as it was when it began
				}
			}
			for _, j := range s.Live() {
				kept, afresh := *s.ReadyIndex(j, at), *j.heat(s.row("q"), at, s.Off)
				kept.until, afresh.until = 0, 0
				is.Equal(fmt.Sprint(kept), fmt.Sprint(afresh))
			}
		}
		is.True(shots > 5)
	}
}

// A day's marks: memory, the snapshot's size, and how long any one step of
// putting it together takes. Times are told, not judged.
func TestADayOfMarks(t *testing.T) {
	is := is.New(t)
	s := town(t)
	var from, to runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&from)
	for i := range *count {
		s.finish(types.Tick(i)*types.Tick(86_400*time.Second)/types.Tick(*count), fmt.Sprintf("quotes-%08d", i))
	}
	runtime.GC()
	runtime.ReadMemStats(&to)
	began := time.Now()
	s.Begin()
	steps := []time.Duration{time.Since(began)}
	first := steps[0]
	size := 0
	for s.Shooting() {
		at := time.Now()
		for _, b := range s.Shoot(64 << 10) {
			size += len(b)
		}
		steps = append(steps, time.Since(at))
	}
	at := time.Now()
	b := whole(t, s)
	once := time.Since(at)
	got, err := Restore(bytes.Split(b, []byte("\n")))
	is.NoErr(err)
	is.Equal(got.Tombstones(), s.Tombstones())
	is.Equal(got.Tombstones()+len(got.Jobs), *count)
	sort.Slice(steps, func(i, k int) bool { return steps[i] < steps[k] })
	t.Logf("%d ids of a day: %d MB of memory, %d MB of snapshot; %d steps, the first %s, median %s, longest %s; all at once %s; read back %s",
		*count, (to.HeapAlloc-from.HeapAlloc)>>20, size>>20, len(steps), first, steps[len(steps)/2], steps[len(steps)-1], once, time.Since(at)-once)
}

// One flooded queue leaves every other room for its first jobs.
func TestBudgetKeepsRoomForEveryQueue(t *testing.T) {
	is := is.New(t)
	s := New()
	rows := []config.Row{}
	for i := range 10 {
		rows = append(rows, config.Row{Name: types.Queue(fmt.Sprint("q", i)), Weight: 1, Running: 1000, Waiting: 100_000, Tries: 3, TaskMS: 1000})
	}
	_, bad := s.Apply(Command{Tick: sec, Table: &config.Table{Tasks: 20_000, Rows: rows}})
	is.True(bad == nil)
	spec := quick("", 100).Job.Spec
	put := func(q string, i int) *apierror.Error {
		spec.Queue = types.Queue(q)
		_, bad := s.Apply(Command{Tick: sec, Job: &Submit{types.JobID(fmt.Sprint(q, "-", i)), spec}})
		return bad
	}
	n := 0
	for bad = nil; bad == nil; n++ {
		bad = put("q0", n)
	}
	is.Equal(bad.Kind, apierror.Full)
	is.Equal(n-1, 110) // its own tenth of one half, and the whole other half
	for i := 1; i < 10; i++ {
		for k := range 10 {
			is.True(put(fmt.Sprint("q", i), k) == nil)
		}
		is.True(put(fmt.Sprint("q", i), 10) != nil)
	}
}
