package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// readyTasks returns the numbers of all ready tasks.
func readyTasks(s *State, job *Job, at types.ClusterTime) (list []int) {
	for _, stage := range s.ReadyIndex(job, at).Stages {
		list = append(list, stage.Tasks...)
	}
	return list
}

// Occurrences may overlap, and each waits only for its own dependencies.
func TestOccurrencesAreIndependent(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	apply(s, sec, Command{WallOffset: new(types.WallTime)})
	job := submitJob(t, s, `{"queue":"q","times":{"first_ms":5000,"every_ms":2000,"count":3},"steps":[
		{"name":"a","kind":"x"},{"name":"b","kind":"x","after":["a"]}]}`)
	a := []int{types.TaskNumber(0, 0, 0), types.TaskNumber(1, 0, 0), types.TaskNumber(2, 0, 0)}
	b := []int{types.TaskNumber(0, 1, 0), types.TaskNumber(1, 1, 0), types.TaskNumber(2, 1, 0)}
	is.Equal(job.TaskCount, 6)
	is.Equal(len(readyTasks(s, job, 4*sec)), 0)
	is.Equal(readyTasks(s, job, 5*sec), []int{a[0]})
	is.Equal(readyTasks(s, job, 7*sec), []int{a[0], a[1]})
	assign(s, 7*sec, a[1])
	end(s, 8*sec, a[1], 1, OutcomeOK)
	is.Equal(readyTasks(s, job, 8*sec), []int{a[0], b[1]}) // step a of its own occurrence is done
	for _, number := range []int{a[0], b[0], b[1], a[2], b[2]} {
		is.Equal(job.Status, JobOpen)
		assign(s, 20*sec, number)
		end(s, 20*sec, number, 1, OutcomeOK)
	}
	is.Equal(job.Status, JobDone)
	is.Equal(len(assign(s, 20*sec, types.TaskNumber(3, 0, 0))), 0) // there is no fourth occurrence
}

// TestTimesFarInTheFutureAreNotDue guards against an early start: due times after the year 2262
// overflowed and counted as past.
func TestTimesFarInTheFutureAreNotDue(t *testing.T) {
	for name, document := range map[string]string{
		"first occurrence in 9999": `{"queue":"q","times":{"first_ms":253402300799000,"every_ms":0,"count":1},
			"steps":[{"name":"a","kind":"x"}]}`,
		"latest first occurrence": `{"queue":"q",
			"times":{"first_ms":9007199254740992,"every_ms":1099511627776,"count":9},
			"steps":[{"name":"a","kind":"x"}]}`,
		"not before 9999": `{"queue":"q","steps":[{"name":"a","kind":"x","not_before":"9999-12-31T23:59:59Z"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState(t)
			offset := types.WallTime(1_800_000_000 * sec)
			apply(s, sec, Command{WallOffset: &offset})
			job := submitJob(t, s, document)
			is.Equal(len(readyTasks(s, job, 1000*sec)), 0)
		})
	}
}

// The later occurrences of a job with many of them are not due before the first ones.
func TestLaterOccurrencesAreNotDueEarly(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	offset := types.WallTime(1_800_000_000 * sec)
	apply(s, sec, Command{WallOffset: &offset})
	const monthMillis = 2_600_000_000
	job := submitJob(t, s, fmt.Sprintf(`{"queue":"q","times":{"first_ms":1800000001000,"every_ms":%d,"count":10000},
		"steps":[{"name":"a","kind":"x"}]}`, monthMillis))
	is.Equal(len(readyTasks(s, job, 10*sec)), 1)
}

// A time in the distant past is over.
func TestNotBeforeDistantPastIsDue(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	apply(s, sec, Command{WallOffset: new(types.WallTime)})
	job := submitJob(t, s, `{"queue":"q","steps":[{"name":"a","kind":"x","not_before":"0001-01-01T00:00:00Z"}]}`)
	is.Equal(len(readyTasks(s, job, 2*sec)), 1)
}
