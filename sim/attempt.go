// What runs on a worker that is invoked: work that gets on by the clock, saves its
// progress where its step says so, waits for its gang, and ends.
package sim

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// maxRetryTimeout is how long a hold may wait for an end.
const maxRenewalWait = 2 * time.Second

// attempt is one attempt that runs.
type attempt struct {
	worker       *InvokedWorker
	id           types.AttemptID
	step         *state.Step // nil for what nobody sent
	capacity     types.Resources
	startedAt    types.MonoTime
	advancedTo   types.MonoTime // up to when it has got on
	readyAt      types.MonoTime // before that it does not
	stopDeadline types.MonoTime // by when its stop is over, or 0
	workMS       float64        // ms in all
	doneMS       float64
	failsAtMS    float64 // where in its work it fails, or beyond all of it
	savedMS      float64 // what its reference stands for
	checkpoint   string
	slowdown     float64 // times as long, for want of its data nearby
	gang         *gang
}

// startAttempt begins an attempt, whoever sent it.
func (iw *InvokedWorker) startAttempt(c wire.WorkerCall, step *state.Step) {
	now := iw.now()
	k := parseWork(c.Input)
	a := &attempt{worker: iw, id: c.Attempt, step: step, startedAt: now, advancedTo: now, readyAt: now, workMS: k.durationMS(c.Attempt.TaskID), failsAtMS: math.Inf(1), slowdown: 1}
	if step != nil {
		a.capacity = step.Resources
		a.slowdown = iw.environment.remoteSlowdown(iw, c.Attempt, step)
		switch {
		case step.AlwaysRestart:
			a.workMS, a.failsAtMS = math.Inf(1), 1000*iw.random.ExpFloat64()*30
		case step.KeepsCheckpoint && c.Checkpoint != "":
			a.checkpoint, a.doneMS = c.Checkpoint, iw.environment.checkpoints[c.Checkpoint]
			a.savedMS, a.readyAt = a.doneMS, now.Add(iw.environment.RestoreTime)
		}
	}
	if k.Fail || iw.random.Float64() < k.FailureRate+iw.FailureRate {
		a.failsAtMS = min(a.failsAtMS, a.doneMS+(a.workMS-a.doneMS)*(0.1+0.9*iw.random.Float64()))
	}
	iw.running[c.Attempt] = a
	iw.record(history.Event{Kind: history.AttemptStarted, Attempt: c.Attempt, Work: c.Input, Checkpoint: c.Checkpoint, DeliveredLate: iw.deliveredLate})
	if step != nil && step.Joint {
		iw.environment.joinGang(a)
	}
}

// durationMS is how long a task takes on a sound worker near its data; the tasks of
// a step differ, but each is the same in all its attempts.
func (w Work) durationMS(t types.TaskID) float64 {
	f := fnv.New32a()
	f.Write([]byte(string(t.Job) + "/" + strconv.Itoa(t.Number)))
	return float64(w.MS) * (1 + w.Variation*(2*float64(f.Sum32()%1024)/1023-1))
}

func (a *attempt) percent() float64 {
	if math.IsInf(a.workMS, 1) || a.workMS <= 0 {
		return 0
	}
	return min(100, 100*a.doneMS/a.workMS)
}

// progresses tells whether the attempt works, rather than waiting.
func (a *attempt) progresses() bool { return !a.worker.Stalled && (a.gang == nil || a.gang.assembled) }

// advance lets the attempt work until a time.
func (a *attempt) advance(until types.MonoTime) {
	if from := max(a.advancedTo, a.readyAt); until > from && a.progresses() {
		a.doneMS += float64(until.Sub(from).Microseconds()) / 1000 / (a.worker.Slowdown * a.slowdown)
	}
	a.advancedTo = max(a.advancedTo, until)
	if every := float64(a.worker.environment.CheckpointInterval.Milliseconds()); a.step != nil && a.step.KeepsCheckpoint && a.doneMS-a.savedMS >= every {
		a.saveCheckpoint(math.Floor(a.doneMS/every) * every)
	}
}

// saveCheckpoint takes a reference for what has been done.
func (a *attempt) saveCheckpoint(did float64) {
	a.savedMS = min(did, a.workMS)
	a.checkpoint = a.worker.environment.saveCheckpoint(a.worker.random, a.savedMS)
	a.worker.record(history.Event{Kind: history.CheckpointSaved, Attempt: a.id, Checkpoint: a.checkpoint})
}

// advance lets all that runs get on until now, and no further than the lease.
func (iw *InvokedWorker) advance() {
	now := iw.now()
	until, over := now, len(iw.running)+len(iw.unsettledEnds) > 0 && iw.leaseExpired()
	if over {
		until = min(now, iw.startedAt.Add(time.Duration(float64(iw.leaseEnd-iw.clockStart)/iw.clockRate*float64(time.Millisecond))))
	}
	for _, l := range iw.runningAttempts() {
		a := iw.running[l]
		if a == nil {
			continue // it ended with another of its gang
		}
		a.advance(until)
		switch {
		case a.doneMS >= min(a.workMS, a.failsAtMS) && a.failsAtMS <= a.workMS:
			iw.endAttempt(a, wire.EndFailed)
		case a.doneMS >= a.workMS && a.gang == nil:
			iw.endAttempt(a, wire.EndSucceeded)
		case a.doneMS >= a.workMS && a.gang.assembled:
			a.gang.finishIfDone()
		case a.stopDeadline > 0 && until >= a.stopDeadline:
			if a.step != nil && a.step.KeepsCheckpoint && a.doneMS > a.savedMS {
				a.saveCheckpoint(a.doneMS)
			}
			iw.endAttempt(a, wire.EndStopped)
		case a.gang != nil && !a.gang.assembled && until.Sub(a.startedAt) >= iw.environment.GangTimeout:
			iw.endAttempt(a, wire.EndGangStartTimeout)
		}
	}
	if over {
		iw.expireLease()
	}
}

// expireLease kills all that runs; ends not settled by now count for nothing.
func (iw *InvokedWorker) expireLease() {
	for i := range iw.unsettledEnds {
		iw.unsettledEnds[i].lapsed = true
	}
	for _, l := range iw.runningAttempts() {
		if a := iw.running[l]; a != nil {
			iw.endAttempt(a, wire.EndLeaseExpired)
		}
	}
}

// leaveGang tells an attempt's gang that it has ended.
func (a *attempt) leaveGang(reason wire.EndReason) {
	if a.gang != nil {
		a.gang.breakUp(a, reason)
	}
}

// Work is what an attempt's work says to a stand-in worker.
type Work struct {
	MS          int     `json:"ms"`
	Fail        bool    `json:"fail,omitempty"`
	Crash       bool    `json:"crash,omitempty"`  // takes its worker process down
	FailureRate float64 `json:"fails,omitempty"`  // part of its runs that fail
	Variation   float64 `json:"uneven,omitempty"` // how much its tasks differ in length
}

func (w Work) encode() json.RawMessage { return wire.EncodeBody(w) }
