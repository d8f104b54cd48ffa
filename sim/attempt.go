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
)

// maxRetryTimeout is how long a hold may wait for an end.
const mostWait = 2 * time.Second

// attempt is one attempt that runs.
type attempt struct {
	w       *InvokedWorker
	attempt types.AttemptID
	step    *state.Step // nil for what nobody sent
	room    types.Resources
	from    types.MonoTime
	at      types.MonoTime // up to when it has got on
	ready   types.MonoTime // before that it does not
	stops   types.MonoTime // by when its stop is over, or 0
	work    float64        // ms in all
	did     float64
	fails   float64 // where in its work it fails, or beyond all of it
	kept    float64 // what its reference stands for
	ref     string
	slow    float64 // times as long, for want of its data nearby
	gang    *gang
}

// start begins an attempt, whoever sent it.
func (iw *InvokedWorker) start(c wire.WorkerCall, step *state.Step) {
	now := iw.time()
	k := task(c.Input)
	a := &attempt{w: iw, attempt: c.Attempt, step: step, from: now, at: now, ready: now, work: k.length(c.Attempt.TaskID), fails: math.Inf(1), slow: 1}
	if step != nil {
		a.room = step.Resources
		a.slow = iw.environment.far(iw, c.Attempt, step)
		switch {
		case step.AlwaysRestart:
			a.work, a.fails = math.Inf(1), 1000*iw.rnd.ExpFloat64()*30
		case step.KeepsCheckpoint && c.Checkpoint != "":
			a.ref, a.did = c.Checkpoint, iw.environment.saves[c.Checkpoint]
			a.kept, a.ready = a.did, now.Add(iw.environment.Restore)
		}
	}
	if k.Fail || iw.rnd.Float64() < k.Fails+iw.Fails {
		a.fails = min(a.fails, a.did+(a.work-a.did)*(0.1+0.9*iw.rnd.Float64()))
	}
	iw.runs[c.Attempt] = a
	iw.say(HistoryEvent{What: Started, Attempt: c.Attempt, Work: c.Input, Ref: c.Checkpoint, Late: iw.late})
	if step != nil && step.Joint {
		iw.environment.join(a)
	}
}

// length is how long a task takes on a sound worker near its data; the tasks of
// a step differ, but each is the same in all its attempts.
func (w Work) length(t types.TaskID) float64 {
	f := fnv.New32a()
	f.Write([]byte(string(t.Job) + "/" + strconv.Itoa(t.Number)))
	return float64(w.MS) * (1 + w.Uneven*(2*float64(f.Sum32()%1024)/1023-1))
}

func (a *attempt) percent() float64 {
	if math.IsInf(a.work, 1) || a.work <= 0 {
		return 0
	}
	return min(100, 100*a.did/a.work)
}

// moves tells whether the attempt works, rather than waiting.
func (a *attempt) moves() bool { return !a.w.Still && (a.gang == nil || a.gang.works) }

// on lets the attempt work until a time.
func (a *attempt) on(until types.MonoTime) {
	if from := max(a.at, a.ready); until > from && a.moves() {
		a.did += float64(until.Sub(from).Microseconds()) / 1000 / (a.w.Slow * a.slow)
	}
	a.at = max(a.at, until)
	if every := float64(a.w.environment.Save.Milliseconds()); a.step != nil && a.step.KeepsCheckpoint && a.did-a.kept >= every {
		a.save(math.Floor(a.did/every) * every)
	}
}

// save takes a reference for what has been done.
func (a *attempt) save(did float64) {
	a.kept = min(did, a.work)
	a.ref = a.w.environment.save(a.w.rnd, a.kept)
	a.w.say(HistoryEvent{What: Saved, Attempt: a.attempt, Ref: a.ref})
}

// advance lets all that runs get on until now, and no further than the lease.
func (iw *InvokedWorker) advance() {
	now := iw.time()
	until, over := now, len(iw.runs)+len(iw.ends) > 0 && iw.over()
	if over {
		until = min(now, iw.born.Add(time.Duration(float64(iw.lease-iw.first)/iw.pace*float64(time.Millisecond))))
	}
	for _, l := range iw.sorted() {
		a := iw.runs[l]
		if a == nil {
			continue // it ended with another of its gang
		}
		a.on(until)
		switch {
		case a.did >= min(a.work, a.fails) && a.fails <= a.work:
			iw.end(a, wire.EndFailed)
		case a.did >= a.work && a.gang == nil:
			iw.end(a, wire.EndSucceeded)
		case a.did >= a.work && a.gang.works:
			a.gang.finish()
		case a.stops > 0 && until >= a.stops:
			if a.step != nil && a.step.KeepsCheckpoint && a.did > a.kept {
				a.save(a.did)
			}
			iw.end(a, wire.EndStopped)
		case a.gang != nil && !a.gang.works && until.Sub(a.from) >= iw.environment.Gang:
			iw.end(a, wire.EndGangStartTimeout)
		}
	}
	if over {
		iw.lapse()
	}
}

// lapse kills all that runs; ends not settled by now count for nothing.
func (iw *InvokedWorker) lapse() {
	for i := range iw.ends {
		iw.ends[i].void = true
	}
	for _, l := range iw.sorted() {
		if a := iw.runs[l]; a != nil {
			iw.end(a, wire.EndLeaseExpired)
		}
	}
}

// quit tells an attempt's gang that it has ended.
func (a *attempt) quit(how wire.EndReason) {
	if a.gang != nil {
		a.gang.leave(a, how)
	}
}

// Work is what an attempt's work says to a stand-in worker.
type Work struct {
	MS     int     `json:"ms"`
	Fail   bool    `json:"fail,omitempty"`
	Crash  bool    `json:"crash,omitempty"`  // takes its worker process down
	Fails  float64 `json:"fails,omitempty"`  // part of its runs that fail
	Uneven float64 `json:"uneven,omitempty"` // how much its tasks differ in length
}

func (w Work) raw() json.RawMessage { return wire.EncodeBody(w) }
