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

const sec = types.Tick(time.Second)

func town(t *testing.T) *State {
	is := is.New(t)
	s := New()
	_, bad := s.Apply(Command{Tick: sec, Table: &config.Table{Rows: []config.Row{
		{Name: "q", Weight: 1, Running: 10, Waiting: 2, Tries: 2, TaskMS: 1000, Patience: 5000}}}})
	is.True(bad == nil)
	return s
}

func read(t *testing.T, text string) Spec {
	var h apierror.ErrorList
	s := ReadSpec([]byte(text), &h)
	if h.Err() != nil {
		t.Fatal(h.Err())
	}
	return s
}

func attempt(n, l int) types.Attempt {
	return types.Attempt{Task: types.Task{Job: "j", N: n}, Attempt: l}
}

func (s *State) must(at types.Tick, f Command) []Assignment {
	f.Tick = at
	attempts, _ := s.Apply(f)
	return attempts
}

func give(n int) []Assignment { return []Assignment{{Attempt: attempt(n, 0), Shard: "k"}} }
func end(n, l int, f Outcome) Command {
	return Command{Ends: []End{{Attempt: attempt(n, l), Outcome: f}}}
}

func TestAttemptNumbersAndTries(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":2}]}`)}})
	is.Equal(s.must(2*sec, Command{Attempts: give(0)})[0].Attempt.Attempt, 1)
	is.Equal(len(s.must(2*sec, Command{Attempts: give(0)})), 0) // one attempt at a time
	s.must(2*sec, end(0, 1, Bad))
	is.Equal(len(s.must(2*sec, Command{Attempts: give(0)})), 0) // it rests first
	is.Equal(s.must(9*sec, Command{Attempts: give(0)})[0].Attempt.Attempt, 2)
	s.must(9*sec, Command{Attempts: give(1)})
	s.must(9*sec, end(0, 2, Bad))
	j := s.Jobs["j"]
	is.Equal(j.State, Ending) // failed, but the other task still runs
	is.Equal(len(j.Doomed()), 1)
	s.must(10*sec, end(1, 1, Halted))
	is.Equal(j.State, Failed)
	is.Equal(s.Held("q"), 0)
}

func TestLateEndsOfLostAttempts(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	j := s.Jobs["j"]
	s.must(2*sec, Command{Attempts: give(0)})
	s.must(3*sec, end(0, 1, Lost))
	is.Equal(s.Doubts("k"), []types.Attempt{attempt(0, 1)})
	is.Equal(len(s.must(4*sec, Command{Attempts: give(0)})), 0) // within the queue's patience
	is.Equal(len(s.must(9*sec, Command{Attempts: give(0)})), 1) // past it
	s.must(9*sec, end(0, 1, Bad))
	is.Equal(j.Tasks[0].Fails, 1) // a failure told late counts
	s.must(9*sec, end(0, 1, Bad))
	is.Equal(j.Tasks[0].Fails, 1) // once
	s.must(10*sec, end(0, 2, Lost))
	s.must(17*sec, Command{Attempts: give(0)})
	s.must(18*sec, end(0, 2, OK)) // ended well after all: the newer attempt is stopped
	is.Equal(j.State, Ending)
	is.Equal(j.Doomed(), []types.Attempt{attempt(0, 3)})
	s.must(18*sec, end(0, 3, Halted))
	is.Equal(j.State, Done)
}

// A job whose tries are spent waits for a lost attempt that may have ended well,
// for as long as the queue's patience, and a new table's tries count at once.
func TestSpentTriesWaitForDoubt(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name string
		last End
		at   types.Tick
		want Stage
	}{
		{"it ended well", End{Attempt: attempt(0, 2), Outcome: OK}, 17 * sec, Done},
		{"it failed too", End{Attempt: attempt(0, 2), Outcome: Bad}, 17 * sec, Failed},
		{"too early to give up", End{Attempt: attempt(0, 2), Outcome: Waited}, 17 * sec, Open},
		{"nobody ever told", End{Attempt: attempt(0, 2), Outcome: Waited}, 30 * sec, Failed},
	} {
		s := town(t)
		row := s.Table.Rows[0]
		s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
		s.must(2*sec, Command{Attempts: give(0)})
		s.must(3*sec, end(0, 1, Lost))
		s.must(9*sec, Command{Attempts: give(0)})
		s.must(15*sec, end(0, 2, Lost))
		row.Tries = 1
		s.must(16*sec, Command{Table: &config.Table{Version: 1, Rows: []config.Row{row}}})
		s.must(16*sec, end(0, 1, Bad)) // told late: the only try is spent
		j := s.Jobs["j"]
		is.Equal(j.State, Open) // attempt 2 may have ended well
		is.Equal(len(s.must(29*sec, Command{Attempts: give(0)})), 0)
		is.Equal(len(j.Spent(row, 29*sec)), 1)
		s.Tick = c.at
		s.must(c.at, Command{Ends: []End{c.last}})
		is.Equal(j.State, c.want)
	}
}

// An attempt lost with its whole zone is waited for much longer.
func TestCutAttemptsWaitForTheLink(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.Table.Rows[0].CutMS = 3_600_000
	s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	s.must(2*sec, Command{Attempts: give(0)})
	s.must(3*sec, end(0, 1, Cut))
	is.Equal(len(s.must(600*sec, Command{Attempts: give(0)})), 0)
	s.must(601*sec, end(0, 1, OK)) // the link is back, and the end is told
	is.Equal(s.Jobs["j"].State, Done)
}

func TestGangBreaksAndGoesAgainAsOne(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":3,"gang":true}]}`)}})
	j := s.Jobs["j"]
	for n := range 3 {
		s.must(2*sec, Command{Attempts: give(n)})
	}
	s.must(3*sec, end(0, 1, OK))
	is.Equal(len(j.Doomed()), 0) // one that ended well leaves nobody alone
	s.must(3*sec, end(1, 1, Gone))
	is.Equal(j.Doomed(), []types.Attempt{attempt(2, 1)})
	s.must(3*sec, end(2, 1, Halted))
	is.Equal(len(j.Broken), 0)
	is.True(j.Tasks[0].Done) // and does not go again
}

func TestCancelIsKeptUntilNothingRuns(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	s.must(2*sec, Command{Attempts: give(0)})
	s.must(2*sec, Command{Cancel: "j"})
	is.Equal(s.Jobs["j"].State, Ending)
	is.Equal(len(s.must(3*sec, Command{Attempts: give(0)})), 0)
	s.must(3*sec, end(0, 1, Lost))
	is.Equal(s.Jobs["j"].State, Stopped)
	_, bad := s.Apply(Command{Tick: 4 * sec, Cancel: "j"})
	is.True(bad == nil) // again is fine
	_, bad = s.Apply(Command{Tick: 4 * sec, Cancel: "nobody"})
	is.Equal(bad.Kind, apierror.NoJob)
}

func TestTablesAreConditionalAndRepeatable(t *testing.T) {
	is := is.New(t)
	s := town(t)
	row := s.Table.Rows[0]
	row.Weight = 7
	mine := config.Table{Version: 1, Rows: []config.Row{row}}
	row.Weight = 9
	theirs := config.Table{Version: 1, Rows: []config.Row{row}}
	_, bad := s.Apply(Command{Tick: sec, Table: &mine})
	is.True(bad == nil)
	_, bad = s.Apply(Command{Tick: sec, Table: &theirs})
	is.Equal(bad.Kind, apierror.Stale) // the loser is told so
	theirs.Version = 2
	_, bad = s.Apply(Command{Tick: sec, Table: &theirs})
	is.True(bad == nil)
	_, bad = s.Apply(Command{Tick: sec, Table: &mine})
	is.True(bad == nil) // a repeat of what was taken is told the dispatch, however late
	is.Equal(s.Table.Version, types.Version(3))
	is.Equal(s.Table.Rows[0].Weight, 9) // and changes nothing
	s.must(sec, Command{Job: &Submit{"j", read(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)}})
	_, bad = s.Apply(Command{Tick: sec, Table: &config.Table{Version: 3, Rows: []config.Row{}}})
	is.Equal(bad.Kind, apierror.InUse)
	is.Equal(bad.Field, "queues[0].name")
}

func TestAcceptanceIsBoundedAndIdempotent(t *testing.T) {
	is := is.New(t)
	s := town(t)
	spec := read(t, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	for _, id := range []types.JobID{"a", "b", "a"} {
		_, bad := s.Apply(Command{Tick: sec, Job: &Submit{id, spec}})
		is.True(bad == nil)
	}
	_, bad := s.Apply(Command{Tick: sec, Job: &Submit{"c", spec}})
	is.Equal(bad.Kind, apierror.Full)
	spec.Urgency = 3
	_, bad = s.Apply(Command{Tick: sec, Job: &Submit{"a", spec}})
	is.Equal(bad.Kind, apierror.Conflict)
	s.Begin()
	s.must(sec, Command{Cancel: "a"}) // after the snapshot began
	again, err := Restore(s.Shoot(1 << 30))
	is.NoErr(err)
	is.Equal(again.Held("q"), 2)
	is.Equal(len(again.Live()), 2)
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
		is.Equal(h.First().Code(), 422)
	}
	for _, text := range []string{``, `{`, `{"queue":"q"}{}`, `{"queue":"q",}`, "\x00", `{"queue":"\ud800`} {
		var h apierror.ErrorList
		ReadSpec([]byte(text), &h)
		is.True(h.First() != nil)
		is.Equal(h.First().Code(), 400)
	}
	var h apierror.ErrorList
	is.Equal(len(ReadSpec([]byte(`[]`), &h).Steps), 0)
	is.Equal(h.First().Code(), 422)
}
