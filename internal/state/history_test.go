// Orders that come again, against a model that forgets nothing: a taken one is
// acknowledged or left unclear, never refused, over snapshots and restarts.
package state

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// order is a configuration as one operator sends it: on a base, under a number.
func order(base, number types.Version, weight int) config.Table {
	return config.Table{Version: base, RequestedVersion: number, Orphans: config.FinishOrphans,
		Queues: []config.Queue{{Name: "q", Weight: weight, MaxRunning: 10, MaxUnfinished: 2, MaxFailures: 2, TaskTimeoutMillis: 1000}}}
}

// restoredCopy is the state as a member has it that reads its snapshot back.
func restoredCopy(t *testing.T, s *State) *State {
	s.BeginSnapshot()
	again, err := Restore(s.ContinueSnapshot(1 << 30))
	is.New(t).NoErr(err)
	return again
}

func TestRepeatedOrdersAreNeverRefusedOnceTaken(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewSource(1))
	s := New()
	var taken, lost []config.Table
	unclear, acknowledged := 0, 0
	for n := range HistoryLimit + 500 {
		base := s.Table.Version
		number := base + 1 + types.Version(rnd.Intn(9))
		first, second := order(base, number, 1+rnd.Intn(1<<20)), order(base, number, 1+rnd.Intn(1<<20))
		_, bad := s.Apply(Command{Table: &first})
		is.True(bad == nil)
		_, bad = s.Apply(Command{Table: &second}) // another operator, the same number
		is.Equal(bad.Kind, apierror.StaleVersion)
		taken, lost = append(taken, first), append(lost, second)
		if n%1500 == 0 {
			s = restoredCopy(t, s)
		}
		i := rnd.Intn(len(taken))
		before := s.Table
		_, bad = s.Apply(Command{Table: &taken[i]})
		switch {
		case bad == nil:
			acknowledged++
		default:
			is.Equal(bad.Kind, apierror.OutcomeUnknown) // never refused
			is.True(len(taken)-i > HistoryLimit)
			unclear++
		}
		_, bad = s.Apply(Command{Table: &lost[i]})
		is.True(bad != nil) // it lost its race, and stays lost
		if len(taken)-i <= HistoryLimit {
			is.Equal(bad.Kind, apierror.StaleVersion)
		}
		is.Equal(s.Table.Version, before.Version)
		is.True(s.Table.SameContent(before))
	}
	for i, bad := range []*apierror.Error{s.CheckTable(taken[0]), s.CheckTable(taken[len(taken)-1])} {
		is.Equal(bad != nil && bad.Kind == apierror.OutcomeUnknown, i == 0)
	}
	is.True(acknowledged > HistoryLimit)
	is.True(unclear > 0)
}

// An invalid order on the version in force is refused, since no change of that
// number can have been taken.
func TestAnOrderNotAboveItsBaseIsRefused(t *testing.T) {
	is := is.New(t)
	s := New()
	first := order(0, 7, 1)
	_, bad := s.Apply(Command{Table: &first})
	is.True(bad == nil)
	is.Equal(s.CheckTable(order(7, 7, 1)).Kind, apierror.BadField)
	is.Equal(s.CheckTable(order(7, 3, 1)).Kind, apierror.BadField)
	is.Equal(s.CheckTable(order(3, 7, 2)).Kind, apierror.StaleVersion)
}

func TestHistoriesOfEarlierReleasesAreRead(t *testing.T) {
	is := is.New(t)
	read := func(n int) (h History) {
		text := "["
		for i := range n {
			text += fmt.Sprintf(`{"edition":%d,"hash":"%016x"},`, 5+i, 100+i)
		}
		is.NoErr(json.Unmarshal([]byte(text[:len(text)-1]+"]"), &h))
		return
	}
	few := read(3)
	is.True(few.contains(acceptedChange{6, 101}))
	is.True(!few.contains(acceptedChange{6, 102}))
	is.True(!few.mayHaveForgotten(4)) // there was nothing before
	full := read(listLimit)
	is.True(full.mayHaveForgotten(4)) // there may have been
	is.True(!full.mayHaveForgotten(5))
	b, err := json.Marshal(full)
	is.NoErr(err)
	var again History
	is.NoErr(json.Unmarshal(b, &again))
	is.Equal(again, full)
}

// A job is known by its id and by what its caller wrote, whatever the
// configuration has made of its route since.
func TestAJobSentAgainIsKnownUnderAnyConfiguration(t *testing.T) {
	is := is.New(t)
	spec := func(queue types.QueueName, kind types.ServiceKind, tasks int) Spec {
		s := Spec{Queue: queue, Steps: []Step{{Name: "s0", Kind: kind, Tasks: tasks}}}
		s.Request = s.RequestHash()
		return s
	}
	s := New()
	first := order(0, 1, 1)
	s.mustApply(sec, Command{Table: &first})
	s.mustApply(sec, Command{Job: &Submission{"j", spec("q", "red", 1)}})
	moved := order(1, 2, 1)
	moved.Queues[0].Name = "other" // the route is called otherwise, and served by others
	s.mustApply(2*sec, Command{Table: &moved})
	for _, s := range []*State{s, restoredCopy(t, s)} {
		known, bad := s.CheckJob("j", spec("other", "blue", 1))
		is.True(bad == nil)
		is.Equal(known.Queue, types.QueueName("q"))
		known, bad = s.CheckJob("j", spec("gone", "red", 1)) // a queue that is there no more
		is.True(bad == nil && known != nil)
		_, bad = s.CheckJob("j", spec("q", "red", 2))
		is.Equal(bad.Kind, apierror.IDInUse)
		repeat, bad := s.CheckCancel("j")
		is.True(!repeat && bad == nil) // and it may be cancelled
	}
	s.mustApply(3*sec, Command{Cancel: "j"})
	for _, at := range []types.ClusterTime{4 * sec, 3600 * sec, 23 * 3600 * sec} { // whole, and as a mark
		s.mustApply(at, Command{})
		for _, s := range []*State{s, restoredCopy(t, s)} {
			known, bad := s.CheckJob("j", spec("other", "blue", 1))
			is.True(bad == nil)
			is.Equal(known.Status, JobCancelled)
			repeat, bad := s.CheckCancel("j")
			is.True(repeat && bad == nil)
		}
	}
}
