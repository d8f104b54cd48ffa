// The rules of jobs and tables, on the state alone.
package state

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

const sec = types.ClusterTime(time.Second)

func newTestState(t *testing.T) *State {
	is := is.New(t)
	s := New()
	_, bad := s.Apply(Command{Time: sec, Table: &config.Table{Queues: []config.Queue{
		{Name: "q", Weight: 1, MaxRunning: 10, MaxUnfinished: 2, MaxFailures: 2, TaskTimeoutMillis: 1000, UnresolvedTimeoutMillis: 5000}}}})
	is.True(bad == nil)
	return s
}

func readTestSpec(t *testing.T, text string) Spec {
	var h apierror.ErrorList
	s := ReadSpec([]byte(text), &h)
	if h.Err() != nil {
		t.Fatal(h.Err())
	}
	return s
}

func attemptID(number, attempt int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: "j", Number: number}, Attempt: attempt}
}

func (s *State) mustApply(at types.ClusterTime, f Command) []Assignment {
	f.Time = at
	attempts, _ := s.Apply(f)
	return attempts
}

func assignTo(n int) []Assignment { return []Assignment{{ID: attemptID(n, 0), Shard: "k"}} }
func endOf(n, l int, f Outcome) Command {
	return Command{Ends: []AttemptEnd{{ID: attemptID(n, l), Outcome: f}}}
}

func TestAttemptNumbersAndTries(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":2}]}`)}})
	is.Equal(s.mustApply(2*sec, Command{Assignments: assignTo(0)})[0].ID.Attempt, 1)
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: assignTo(0)})), 0) // one attempt at a time
	s.mustApply(2*sec, endOf(0, 1, OutcomeFailed))
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: assignTo(0)})), 0) // it rests first
	is.Equal(s.mustApply(9*sec, Command{Assignments: assignTo(0)})[0].ID.Attempt, 2)
	s.mustApply(9*sec, Command{Assignments: assignTo(1)})
	s.mustApply(9*sec, endOf(0, 2, OutcomeFailed))
	j := s.Jobs["j"]
	is.Equal(j.Status, JobEnding) // failed, but the other task still runs
	is.Equal(len(j.ToStop()), 1)
	s.mustApply(10*sec, endOf(1, 1, OutcomeStopped))
	is.Equal(j.Status, JobFailed)
	is.Equal(s.UnfinishedJobs("q"), 0)
}

func TestLateEndsOfLostAttempts(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	j := s.Jobs["j"]
	s.mustApply(2*sec, Command{Assignments: assignTo(0)})
	s.mustApply(3*sec, endOf(0, 1, OutcomeLost))
	is.Equal(s.UnresolvedAttempts("k"), []types.AttemptID{attemptID(0, 1)})
	is.Equal(len(s.mustApply(4*sec, Command{Assignments: assignTo(0)})), 0) // within the queue's patience
	is.Equal(len(s.mustApply(9*sec, Command{Assignments: assignTo(0)})), 1) // past it
	s.mustApply(9*sec, endOf(0, 1, OutcomeFailed))
	is.Equal(j.Tasks[0].Failures, 1) // a failure told late counts
	s.mustApply(9*sec, endOf(0, 1, OutcomeFailed))
	is.Equal(j.Tasks[0].Failures, 1) // once
	s.mustApply(10*sec, endOf(0, 2, OutcomeLost))
	s.mustApply(17*sec, Command{Assignments: assignTo(0)})
	s.mustApply(18*sec, endOf(0, 2, OutcomeOK)) // ended well after all: the newer attempt is stopped
	is.Equal(j.Status, JobEnding)
	is.Equal(j.ToStop(), []types.AttemptID{attemptID(0, 3)})
	s.mustApply(18*sec, endOf(0, 3, OutcomeStopped))
	is.Equal(j.Status, JobDone)
}

// A job whose tries are spent waits for a lost attempt that may have ended well,
// for as long as the queue's patience, and a new table's tries count at once.
func TestSpentTriesWaitForDoubt(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name string
		last AttemptEnd
		at   types.ClusterTime
		want JobStatus
	}{
		{"it ended well", AttemptEnd{ID: attemptID(0, 2), Outcome: OutcomeOK}, 17 * sec, JobDone},
		{"it failed too", AttemptEnd{ID: attemptID(0, 2), Outcome: OutcomeFailed}, 17 * sec, JobFailed},
		{"too early to give up", AttemptEnd{ID: attemptID(0, 2), Outcome: OutcomeWaitExpired}, 17 * sec, JobOpen},
		{"nobody ever told", AttemptEnd{ID: attemptID(0, 2), Outcome: OutcomeWaitExpired}, 30 * sec, JobFailed},
	} {
		s := newTestState(t)
		row := s.Table.Queues[0]
		s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
		s.mustApply(2*sec, Command{Assignments: assignTo(0)})
		s.mustApply(3*sec, endOf(0, 1, OutcomeLost))
		s.mustApply(9*sec, Command{Assignments: assignTo(0)})
		s.mustApply(15*sec, endOf(0, 2, OutcomeLost))
		row.MaxFailures = 1
		s.mustApply(16*sec, Command{Table: &config.Table{Version: 1, Queues: []config.Queue{row}}})
		s.mustApply(16*sec, endOf(0, 1, OutcomeFailed)) // told late: the only try is spent
		j := s.Jobs["j"]
		is.Equal(j.Status, JobOpen) // attempt 2 may have ended well
		is.Equal(len(s.mustApply(29*sec, Command{Assignments: assignTo(0)})), 0)
		is.Equal(len(j.Exhausted(row, 29*sec)), 1)
		s.Time = c.at
		s.mustApply(c.at, Command{Ends: []AttemptEnd{c.last}})
		is.Equal(j.Status, c.want)
	}
}

// An attempt lost with its whole zone is waited for much longer.
func TestCutAttemptsWaitForTheLink(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.Table.Queues[0].PartitionTimeoutMillis = 3_600_000
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	s.mustApply(2*sec, Command{Assignments: assignTo(0)})
	s.mustApply(3*sec, endOf(0, 1, OutcomePartitioned))
	is.Equal(len(s.mustApply(600*sec, Command{Assignments: assignTo(0)})), 0)
	s.mustApply(601*sec, endOf(0, 1, OutcomeOK)) // the link is back, and the end is told
	is.Equal(s.Jobs["j"].Status, JobDone)
}

func TestGangBreaksAndGoesAgainAsOne(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":3,"gang":true}]}`)}})
	j := s.Jobs["j"]
	for n := range 3 {
		s.mustApply(2*sec, Command{Assignments: assignTo(n)})
	}
	s.mustApply(3*sec, endOf(0, 1, OutcomeOK))
	is.Equal(len(j.ToStop()), 0) // one that ended well leaves nobody alone
	s.mustApply(3*sec, endOf(1, 1, OutcomeWorkerExited))
	is.Equal(j.ToStop(), []types.AttemptID{attemptID(2, 1)})
	s.mustApply(3*sec, endOf(2, 1, OutcomeStopped))
	is.Equal(len(j.BrokenGangs), 0)
	is.True(j.Tasks[0].Done) // and does not go again
}

func TestCancelIsKeptUntilNothingRuns(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	s.mustApply(2*sec, Command{Assignments: assignTo(0)})
	s.mustApply(2*sec, Command{Cancel: "j"})
	is.Equal(s.Jobs["j"].Status, JobEnding)
	is.Equal(len(s.mustApply(3*sec, Command{Assignments: assignTo(0)})), 0)
	s.mustApply(3*sec, endOf(0, 1, OutcomeLost))
	is.Equal(s.Jobs["j"].Status, JobCancelled)
	_, bad := s.Apply(Command{Time: 4 * sec, Cancel: "j"})
	is.True(bad == nil) // again is fine
	_, bad = s.Apply(Command{Time: 4 * sec, Cancel: "nobody"})
	is.Equal(bad.Kind, apierror.NoSuchJob)
}

func TestTablesAreConditionalAndRepeatable(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	row := s.Table.Queues[0]
	row.Weight = 7
	mine := config.Table{Version: 1, Queues: []config.Queue{row}}
	row.Weight = 9
	theirs := config.Table{Version: 1, Queues: []config.Queue{row}}
	_, bad := s.Apply(Command{Time: sec, Table: &mine})
	is.True(bad == nil)
	_, bad = s.Apply(Command{Time: sec, Table: &theirs})
	is.Equal(bad.Kind, apierror.StaleVersion) // the loser is told so
	theirs.Version = 2
	_, bad = s.Apply(Command{Time: sec, Table: &theirs})
	is.True(bad == nil)
	_, bad = s.Apply(Command{Time: sec, Table: &mine})
	is.True(bad == nil) // a repeat of what was taken is told the dispatch, however late
	is.Equal(s.Table.Version, types.Version(3))
	is.Equal(s.Table.Queues[0].Weight, 9) // and changes nothing
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	_, bad = s.Apply(Command{Time: sec, Table: &config.Table{Version: 3, Queues: []config.Queue{}}})
	is.Equal(bad.Kind, apierror.QueueInUse)
	is.Equal(bad.Field, "queues[0].name")
}

func TestAcceptanceIsBoundedAndIdempotent(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	spec := readTestSpec(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	for _, id := range []types.JobID{"a", "b", "a"} {
		_, bad := s.Apply(Command{Time: sec, Job: &Submission{id, spec}})
		is.True(bad == nil)
	}
	_, bad := s.Apply(Command{Time: sec, Job: &Submission{"c", spec}})
	is.Equal(bad.Kind, apierror.QueueFull)
	spec.Urgency = 3
	_, bad = s.Apply(Command{Time: sec, Job: &Submission{"a", spec}})
	is.Equal(bad.Kind, apierror.IDInUse)
	s.BeginSnapshot()
	s.mustApply(sec, Command{Cancel: "a"}) // after the snapshot began
	again, err := Restore(s.ContinueSnapshot(1 << 30))
	is.NoErr(err)
	is.Equal(again.UnfinishedJobs("q"), 2)
	is.Equal(len(again.LiveJobs()), 2)
}

func TestBadJobsAreToldByField(t *testing.T) {
	is := is.New(t)
	step := func(more string) string {
		return `{"queue":"q","steps":[{"name":"a","kind":"x"` + more + `}]}`
	}
	for text, field := range map[string]string{
		`{"steps":[{"name":"a","kind":"x"}]}`:                "queue",
		`{"queue":"q"}`:                                      "steps",
		`{"queue":"q","steps":[]}`:                           "steps",
		`{"queue":"q q","steps":[]}`:                         "queue",
		step(`,"tasks":0`):                                   "steps[0].tasks",
		step(`,"tasks":-4`):                                  "steps[0].tasks",
		step(`,"tasks":1e99`):                                "steps[0].tasks",
		step(`,"tasks":1.5`):                                 "steps[0].tasks",
		step(`,"room":{"cores":99999}`):                      "steps[0].room.cores",
		step(`,"room":{"gpus":1}`):                           "steps[0].room.gpus",
		step(`,"colour":1`):                                  "steps[0].colour",
		step(`,"kind":"y"`):                                  "steps[0].kind",
		step(`,"not_before":"soon"`):                         "steps[0].not_before",
		step(`,"after":["z"]`):                               "steps[0].after[0]",
		step(`,"after":["a"]`):                               "steps[0].after",
		step(`,"gang":"yes"`):                                "steps[0].gang",
		step(`},{"name":"a","kind":"x"`):                     "steps[1].name",
		step(`,"work":"` + strings.Repeat("x", 20000) + `"`): "steps[0].work",
	} {
		var h apierror.ErrorList
		ReadSpec([]byte(text), &h)
		is.True(h.First() != nil)
		is.Equal(h.First().Field, field)
		is.Equal(h.First().StatusCode(), 422)
	}
	for _, text := range []string{``, `{`, `{"queue":"q"}{}`, `{"queue":"q",}`, "\x00", `{"queue":"\ud800`} {
		var h apierror.ErrorList
		ReadSpec([]byte(text), &h)
		is.True(h.First() != nil)
		is.Equal(h.First().StatusCode(), 400)
	}
	var h apierror.ErrorList
	is.Equal(len(ReadSpec([]byte(`[]`), &h).Steps), 0)
	is.Equal(h.First().StatusCode(), 422)
}
