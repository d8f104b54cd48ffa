// What a job can still be worth: whether it can be done within the aim of its
// queue, by what its steps are expected to take. A job's own estimates are rough
// and so is the mean of its queue's steps; between the two lies the best guess.
package controller

import (
	"math"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	lates   = 3  // times its aim, until which a job is worth something
	most    = 4  // times its queue's worth, at most
	patient = 40 // percent of its aim: work that has so much time left can wait
	halving = 10 * time.Second
	idle    = time.Second // a job has nothing running for so long at most while less than half of all cores is in use

	spareMost  = 92  // percent of all cores that patient work leaves at most to what goes first
	spareLater = 75  // and other work that takes long
	hurry      = 1.0 // seconds: work that has so much more time gains e times less by its turn
	prior      = 1.0 // what goes first weighs so many times as much for each step of priority
)

// weigh takes a new job into the mean of its queue's.
func (co *Controller) weigh(j *state.Job) {
	work := 0.0
	for i, p := range j.Spec.Steps {
		work += float64(p.Tasks) * co.expect(j, i).Seconds() * float64(p.Resources.Cores) / float64(types.Core)
	}
	if len(j.Spec.Steps) > 0 && !j.Spec.Steps[0].AlwaysRestart {
		t := co.expect(j, 0).Seconds()
		if m, ok := co.tasks[j.Queue]; ok {
			t = m + (t-m)/16
		}
		co.tasks[j.Queue] = t
	}
	if m, ok := co.works[j.Queue]; ok {
		work = m + (work-m)/16
	}
	co.works[j.Queue] = work
}

// mean is the work of a queue's jobs, in core-seconds.
func (co *Controller) mean(q types.QueueName) float64 { return max(co.works[q], 0.001) }

// aim tells what a job can still be worth, how soon it should have its turn, and
// what part of all cores, in percent, its queue leaves to those before it. What goes
// first is what gains most for the work that is left, the less the more time it has:
// the rule of apparent tardiness cost.
func (co *Controller) aim(j *state.Job, row config.Queue, x *state.ReadyIndex, b state.ReadyStage) (placement.TargetClass, float64, int) {
	if !row.HasLatencyTarget() {
		return placement.OnTarget, 0, 0
	}
	cost := func(step int) time.Duration { return co.expect(j, step) }
	rest, whole := 0.0, 0.0
	for i, p := range j.Spec.Steps {
		one := cost(i).Seconds() * float64(p.Resources.Cores) / float64(types.Core)
		rest += float64(x.RemainingTasks[i]) * one
		whole += float64(p.Tasks) * one
	}
	worth := min(most, 0.3+0.7*whole/co.mean(j.Queue))
	step := b.Stage.Step()
	if j.Spec.Steps[step].AlwaysRestart {
		return placement.OnTarget, -worth / (1 + rest), 0
	}
	aim := time.Duration(row.TargetFactor*float64(j.Spec.CriticalPath(-1, cost))) + time.Duration(row.TargetMarginMillis)*time.Millisecond
	left := b.ReadySince.Add(aim).Sub(co.raft.Clock()) - j.Spec.CriticalPath(step, cost)
	class, stake, spare := placement.OnTarget, 0.7*worth, 0
	if co.long(j.Queue, row, cost(step)) {
		spare = spareLater
		if left > aim*patient/100 {
			spare = spareMost
		}
	}
	switch {
	case left > -aim/8: // the guess is no better than that
	case left+(lates-1)*aim > 0:
		class, stake, left = placement.Late, 0.3*worth, left+(lates-1)*aim
	default:
		class, stake, left = placement.TargetMissed, 0.001*worth, 0
	}
	gain := stake / (rest + 0.01) * math.Exp(-max(0, left.Seconds())/hurry) * math.Pow(prior, -float64(row.Priority))
	return class, -gain, spare
}

// long tells whether tasks take so long that what goes before their queue would be
// worth nothing any more if it had to wait for them.
func (co *Controller) long(q types.QueueName, row config.Queue, task time.Duration) bool {
	for _, r := range co.state.Table.Queues {
		if u, ok := co.tasks[r.Name]; ok && r.Name != q && r.Priority < row.Priority && task.Seconds() > lates*(r.TargetFactor*u+float64(r.TargetMarginMillis)/1000) {
			return true
		}
	}
	return false
}

// caps keeps room for what goes first: work of later queues, whose tasks take long,
// leaves free what the queues before it have lately needed at once.
func (co *Controller) caps(in placement.Input) {
	fade := math.Exp2(-co.now.Mono.Sub(co.peaked).Seconds() / halving.Seconds())
	co.peaked = co.now.Mono
	need, used := map[types.QueueName]float64{}, types.MilliCores(0)
	for _, w := range in.Requests {
		need[w.Queue] += float64(len(w.Tasks)) * float64(w.Resources.Cores)
	}
	for q, d := range in.Usage {
		used += d.CoresInUse
		co.peaks[q] = max(min(float64(in.TotalCores), float64(d.CoresInUse)+need[q]), co.peaks[q]*fade)
	}
	for i := range in.Requests {
		w := &in.Requests[i]
		d := in.Usage[w.Queue]
		switch {
		case w.HeadroomPercent == 0:
			continue
		case w.JobIdle && w.WaitingFor >= idle && 2*used < in.TotalCores:
			if !w.Gang { // a job that has nothing running gets something to run
				w.Tasks = w.Tasks[:1]
			}
			continue
		}
		first, beside := 0.0, types.MilliCores(0)
		for q, o := range in.Usage {
			switch {
			case o.Queue.Priority < d.Queue.Priority:
				first += co.peaks[q]
			case o != d:
				beside += o.CoresInUse
			}
		}
		first = min(first, float64(in.TotalCores)*float64(w.HeadroomPercent)/100)
		w.MaxQueueCores = max(1, in.TotalCores-types.MilliCores(first)-beside)
	}
}
