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

func submitJob(t *testing.T, s *State, text string) *Job {
	s.mustApply(sec, Command{Job: &Submission{"j", readTestSpec(t, text)}})
	return s.Jobs["j"]
}

func readyTasks(s *State, j *Job, at types.ClusterTime) (list []int) {
	for _, b := range s.ReadyIndex(j, at).Stages {
		list = append(list, b.Tasks...)
	}
	return
}

func TestTimesRunSideBySideAndEachWaitsForItsOwn(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.mustApply(sec, Command{WallOffset: new(types.WallTime)})
	j := submitJob(t, s, `{"queue":"q","times":{"first_ms":5000,"every_ms":2000,"count":3},"steps":[{"name":"a","kind":"x"},{"name":"b","kind":"x","after":["a"]}]}`)
	is.Equal(j.TaskCount, 6)
	is.Equal(len(readyTasks(s, j, 4*sec)), 0)
	is.Equal(readyTasks(s, j, 5*sec), []int{types.TaskNumber(0, 0, 0)})
	is.Equal(readyTasks(s, j, 7*sec), []int{types.TaskNumber(0, 0, 0), types.TaskNumber(1, 0, 0)}) // the times may overlap
	s.mustApply(7*sec, Command{Assignments: assignTo(types.TaskNumber(1, 0, 0))})
	s.mustApply(8*sec, endOf(types.TaskNumber(1, 0, 0), 1, OutcomeOK))
	is.Equal(readyTasks(s, j, 8*sec), []int{types.TaskNumber(0, 0, 0), types.TaskNumber(1, 1, 0)}) // its own step a is done
	for _, n := range []int{types.TaskNumber(0, 0, 0), types.TaskNumber(0, 1, 0), types.TaskNumber(1, 1, 0), types.TaskNumber(2, 0, 0), types.TaskNumber(2, 1, 0)} {
		is.Equal(j.Status, JobOpen)
		s.mustApply(20*sec, Command{Assignments: assignTo(n)})
		s.mustApply(20*sec, endOf(n, 1, OutcomeOK))
	}
	is.Equal(j.Status, JobDone)
	is.Equal(len(s.mustApply(20*sec, Command{Assignments: assignTo(types.TaskNumber(3, 0, 0))})), 0) // there is no fourth time
}

func TestWhatLastsGoesAgainHoweverItEnds(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	j := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","lasts":true}]}`)
	for i, f := range []Outcome{OutcomeOK, OutcomeFailed, OutcomeFailed, OutcomeFailed, OutcomeLeaseExpired, OutcomeStopped, OutcomeWorkerExited, OutcomeOK} {
		at := types.ClusterTime(i+2) * 20 * sec
		is.Equal(len(s.mustApply(at, Command{Assignments: assignTo(0)})), 1)
		s.mustApply(at, endOf(0, i+1, f))
		is.Equal(j.Status, JobOpen)
	}
	s.mustApply(900*sec, Command{Cancel: "j"})
	is.Equal(j.Status, JobCancelled)
}

func TestAJointGangEndsAndFailsAsOne(t *testing.T) {
	is := is.New(t)
	text := `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":3,"gang":true,"joint":true}]}`
	gang := func(n int, attempt int) (list []Assignment) {
		for i := range n {
			list = append(list, Assignment{ID: types.AttemptID{TaskID: types.TaskID{Job: "j", Number: i}, Attempt: attempt}, Shard: "k"})
		}
		return
	}
	s := newTestState(t)
	j := submitJob(t, s, text)
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: gang(2, 1)})), 0) // whole or not at all
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: gang(3, 1)})), 3)
	s.mustApply(3*sec, endOf(1, 1, OutcomeFailed))
	is.Equal(len(j.ToStop()), 2) // the others are stopped
	s.mustApply(3*sec, endOf(0, 1, OutcomeFailed))
	s.mustApply(3*sec, endOf(2, 1, OutcomeStopped))
	is.Equal(j.Tasks[2].Failures, 1) // one failure of the gang, whoever tells it
	is.Equal(j.Status, JobOpen)
	attempts := s.mustApply(9*sec, Command{Assignments: gang(3, 2)})
	is.Equal(len(attempts), 3)
	for _, l := range attempts {
		is.Equal(l.ID.Attempt, 2) // all members have one number
	}
	s.mustApply(10*sec, endOf(2, 2, OutcomeOK)) // stands for all
	is.Equal(j.DoneTasks, 3)
	is.Equal(j.Status, JobEnding)
	s.mustApply(10*sec, endOf(0, 2, OutcomeOK))
	s.mustApply(10*sec, endOf(1, 2, OutcomeWorkerExited))
	is.Equal(j.Status, JobDone)

	s = newTestState(t)
	j = submitJob(t, s, text)
	for attempt := 1; attempt <= 2; attempt++ { // as many as the queue's tries
		at := types.ClusterTime(attempt) * 10 * sec
		s.mustApply(at, Command{Assignments: gang(3, attempt)})
		s.mustApply(at, endOf(0, attempt, OutcomeFailed))
		s.mustApply(at, endOf(1, attempt, OutcomeStopped))
		s.mustApply(at, endOf(2, attempt, OutcomeStopped))
	}
	is.Equal(j.Status, JobFailed)
}

func TestWhatWasSavedGoesWithTheNextAttempt(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	j := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":2,"gang":true,"joint":true,"keeps":true},{"name":"b","kind":"x"}]}`)
	s.mustApply(2*sec, Command{Assignments: []Assignment{{ID: attemptID(0, 1), Shard: "k"}, {ID: attemptID(1, 1), Shard: "k"}}})
	s.mustApply(3*sec, Command{Ends: []AttemptEnd{{ID: attemptID(0, 1), Outcome: OutcomeStopped, Checkpoint: "r1"}, {ID: attemptID(1, 1), Outcome: OutcomeLeaseExpired}}})
	is.Equal(j.Tasks[0].Checkpoint, "r1")
	is.Equal(j.Tasks[1].Checkpoint, "r1") // any member's is good for the gang
	b := types.TaskNumber(0, 1, 0)
	s.mustApply(4*sec, Command{Assignments: assignTo(b)})
	s.mustApply(5*sec, Command{Ends: []AttemptEnd{{ID: attemptID(b, 1), Outcome: OutcomeStopped, Checkpoint: "r2"}}})
	is.Equal(j.Task(b).Checkpoint, "") // it keeps nothing
}

func TestALapseIsTheLastWord(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	j := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	s.mustApply(2*sec, Command{Assignments: assignTo(0)})
	s.mustApply(3*sec, endOf(0, 1, OutcomeLeaseExpired))
	is.Equal(len(s.UnresolvedAttempts("k")), 0)
	is.True(j.Task(0).EndIsKnown(1, OutcomeOK))
	s.mustApply(3*sec, endOf(0, 1, OutcomeOK)) // told late: it does not count
	is.Equal(j.DoneTasks, 0)
	is.Equal(len(s.mustApply(4*sec, Command{Assignments: assignTo(0)})), 1)
	s.mustApply(4*sec, endOf(0, 1, OutcomeFailed))
	is.Equal(j.Task(0).Failures, 0)
	s.mustApply(5*sec, endOf(0, 2, OutcomeOK))
	is.Equal(j.Status, JobDone)
}

func TestTablesThatTheOperatorNumbers(t *testing.T) {
	is := is.New(t)
	s := newTestState(t) // version 1
	q := s.Table.Queues[0]
	next := func(base, becomes types.Version, orphans config.OrphanPolicy, rows ...config.Queue) *apierror.Error {
		_, bad := s.Apply(Command{Time: 9 * sec, Table: &config.Table{Version: base, RequestedVersion: becomes, Orphans: orphans, Queues: rows}})
		return bad
	}
	is.True(next(1, 7, "", q) == nil)
	is.Equal(int(s.Table.Version), 7)
	is.True(next(1, 7, "", q) == nil) // the same again
	is.Equal(next(1, 8, "", q).Kind, apierror.StaleVersion)
	is.Equal(next(7, 7, "", q).Kind, apierror.BadField)
	j := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	is.Equal(next(7, 9, "").Kind, apierror.QueueInUse)
	is.True(next(7, 9, config.FinishOrphans) == nil)
	_, ok := s.Table.FindQueue("q")
	is.True(!ok)
	row, ok := s.QueueConfig("q") // its jobs are finished by the last row
	is.True(ok)
	is.Equal(row.MaxFailures, 2)
	is.Equal(len(s.mustApply(10*sec, Command{Assignments: assignTo(0)})), 1)
	s.mustApply(11*sec, endOf(0, 1, OutcomeOK))
	is.Equal(j.Status, JobDone)
	is.True(next(9, 12, config.FinishOrphans) == nil)
	_, ok = s.QueueConfig("q")
	is.True(!ok)
	is.True(next(1, 7, "", q) == nil) // told the truth late: it was taken
	is.Equal(int(s.Table.Version), 12)
}

func TestTheLongestChainOfSteps(t *testing.T) {
	is := is.New(t)
	j := submitJob(t, newTestState(t), `{"queue":"q","steps":[{"name":"a","kind":"x","estimate_ms":400},{"name":"b","kind":"x","estimate_ms":600,"after":["a"]},{"name":"c","kind":"x","estimate_ms":100}]}`)
	cost := func(i int) time.Duration { return time.Duration(j.Spec.Steps[i].EstimateMillis) * time.Millisecond }
	for from, want := range map[int]time.Duration{-1: 1000, 0: 1000, 1: 600, 2: 100} {
		is.Equal(j.Spec.CriticalPath(from, cost), want*time.Millisecond)
	}
}

func TestACopyRunsBesideAndTheFirstGoodEndCounts(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	j := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","copies":true}]}`)
	twin := func(shard types.Shard) []Assignment {
		return []Assignment{{ID: attemptID(0, 0), Shard: shard, Hedge: true}}
	}
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: twin("m")})), 0) // there is no first yet
	s.mustApply(2*sec, Command{Assignments: assignTo(0)})
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: twin("k")})), 0) // not on the same worker
	is.Equal(s.mustApply(2*sec, Command{Assignments: twin("m")})[0].ID.Attempt, 2)
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: twin("l")})), 0) // one copy at a time
	s.mustApply(3*sec, endOf(0, 2, OutcomeLeaseExpired))
	is.True(!j.Task(0).EndIsKnown(1, OutcomeOK)) // the first is still out
	is.Equal(s.mustApply(3*sec, Command{Assignments: twin("l")})[0].ID.Attempt, 3)
	s.mustApply(4*sec, endOf(0, 1, OutcomeFailed))
	is.Equal(j.Task(0).Failures, 1)
	is.Equal(j.Task(0).Primary.Number, 3) // the copy goes on as the only one
	is.Equal(s.mustApply(4*sec, Command{Assignments: twin("m")})[0].ID.Attempt, 4)
	s.mustApply(5*sec, endOf(0, 4, OutcomeOK))
	is.Equal(j.ToStop(), []types.AttemptID{attemptID(0, 3)})
	s.mustApply(5*sec, endOf(0, 3, OutcomeStopped))
	is.Equal(j.Status, JobDone)

	s = newTestState(t)
	submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	s.mustApply(2*sec, Command{Assignments: assignTo(0)})
	is.Equal(len(s.mustApply(2*sec, Command{Assignments: twin("m")})), 0) // the step does not allow it
}

// A lost attempt of any step, at any time, is named as it was given out.
func TestDoubtsNameTheirTasks(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	s.mustApply(sec, Command{WallOffset: new(types.WallTime)})
	submitJob(t, s, `{"queue":"q","times":{"first_ms":0,"every_ms":0,"count":2},"steps":[{"name":"a","kind":"x"},{"name":"b","kind":"x","tasks":2}]}`)
	n := types.TaskNumber(1, 1, 1)
	s.mustApply(2*sec, Command{Assignments: assignTo(n)})
	s.mustApply(3*sec, endOf(n, 1, OutcomeLost))
	is.Equal(s.UnresolvedAttempts("k"), []types.AttemptID{attemptID(n, 1)})
	s.mustApply(4*sec, Command{ExitedWorker: "k"})
	is.Equal(len(s.UnresolvedAttempts("k")), 0)
}

// A task that loses its worker each time rests longer each time, also where the
// loss is first in doubt.
func TestLossesRestLongerEachTime(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	j := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`)
	at, rests := 2*sec, []time.Duration{}
	for n := 1; n <= 12; n++ {
		is.Equal(len(s.mustApply(at, Command{Assignments: assignTo(0)})), 1)
		if n%2 == 0 {
			s.mustApply(at, endOf(0, n, OutcomeLost))
		}
		s.mustApply(at, endOf(0, n, OutcomeWorkerExited))
		rests = append(rests, j.Tasks[0].ReadyAt.Sub(at))
		at = j.Tasks[0].ReadyAt
	}
	is.Equal(rests[0], 200*time.Millisecond)
	is.Equal(rests[1], 400*time.Millisecond)
	is.Equal(rests[7], 25600*time.Millisecond)
	is.Equal(rests[11], 5*time.Minute)
}
