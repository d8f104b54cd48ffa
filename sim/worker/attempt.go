package worker

import (
	"math"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// meanServiceLifetime is the mean time until an attempt of a task that lasts fails.
const meanServiceLifetime = 30 * time.Second

// attempt is one attempt that runs on an invoked worker. Its work is measured in
// milliseconds on a worker that is not slow and near the task's data.
type attempt struct {
	worker           *Invoked
	id               types.AttemptID
	step             *state.Step // nil if nobody submitted such a job
	resources        types.Resources
	startedAt        types.MonoTime
	advancedTo       types.MonoTime // up to when its work is counted
	readyAt          types.MonoTime // before that it restores a checkpoint
	stopDeadline     types.MonoTime // by when its stop takes effect; 0 means that it is not stopped
	workMS           float64        // all of its work; infinite for a task that lasts
	doneMS           float64
	failsAtMS        float64 // at how much of its work it fails; more than all of it means never
	checkpointedMS   float64 // what its checkpoint stands for
	checkpoint       string
	localitySlowdown float64 // factor, for want of its data nearby
	gang             *gang   // nil if it belongs to none
}

// startAttempt begins an attempt, also of a job that nobody submitted.
func (i *Invoked) startAttempt(call wire.WorkerCall, step *state.Step) {
	now := i.now()
	work := parseWork(call.Input)
	a := &attempt{
		worker:           i,
		id:               call.Attempt,
		step:             step,
		startedAt:        now,
		advancedTo:       now,
		readyAt:          now,
		workMS:           work.taskDurationMS(call.Attempt.TaskID),
		failsAtMS:        math.Inf(1),
		localitySlowdown: 1,
	}
	if step != nil {
		a.resources = step.Resources
		a.localitySlowdown = i.environment.remoteDataSlowdown(i, step)
		switch {
		case step.AlwaysRestart:
			a.workMS, a.failsAtMS = math.Inf(1), 1000*i.random.ExpFloat64()*meanServiceLifetime.Seconds()
		case step.KeepsCheckpoint && call.Checkpoint != "":
			a.restoreCheckpoint(call.Checkpoint)
		}
	}
	if work.Fail || i.random.Float64() < work.FailureRate+i.FailureRate {
		left := a.workMS - a.doneMS
		a.failsAtMS = min(a.failsAtMS, a.doneMS+left*(0.1+0.9*i.random.Float64()))
	}
	i.running[call.Attempt] = a
	i.record(history.Event{
		Kind:          history.AttemptStarted,
		Attempt:       call.Attempt,
		Work:          call.Input,
		Checkpoint:    call.Checkpoint,
		DeliveredLate: i.deliveredLate,
	})
	if step != nil && step.Joint {
		i.environment.joinGang(a)
	}
}

// restore goes on from a checkpoint.
func (a *attempt) restoreCheckpoint(checkpoint string) {
	environment := a.worker.environment
	a.checkpoint = checkpoint
	a.doneMS = environment.checkpoints[checkpoint]
	a.checkpointedMS = a.doneMS
	a.readyAt = a.startedAt.Add(environment.RestoreTime)
}

func (a *attempt) percentDone() float64 {
	if math.IsInf(a.workMS, 1) || a.workMS <= 0 {
		return 0
	}
	return min(100, 100*a.doneMS/a.workMS)
}

// progresses reports whether the attempt works, rather than waits.
func (a *attempt) makesProgress() bool {
	return !a.worker.Stalled && (a.gang == nil || a.gang.assembled)
}

// advance counts the work done until a time, and saves a checkpoint if one is due.
func (a *attempt) advance(until types.MonoTime) {
	if from := max(a.advancedTo, a.readyAt); until > from && a.makesProgress() {
		a.doneMS += float64(until.Sub(from).Microseconds()) / 1000 / (a.worker.Slowdown * a.localitySlowdown)
	}
	a.advancedTo = max(a.advancedTo, until)
	interval := float64(a.worker.environment.CheckpointInterval.Milliseconds())
	if a.keepsCheckpoint() && a.doneMS-a.checkpointedMS >= interval {
		a.saveCheckpoint(math.Floor(a.doneMS/interval) * interval)
	}
}

func (a *attempt) keepsCheckpoint() bool { return a.step != nil && a.step.KeepsCheckpoint }

// saveCheckpoint saves that so much of the work is done.
func (a *attempt) saveCheckpoint(doneMS float64) {
	a.checkpointedMS = min(doneMS, a.workMS)
	a.checkpoint = a.worker.environment.saveCheckpoint(a.worker.random, a.checkpointedMS)
	a.worker.record(history.Event{Kind: history.CheckpointSaved, Attempt: a.id, Checkpoint: a.checkpoint})
}

// endGang ends the gang of an attempt that has ended.
func (a *attempt) endGang() {
	if a.gang != nil {
		a.gang.endOtherMembers(a)
	}
}

// advance lets all that runs progress until now, or the end of the lease if that has
// passed.
func (i *Invoked) advance() {
	until := i.now()
	expired := len(i.running)+len(i.unacknowledgedEnds) > 0 && i.leaseExpired()
	if expired {
		until = min(until, i.timeAtClock(i.leaseEnd))
	}
	for _, id := range sortedAttempts(i.running) {
		if a := i.running[id]; a != nil { // else it ended with another of its gang
			a.advance(until)
			i.endIfDue(a, until)
		}
	}
	if expired {
		i.expireLease()
	}
}

// timeAtClock returns when the worker's own clock shows a reading.
func (i *Invoked) timeAtClock(reading int64) types.MonoTime {
	elapsedMS := float64(reading-i.clockStart) / i.clockRate
	return i.startedAt.Add(time.Duration(elapsedMS * float64(time.Millisecond)))
}

// endIfDue ends an attempt that has failed, is done, was stopped, or has waited too
// long for its gang.
func (i *Invoked) endIfDue(a *attempt, now types.MonoTime) {
	done := a.doneMS >= a.workMS
	switch {
	case a.doneMS >= min(a.workMS, a.failsAtMS) && a.failsAtMS <= a.workMS:
		i.endAttempt(a, wire.EndFailed)
	case done && a.gang == nil:
		i.endAttempt(a, wire.EndSucceeded)
	case done && a.gang.assembled:
		a.gang.succeedIfDone()
	case a.stopDeadline > 0 && now >= a.stopDeadline:
		if a.keepsCheckpoint() && a.doneMS > a.checkpointedMS {
			a.saveCheckpoint(a.doneMS)
		}
		i.endAttempt(a, wire.EndStopped)
	case a.gang != nil && !a.gang.assembled && now.Sub(a.startedAt) >= i.environment.GangTimeout:
		i.endAttempt(a, wire.EndGangStartTimeout)
	}
}
