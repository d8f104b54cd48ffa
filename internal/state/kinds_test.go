// The sorts of job that the users' services have: at many times, lasting, joint
// gangs, with progress kept, of workers whose lapse is the last word; and tables
// that the operator numbers.
package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

func put(t *testing.T, s *State, text string) *Job {
	s.must(sec, Command{Job: &Submit{"j", read(t, text)}})
	return s.Jobs["j"]
}

func batches(s *State, j *Job, at types.Tick) (list []int) {
	for _, b := range s.ReadyIndex(j, at).Batches {
		list = append(list, b.Tasks...)
	}
	return
}

func TestTimesRunSideBySideAndEachWaitsForItsOwn(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.must(sec, Command{Off: new(types.Wall)})
	j := put(t, s, `{"queue":"q","times":{"first_ms":5000,"every_ms":2000,"count":3},"steps":[{"name":"a","kind":"x"},{"name":"b","kind":"x","after":["a"]}]}`)
	is.Equal(j.Size, 6)
	is.Equal(len(batches(s, j, 4*sec)), 0)
	is.Equal(batches(s, j, 5*sec), []int{types.No(0, 0, 0)})
	is.Equal(batches(s, j, 7*sec), []int{types.No(0, 0, 0), types.No(1, 0, 0)}) // the times may overlap
	s.must(7*sec, Command{Attempts: give(types.No(1, 0, 0))})
	s.must(8*sec, end(types.No(1, 0, 0), 1, OK))
	is.Equal(batches(s, j, 8*sec), []int{types.No(0, 0, 0), types.No(1, 1, 0)}) // its own step a is done
	for _, n := range []int{types.No(0, 0, 0), types.No(0, 1, 0), types.No(1, 1, 0), types.No(2, 0, 0), types.No(2, 1, 0)} {
		is.Equal(j.State, Open)
		s.must(20*sec, Command{Attempts: give(n)})
		s.must(20*sec, end(n, 1, OK))
	}
	is.Equal(j.State, Done)
	is.Equal(len(s.must(20*sec, Command{Attempts: give(types.No(3, 0, 0))})), 0) // there is no fourth time
}

func TestWhatLastsGoesAgainHoweverItEnds(t *testing.T) {
	is := is.New(t)
	s := town(t)
	j := put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","lasts":true}]}`)
	for i, f := range []Outcome{OK, Bad, Bad, Bad, Lapsed, Halted, Gone, OK} {
		at := types.Tick(i+2) * 20 * sec
		is.Equal(len(s.must(at, Command{Attempts: give(0)})), 1)
		s.must(at, end(0, i+1, f))
		is.Equal(j.State, Open)
	}
	s.must(900*sec, Command{Cancel: "j"})
	is.Equal(j.State, Stopped)
}

func TestAJointGangEndsAndFailsAsOne(t *testing.T) {
	is := is.New(t)
	text := `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":3,"gang":true,"joint":true}]}`
	gang := func(n int, attempt int) (list []Assignment) {
		for i := range n {
			list = append(list, Assignment{Attempt: types.Attempt{Task: types.Task{Job: "j", N: i}, Attempt: attempt}, Shard: "k"})
		}
		return
	}
	s := town(t)
	j := put(t, s, text)
	is.Equal(len(s.must(2*sec, Command{Attempts: gang(2, 1)})), 0) // whole or not at all
	is.Equal(len(s.must(2*sec, Command{Attempts: gang(3, 1)})), 3)
	s.must(3*sec, end(1, 1, Bad))
	is.Equal(len(j.Doomed()), 2) // the others are stopped
	s.must(3*sec, end(0, 1, Bad))
	s.must(3*sec, end(2, 1, Halted))
	is.Equal(j.Tasks[2].Fails, 1) // one failure of the gang, whoever tells it
	is.Equal(j.State, Open)
	attempts := s.must(9*sec, Command{Attempts: gang(3, 2)})
	is.Equal(len(attempts), 3)
	for _, l := range attempts {
		is.Equal(l.Attempt.Attempt, 2) // all members have one number
	}
	s.must(10*sec, end(2, 2, OK)) // stands for all
	is.Equal(j.Fine, 3)
	is.Equal(j.State, Ending)
	s.must(10*sec, end(0, 2, OK))
	s.must(10*sec, end(1, 2, Gone))
	is.Equal(j.State, Done)

	s = town(t)
	j = put(t, s, text)
	for attempt := 1; attempt <= 2; attempt++ { // as many as the queue's tries
		at := types.Tick(attempt) * 10 * sec
		s.must(at, Command{Attempts: gang(3, attempt)})
		s.must(at, end(0, attempt, Bad))
		s.must(at, end(1, attempt, Halted))
		s.must(at, end(2, attempt, Halted))
	}
	is.Equal(j.State, Failed)
}

func TestWhatWasSavedGoesWithTheNextAttempt(t *testing.T) {
	is := is.New(t)
	s := town(t)
	j := put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":2,"gang":true,"joint":true,"keeps":true},{"name":"b","kind":"x"}]}`)
	s.must(2*sec, Command{Attempts: []Assignment{{Attempt: attempt(0, 1), Shard: "k"}, {Attempt: attempt(1, 1), Shard: "k"}}})
	s.must(3*sec, Command{Ends: []End{{Attempt: attempt(0, 1), Outcome: Halted, Ref: "r1"}, {Attempt: attempt(1, 1), Outcome: Lapsed}}})
	is.Equal(j.Tasks[0].Ref, "r1")
	is.Equal(j.Tasks[1].Ref, "r1") // any member's is good for the gang
	b := types.No(0, 1, 0)
	s.must(4*sec, Command{Attempts: give(b)})
	s.must(5*sec, Command{Ends: []End{{Attempt: attempt(b, 1), Outcome: Halted, Ref: "r2"}}})
	is.Equal(j.Task(b).Ref, "") // it keeps nothing
}

func TestALapseIsTheLastWord(t *testing.T) {
	is := is.New(t)
	s := town(t)
	j := put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	s.must(2*sec, Command{Attempts: give(0)})
	s.must(3*sec, end(0, 1, Lapsed))
	is.Equal(len(s.Doubts("k")), 0)
	is.True(j.Task(0).Knows(1, OK))
	s.must(3*sec, end(0, 1, OK)) // told late: it does not count
	is.Equal(j.Fine, 0)
	is.Equal(len(s.must(4*sec, Command{Attempts: give(0)})), 1)
	s.must(4*sec, end(0, 1, Bad))
	is.Equal(j.Task(0).Fails, 0)
	s.must(5*sec, end(0, 2, OK))
	is.Equal(j.State, Done)
}

func TestTablesThatTheOperatorNumbers(t *testing.T) {
	is := is.New(t)
	s := town(t) // version 1
	q := s.Table.Rows[0]
	next := func(base, becomes types.Version, orphans config.Orphans, rows ...config.Row) *apierror.Error {
		_, bad := s.Apply(Command{Tick: 9 * sec, Table: &config.Table{Version: base, Becomes: becomes, Orphans: orphans, Rows: rows}})
		return bad
	}
	is.True(next(1, 7, "", q) == nil)
	is.Equal(int(s.Table.Version), 7)
	is.True(next(1, 7, "", q) == nil) // the same again
	is.Equal(next(1, 8, "", q).Kind, apierror.Stale)
	is.Equal(next(7, 7, "", q).Kind, apierror.BadField)
	j := put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	is.Equal(next(7, 9, "").Kind, apierror.InUse)
	is.True(next(7, 9, config.Finish) == nil)
	_, ok := s.Table.Find("q")
	is.True(!ok)
	row, ok := s.Row("q") // its jobs are finished by the last row
	is.True(ok)
	is.Equal(row.Tries, 2)
	is.Equal(len(s.must(10*sec, Command{Attempts: give(0)})), 1)
	s.must(11*sec, end(0, 1, OK))
	is.Equal(j.State, Done)
	is.True(next(9, 12, config.Finish) == nil)
	_, ok = s.Row("q")
	is.True(!ok)
	is.True(next(1, 7, "", q) == nil) // told the truth late: it was taken
	is.Equal(int(s.Table.Version), 12)
}

func TestTheLongestChainOfSteps(t *testing.T) {
	is := is.New(t)
	j := put(t, town(t), `{"queue":"q","steps":[{"name":"a","kind":"x","estimate_ms":400},{"name":"b","kind":"x","estimate_ms":600,"after":["a"]},{"name":"c","kind":"x","estimate_ms":100}]}`)
	cost := func(i int) time.Duration { return time.Duration(j.Spec.Steps[i].Estimate) * ms }
	for from, want := range map[int]time.Duration{-1: 1000, 0: 1000, 1: 600, 2: 100} {
		is.Equal(j.Spec.Chain(from, cost), want*ms)
	}
}

func TestACopyRunsBesideAndTheFirstGoodEndCounts(t *testing.T) {
	is := is.New(t)
	s := town(t)
	j := put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","copies":true}]}`)
	twin := func(shard types.Shard) []Assignment {
		return []Assignment{{Attempt: attempt(0, 0), Shard: shard, Copy: true}}
	}
	is.Equal(len(s.must(2*sec, Command{Attempts: twin("m")})), 0) // there is no first yet
	s.must(2*sec, Command{Attempts: give(0)})
	is.Equal(len(s.must(2*sec, Command{Attempts: twin("k")})), 0) // not on the same worker
	is.Equal(s.must(2*sec, Command{Attempts: twin("m")})[0].Attempt.Attempt, 2)
	is.Equal(len(s.must(2*sec, Command{Attempts: twin("l")})), 0) // one copy at a time
	s.must(3*sec, end(0, 2, Lapsed))
	is.True(!j.Task(0).Knows(1, OK)) // the first is still out
	is.Equal(s.must(3*sec, Command{Attempts: twin("l")})[0].Attempt.Attempt, 3)
	s.must(4*sec, end(0, 1, Bad))
	is.Equal(j.Task(0).Fails, 1)
	is.Equal(j.Task(0).Out.Attempt, 3) // the copy goes on as the only one
	is.Equal(s.must(4*sec, Command{Attempts: twin("m")})[0].Attempt.Attempt, 4)
	s.must(5*sec, end(0, 4, OK))
	is.Equal(j.Doomed(), []types.Attempt{attempt(0, 3)})
	s.must(5*sec, end(0, 3, Halted))
	is.Equal(j.State, Done)

	s = town(t)
	put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	s.must(2*sec, Command{Attempts: give(0)})
	is.Equal(len(s.must(2*sec, Command{Attempts: twin("m")})), 0) // the step does not allow it
}

// A lost attempt of any step, at any time, is named as it was given out.
func TestDoubtsNameTheirTasks(t *testing.T) {
	is := is.New(t)
	s := town(t)
	s.must(sec, Command{Off: new(types.Wall)})
	put(t, s, `{"queue":"q","times":{"first_ms":0,"every_ms":0,"count":2},"steps":[{"name":"a","kind":"x"},{"name":"b","kind":"x","tasks":2}]}`)
	n := types.No(1, 1, 1)
	s.must(2*sec, Command{Attempts: give(n)})
	s.must(3*sec, end(n, 1, Lost))
	is.Equal(s.Doubts("k"), []types.Attempt{attempt(n, 1)})
	s.must(4*sec, Command{Gone: "k"})
	is.Equal(len(s.Doubts("k")), 0)
}

// A task that loses its worker each time rests longer each time, also where the
// loss is first in doubt.
func TestLossesRestLongerEachTime(t *testing.T) {
	is := is.New(t)
	s := town(t)
	j := put(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	at, rests := 2*sec, []time.Duration{}
	for n := 1; n <= 12; n++ {
		is.Equal(len(s.must(at, Command{Attempts: give(0)})), 1)
		if n%2 == 0 {
			s.must(at, end(0, n, Lost))
		}
		s.must(at, end(0, n, Gone))
		rests = append(rests, j.Tasks[0].Ready.Sub(at))
		at = j.Tasks[0].Ready
	}
	is.Equal(rests[0], 200*ms)
	is.Equal(rests[1], 400*ms)
	is.Equal(rests[7], 25600*ms)
	is.Equal(rests[11], 5*time.Minute)
}
