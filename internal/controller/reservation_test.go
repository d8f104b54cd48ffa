package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Workload of the tests below: small jobs that arrive for as long as the test runs, and gangs of
// one task for each of the six workers of 16 cores.
const (
	smallJobInterval = 500 * time.Millisecond
	smallJobDuration = 6 * time.Second
	gangDuration     = 6 * time.Second
	// maxSmallJobWait is within the 3 s for which a job for which there is room may have nothing running.
	maxSmallJobWait = 2 * time.Second
)

// forTimeLimits runs a test with a time limit that ends attempts soon, and with one that does not.
func forTimeLimits(t *testing.T, test func(is *is.I, w *workloadRig)) {
	t.Helper()
	for _, limit := range []time.Duration{time.Minute, 24 * time.Hour} {
		t.Run(limit.String(), func(t *testing.T) { test(is.New(t), newWorkloadRig(t, limit)) })
	}
}

// workloadGang returns a gang of one task for each worker.
func workloadGang(cores int) state.Step {
	gang := workloadStep(6, 1)
	gang.Resources = gang.Resources.Scale(cores)
	gang.Resources.MemoryMB = 100
	gang.Gang, gang.MaxPerWorker = true, 1
	return gang
}

// lastingStep returns a step of one task on each worker.
func lastingStep(cores int) state.Step {
	step := workloadGang(cores)
	step.Gang = false
	return step
}

// runWithSmallJobs runs the rig while a job of one task of one core arrives every smallJobInterval.
func (w *workloadRig) runWithSmallJobs(duration time.Duration) {
	w.t.Helper()
	next := time.Duration(0)
	w.run(duration, func(elapsed time.Duration) {
		if elapsed >= next {
			w.add("small", workloadStep(1, 1), smallJobDuration)
			next += smallJobInterval
		}
	})
}

// TestGangWithoutRoomBesideLastingTasksBlocksNoOthers guards against a gang that reserves the room of
// tasks that last: it waited for them without an end, and no other job was started any more although
// more than half of all room was idle.
func TestGangWithoutRoomBesideLastingTasksBlocksNoOthers(t *testing.T) {
	forTimeLimits(t, func(is *is.I, w *workloadRig) {
		lasting := w.add("lasting", lastingStep(7), 0)
		w.run(time.Second, nil)
		is.Equal(lasting.starts, 6)
		gang := w.add("gang", workloadGang(10), gangDuration) // 9 cores are left on each worker
		w.runWithSmallJobs(30 * time.Second)
		longest, count := w.longestWait("small")
		w.t.Logf("%d small jobs, the longest wait is %v", count, longest)
		is.True(count > 50)
		is.True(longest <= maxSmallJobWait)
		is.Equal(gang.starts, 0)
		is.Equal(lasting.starts, 6) // they keep running

		w.cancel(w.submitted[0])
		w.runWithSmallJobs(15 * time.Second)
		w.t.Logf("the gang started %v after the end of the tasks that last", gang.startedAt.Sub(w.now)+15*time.Second)
		is.Equal(gang.starts, 6) // as soon as there can be room for it
	})
}

// TestGangStartsBesideLastingTasks guards against the opposite fault: a gang for which there is room
// beside tasks that last, but only once shorter tasks have ended, starts while more of these arrive.
func TestGangStartsBesideLastingTasks(t *testing.T) {
	forTimeLimits(t, func(is *is.I, w *workloadRig) {
		w.add("lasting", lastingStep(7), 0)
		w.run(time.Second, nil)
		w.runWithSmallJobs(5 * time.Second)
		gang := w.add("gang", workloadGang(9), gangDuration)
		w.runWithSmallJobs(30 * time.Second)
		wait := gang.startedAt.Sub(gang.submittedAt)
		w.t.Logf("the gang waited for %v", wait)
		is.Equal(gang.starts, 6)
		is.True(wait <= 3*time.Second+2*smallJobDuration) // placement.ReserveAfter and the tasks that run then
	})
}

// TestUnplaceableGangKeepsNoGangFromItsReservation guards against a gang that cannot be placed and
// that keeps a later one, which can, from ever getting its room.
func TestUnplaceableGangKeepsNoGangFromItsReservation(t *testing.T) {
	forTimeLimits(t, func(is *is.I, w *workloadRig) {
		w.add("lasting", lastingStep(7), 0)
		w.run(time.Second, nil)
		w.runWithSmallJobs(5 * time.Second)
		w.add("unplaceable", workloadGang(10), gangDuration)
		gang := w.add("gang", workloadGang(9), gangDuration)
		w.runWithSmallJobs(30 * time.Second)
		is.Equal(gang.starts, 6)
	})
}

// TestOthersRunBesideAReservation guards against a gang that waits for longer tasks to end and that
// keeps all others from the room that it will not need.
func TestOthersRunBesideAReservation(t *testing.T) {
	const longDuration = 15 * time.Second
	forTimeLimits(t, func(is *is.I, w *workloadRig) {
		w.add("long", lastingStep(7), longDuration)
		w.run(time.Second, nil)
		gang := w.add("gang", workloadGang(10), gangDuration)
		w.runWithSmallJobs(30 * time.Second)
		longest, _ := w.longestWait("small")
		w.t.Logf("the gang waited for %v, small jobs for %v at most", gang.startedAt.Sub(gang.submittedAt), longest)
		is.True(longest <= maxSmallJobWait)
		is.Equal(gang.starts, 6)
		is.True(gang.startedAt.Sub(gang.submittedAt) <= longDuration) // they have not delayed it
	})
}

// TestReservationInVainLeavesRoomToOthers guards against a gang that waits for tasks that take far
// longer, or far longer than expected, and keeps others that do not fit beside it from running although
// less than half of the room is in use.
func TestReservationInVainLeavesRoomToOthers(t *testing.T) {
	for _, c := range []struct {
		name           string
		estimateMillis int
		maxWait        time.Duration
	}{
		{"expected to take long", 3_600_000, maxSmallJobWait},
		{"expected to end soon", 1000, reservationSlack + maxSmallJobWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorkloadRig(t, 24*time.Hour)
			long := lastingStep(7)
			long.EstimateMillis = c.estimateMillis
			w.addSpec("long", state.Spec{Queue: "q", Steps: []state.Step{long}}, time.Hour)
			w.run(time.Second, nil)
			w.add("gang", workloadGang(10), gangDuration)
			next := time.Duration(0)
			w.run(3*time.Minute, func(elapsed time.Duration) {
				if elapsed >= next {
					w.add("medium", workloadStep(1, 8), time.Second)
					next += time.Second
				}
			})
			longest, count := w.longestWait("medium")
			w.t.Logf("%d jobs, the longest wait is %v", count, longest)
			is.True(count > 150)
			is.True(longest <= c.maxWait)
		})
	}
}

// TestGangStartsAmongTasksThatDoNotFitBesideIt guards against the opposite fault: a gang that never
// gets its room while tasks arrive that do not fit beside it, whether their durations are known or not
// and whether less than half of the room is in use or nearly all.
func TestGangStartsAmongTasksThatDoNotFitBesideIt(t *testing.T) {
	const mediumDuration = 12 * time.Second
	for _, c := range []struct {
		name     string
		interval time.Duration
		cores    types.MilliCores
		maxWait  time.Duration
	}{
		{"less than half in use", 2 * time.Second, 7, 2 * time.Minute},
		{"nearly all in use", time.Second, 8, 2 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorkloadRig(t, 24*time.Hour)
			next := time.Duration(0)
			addMedium := func(elapsed time.Duration) {
				if elapsed >= next {
					w.add("medium", workloadStep(1, c.cores), mediumDuration)
					next += c.interval
				}
			}
			w.run(20*time.Second, addMedium)
			gang := w.add("gang", workloadGang(10), gangDuration)
			next = 0
			w.run(4*time.Minute, addMedium)
			longest, count := w.longestWait("medium")
			wait := gang.startedAt.Sub(gang.submittedAt)
			w.t.Logf("the gang waited for %v, %d other jobs for %v at most", wait, count, longest)
			is.Equal(gang.starts, 6)
			is.True(wait <= c.maxWait)
		})
	}
}

// TestOldIdleJobUsesReservedRoom guards against a job that has nothing running for over 3 s, long after
// it was accepted, beside room for it that is reserved while less than half of all room is in use.
func TestOldIdleJobUsesReservedRoom(t *testing.T) {
	const stepDuration = 13 * time.Second
	is := is.New(t)
	w := newWorkloadRig(t, 24*time.Hour)
	first, second := workloadStep(1, 1), workloadStep(1, 8)
	second.Name, second.DependsOn = "second", []string{first.Name}
	old := w.addSpec("old", state.Spec{Queue: "q", Steps: []state.Step{first, second}}, stepDuration)
	w.run(6*time.Second, nil)
	w.add("long", lastingStep(7), 11*time.Second) // leaves 9 cores free on each worker
	gang := w.add("gang", workloadGang(10), gangDuration)
	secondStart := time.Duration(0)
	w.run(40*time.Second, func(time.Duration) {
		w.add("small", workloadStep(1, 1), time.Second/10)
		if old.starts == 2 && secondStart == 0 {
			secondStart = w.now.Sub(old.submittedAt)
			is.Equal(gang.starts, 0) // it waits for the second step as well
		}
	})
	w.t.Logf("the second step started %v after the first had ended", secondStart-stepDuration)
	is.True(secondStart > stepDuration+maxOverdueIdle)
	is.True(secondStart < stepDuration+3*time.Second)
	is.Equal(gang.starts, 6)
}

// TestGangWaitsOnlyForTasksInItsWay guards against a gang that gets no reservation because of tasks that
// take long, beside which it fits, while shorter ones that keep arriving are in its way.
func TestGangWaitsOnlyForTasksInItsWay(t *testing.T) {
	const mediumDuration = 4 * time.Second
	is := is.New(t)
	w := newWorkloadRig(t, 24*time.Hour)
	w.add("long", lastingStep(3), time.Hour)
	next := time.Duration(0)
	addMedium := func(elapsed time.Duration) {
		if elapsed >= next {
			w.add("medium", workloadStep(1, 6), mediumDuration)
			next += time.Second
		}
	}
	w.run(10*time.Second, addMedium)
	gang := w.add("gang", workloadGang(10), gangDuration)
	next = 0
	w.run(30*time.Second, addMedium)
	wait := gang.startedAt.Sub(gang.submittedAt)
	w.t.Logf("the gang waited for %v", wait)
	is.Equal(gang.starts, 6)
	is.True(wait <= 3*time.Second+2*mediumDuration)
}
