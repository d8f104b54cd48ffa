package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
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
