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
	lateTargetFactor    = 3  // times its aim, until which a job is worth something
	maxJobValue         = 4  // times its queue's worth, at most
	patientSlackPercent = 40 // percent of its aim: work that has so much time left can wait
	peakHalfLife        = 10 * time.Second
	idleJobDelay        = time.Second // a job has nothing running for so long at most while less than half of all cores is in use

	patientHeadroomPercent = 92  // percent of all cores that patient work leaves at most to what goes first
	longHeadroomPercent    = 75  // and other work that takes long
	slackDecaySeconds      = 1.0 // seconds: work that has so much more time gains e times less by its turn
	priorityBase           = 1.0 // what goes first weighs so many times as much for each step of priority
)

// recordJobWork takes a new job into the mean of its queue's.
func (co *Controller) recordJobWork(j *state.Job) {
	work := 0.0
	for i, p := range j.Spec.Steps {
		work += float64(p.Tasks) * co.expectedDuration(j, i).Seconds() * float64(p.Resources.Cores) / float64(types.Core)
	}
	if len(j.Spec.Steps) > 0 && !j.Spec.Steps[0].AlwaysRestart {
		t := co.expectedDuration(j, 0).Seconds()
		if m, ok := co.meanTaskSeconds[j.Queue]; ok {
			t = m + (t-m)/16
		}
		co.meanTaskSeconds[j.Queue] = t
	}
	if m, ok := co.meanJobWork[j.Queue]; ok {
		work = m + (work-m)/16
	}
	co.meanJobWork[j.Queue] = work
}

// meanWork is the work of a queue's jobs, in core-seconds.
func (co *Controller) meanWork(q types.QueueName) float64 { return max(co.meanJobWork[q], 0.001) }

// rank tells what a job can still be worth, how soon it should have its turn, and
// what part of all cores, in percent, its queue leaves to those before it. What goes
// first is what gains most for the work that is left, the less the more time it has:
// the rule of apparent tardiness cost.
func (co *Controller) rank(j *state.Job, row config.Queue, x *state.ReadyIndex, b state.ReadyStage) (placement.TargetClass, float64, int) {
	if !row.HasLatencyTarget() {
		return placement.OnTarget, 0, 0
	}
	cost := func(step int) time.Duration { return co.expectedDuration(j, step) }
	remainingWork, totalWork := 0.0, 0.0
	for i, p := range j.Spec.Steps {
		one := cost(i).Seconds() * float64(p.Resources.Cores) / float64(types.Core)
		remainingWork += float64(x.RemainingTasks[i]) * one
		totalWork += float64(p.Tasks) * one
	}
	value := min(maxJobValue, 0.3+0.7*totalWork/co.meanWork(j.Queue))
	step := b.Stage.Step()
	if j.Spec.Steps[step].AlwaysRestart {
		return placement.OnTarget, -value / (1 + remainingWork), 0
	}
	target := time.Duration(row.TargetFactor*float64(j.Spec.CriticalPath(-1, cost))) + time.Duration(row.TargetMarginMillis)*time.Millisecond
	slack := b.ReadySince.Add(target).Sub(co.raft.Clock()) - j.Spec.CriticalPath(step, cost)
	class, stake, headroom := placement.OnTarget, 0.7*value, 0
	if co.outlastsUrgentQueues(j.Queue, row, cost(step)) {
		headroom = longHeadroomPercent
		if slack > target*patientSlackPercent/100 {
			headroom = patientHeadroomPercent
		}
	}
	switch {
	case slack > -target/8: // the guess is no better than that
	case slack+(lateTargetFactor-1)*target > 0:
		class, stake, slack = placement.Late, 0.3*value, slack+(lateTargetFactor-1)*target
	default:
		class, stake, slack = placement.TargetMissed, 0.001*value, 0
	}
	gain := stake / (remainingWork + 0.01) * math.Exp(-max(0, slack.Seconds())/slackDecaySeconds) * math.Pow(priorityBase, -float64(row.Priority))
	return class, -gain, headroom
}

// outlastsUrgentQueues tells whether tasks take so long that what goes before their queue would be
// worth nothing any more if it had to wait for them.
func (co *Controller) outlastsUrgentQueues(q types.QueueName, row config.Queue, task time.Duration) bool {
	for _, r := range co.log.state().Table.Queues {
		if u, ok := co.meanTaskSeconds[r.Name]; ok && r.Name != q && r.Priority < row.Priority && task.Seconds() > lateTargetFactor*(r.TargetFactor*u+float64(r.TargetMarginMillis)/1000) {
			return true
		}
	}
	return false
}

// limitLongWork keeps room for what goes first: work of later queues, whose tasks take long,
// leaves free what the queues before it have lately needed at once.
func (co *Controller) limitLongWork(in placement.Input) {
	fade := math.Exp2(-co.now.Mono.Sub(co.peaksUpdatedAt).Seconds() / peakHalfLife.Seconds())
	co.peaksUpdatedAt = co.now.Mono
	need, used := map[types.QueueName]float64{}, types.MilliCores(0)
	for _, w := range in.Requests {
		need[w.Queue] += float64(len(w.Tasks)) * float64(w.Resources.Cores)
	}
	for q, d := range in.Usage {
		used += d.CoresInUse
		co.peakCores[q] = max(min(float64(in.TotalCores), float64(d.CoresInUse)+need[q]), co.peakCores[q]*fade)
	}
	for i := range in.Requests {
		w := &in.Requests[i]
		d := in.Usage[w.Queue]
		switch {
		case w.HeadroomPercent == 0:
			continue
		case w.JobIdle && w.WaitingFor >= idleJobDelay && 2*used < in.TotalCores:
			if !w.Gang { // a job that has nothing running gets something to run
				w.Tasks = w.Tasks[:1]
			}
			continue
		}
		first, beside := 0.0, types.MilliCores(0)
		for q, o := range in.Usage {
			switch {
			case o.Queue.Priority < d.Queue.Priority:
				first += co.peakCores[q]
			case o != d:
				beside += o.CoresInUse
			}
		}
		first = min(first, float64(in.TotalCores)*float64(w.HeadroomPercent)/100)
		w.MaxQueueCores = max(1, in.TotalCores-types.MilliCores(first)-beside)
	}
}
