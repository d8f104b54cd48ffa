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

var tombstoneCount = flag.Int("marks", 30_000, "how many jobs have ended in the day")

func quickJob(id string, n int) Command {
	return Command{Job: &Submission{types.JobID(id), Spec{Queue: "q", Steps: []Step{{Name: "a", Kind: "x", Resources: types.Resources{Cores: 1 * types.Core}, Tasks: n}}}}}
}

// finishJob takes a job in and ends it well.
func (s *State) finishJob(at types.ClusterTime, id string) {
	s.mustApply(at, quickJob(id, 1))
	l := types.AttemptID{TaskID: types.TaskID{Job: types.JobID(id)}}
	s.mustApply(at, Command{Assignments: []Assignment{{ID: l, Shard: "k"}}})
	l.Attempt = 1
	s.mustApply(at, Command{Ends: []AttemptEnd{{ID: l, Outcome: OutcomeOK}}})
}

func TestIdsAreRememberedForADay(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.finishJob(sec, "old")
	s.mustApply(sec, quickJob("halted", 1))
	s.mustApply(sec, Command{Cancel: "halted"})
	for _, c := range []struct {
		at    types.ClusterTime
		whole bool
		known bool
	}{{2 * sec, true, true}, {2 * 3600 * sec, false, true}, {23 * 3600 * sec, false, true}} {
		s.mustApply(c.at, Command{})
		is.Equal(s.Jobs["old"] != nil, c.whole)
		j, bad := s.CheckJob("old", quickJob("old", 1).Job.Spec)
		is.True(bad == nil)
		is.Equal(j.Status, JobDone)
		_, bad = s.CheckJob("old", quickJob("old", 2).Job.Spec)
		is.Equal(bad.Kind, apierror.IDInUse)
		_, bad = s.CheckCancel("old")
		is.Equal(bad.Kind, apierror.AlreadyEnded)
		again, bad := s.CheckCancel("halted")
		is.True(again && bad == nil)
	}
	s.tombstones.limit = s.TombstoneCount() + len(s.Jobs)
	_, bad := s.CheckJob("new", quickJob("new", 1).Job.Spec)
	is.Equal(bad.Kind, apierror.TooManyIDs) // refused rather than an old one forgotten
	is.True(bad.RetryAfterSeconds >= 60)
	for i := range 2 * tombstonesPerPage {
		s.tombstones.limit = TombstoneLimit
		s.finishJob(23*3600*sec, fmt.Sprint("fill", i))
	}
	s.mustApply(26*3600*sec, Command{})
	is.True(s.Find("fill1") != nil)
	s.mustApply(48*3600*sec, Command{})
	is.True(s.Find("old") == nil) // more than a day has passed
	is.True(s.TombstoneCount() < tombstonesPerPage)
}

// wholeSnapshot is the state as one list of parts, put together at once.
func wholeSnapshot(t *testing.T, s *State) []byte {
	t.Helper()
	s.BeginSnapshot()
	b := bytes.Join(s.ContinueSnapshot(1<<30), []byte("\n"))
	return b
}

func randomCommand(rnd *rand.Rand, s *State) Command {
	id := fmt.Sprint("j", rnd.Intn(40))
	task := func() types.AttemptID {
		l := types.AttemptID{TaskID: types.TaskID{Job: types.JobID(id), Number: rnd.Intn(4)}}
		if j := s.Jobs[l.Job]; j != nil && l.Number < len(j.Tasks) {
			l.Attempt = max(0, j.Tasks[l.Number].LastAttempt-rnd.Intn(2))
		}
		return l
	}
	switch rnd.Intn(10) {
	case 0, 1:
		f := quickJob(id, 1+rnd.Intn(4))
		f.Job.Spec.Steps[0].Gang = rnd.Intn(2) == 0
		f.Job.Spec.Steps = append(f.Job.Spec.Steps, Step{Name: "b", Kind: "x", Resources: types.Resources{Cores: 1 * types.Core}, Tasks: 1,
			DependsOn: []string{"a"}, DelayMillis: rnd.Intn(3000)})
		return f
	case 2:
		return Command{Cancel: types.JobID(id)}
	case 3:
		row := s.Table.Queues[0]
		row.MaxFailures = 1 + rnd.Intn(4)
		return Command{Table: &config.Table{Version: s.Table.Version, Queues: []config.Queue{row}}}
	case 4, 5, 6:
		return Command{Assignments: []Assignment{{ID: task(), Shard: "k"}, {ID: task(), Shard: "m", Hedge: rnd.Intn(2) == 0}}}
	}
	return Command{Ends: []AttemptEnd{{ID: task(), Outcome: []Outcome{OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeLost, OutcomePartitioned, OutcomeWorkerExited, OutcomeStopped, OutcomeNeverRan, OutcomeWaitExpired}[rnd.Intn(9)]}}}
}

func TestSnapshotsAndHeatAgainstTheSlowWay(t *testing.T) {
	is := is.New(t)
	for seed := range int64(30) {
		rnd := rand.New(rand.NewSource(seed))
		s := newTestState(t)
		s.Table.Queues[0].MaxUnfinished = 100
		var want []byte
		at := sec
		shots := 0
		for range 1500 {
			at = at.Add(time.Duration(rnd.Intn(400)) * time.Millisecond)
			s.mustApply(at, randomCommand(rnd, s))
			if rnd.Intn(60) == 0 && !s.SnapshotInProgress() {
				_, err := Restore([][]byte{})
				is.NoErr(err)
				copied, err := Restore(bytes.Split(wholeSnapshot(t, s), []byte("\n")))
				is.NoErr(err)
				want = wholeSnapshot(t, copied)
				s.BeginSnapshot()
			}
			if s.SnapshotInProgress() {
				if parts := s.ContinueSnapshot(400); parts != nil {
					shots++
					got, err := Restore(parts)
					is.NoErr(err)
					is.Equal(string(wholeSnapshot(t, got)), string(want)) // as it was when it began
				}
			}
			for _, j := range s.LiveJobs() {
				kept, afresh := *s.ReadyIndex(j, at), *computeReadyIndex(j, s.effectiveQueueConfig("q"), at, s.WallOffset)
				kept.validUntil, afresh.validUntil = 0, 0
				afresh.tableVersion = s.Table.Version
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
	s := newTestState(t)
	var from, to runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&from)
	for i := range *tombstoneCount {
		s.finishJob(types.ClusterTime(i)*types.ClusterTime(86_400*time.Second)/types.ClusterTime(*tombstoneCount), fmt.Sprintf("quotes-%08d", i))
	}
	runtime.GC()
	runtime.ReadMemStats(&to)
	began := time.Now()
	s.BeginSnapshot()
	steps := []time.Duration{time.Since(began)}
	first := steps[0]
	size := 0
	for s.SnapshotInProgress() {
		at := time.Now()
		for _, b := range s.ContinueSnapshot(64 << 10) {
			size += len(b)
		}
		steps = append(steps, time.Since(at))
	}
	at := time.Now()
	b := wholeSnapshot(t, s)
	once := time.Since(at)
	got, err := Restore(bytes.Split(b, []byte("\n")))
	is.NoErr(err)
	is.Equal(got.TombstoneCount(), s.TombstoneCount())
	is.Equal(got.TombstoneCount()+len(got.Jobs), *tombstoneCount)
	sort.Slice(steps, func(i, k int) bool { return steps[i] < steps[k] })
	t.Logf("%d ids of a day: %d MB of memory, %d MB of snapshot; %d steps, the first %s, median %s, longest %s; all at once %s; read back %s",
		*tombstoneCount, (to.HeapAlloc-from.HeapAlloc)>>20, size>>20, len(steps), first, steps[len(steps)/2], steps[len(steps)-1], once, time.Since(at)-once)
}

// One flooded queue leaves every other room for its first jobs.
func TestBudgetKeepsRoomForEveryQueue(t *testing.T) {
	is := is.New(t)
	s := New()
	rows := []config.Queue{}
	for i := range 10 {
		rows = append(rows, config.Queue{Name: types.QueueName(fmt.Sprint("q", i)), Weight: 1, MaxRunning: 1000, MaxUnfinished: 100_000, MaxFailures: 3, TaskTimeoutMillis: 1000})
	}
	_, bad := s.Apply(Command{Time: sec, Table: &config.Table{MaxTasks: 20_000, Queues: rows}})
	is.True(bad == nil)
	spec := quickJob("", 100).Job.Spec
	put := func(q string, i int) *apierror.Error {
		spec.Queue = types.QueueName(q)
		_, bad := s.Apply(Command{Time: sec, Job: &Submission{types.JobID(fmt.Sprint(q, "-", i)), spec}})
		return bad
	}
	n := 0
	for bad = nil; bad == nil; n++ {
		bad = put("q0", n)
	}
	is.Equal(bad.Kind, apierror.QueueFull)
	is.Equal(n-1, 110) // its own tenth of one half, and the whole other half
	for i := 1; i < 10; i++ {
		for k := range 10 {
			is.True(put(fmt.Sprint("q", i), k) == nil)
		}
		is.True(put(fmt.Sprint("q", i), 10) != nil)
	}
}
