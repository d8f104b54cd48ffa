// Displacing: work that waits in a queue whose row displaces, and that is either
// more urgent than what runs or below its queue's share, takes the place of less
// urgent work of queues above their shares. Whole gangs only, each task a few
// times at most, one want at a time, and the place is then kept for it.
package controller

import (
	"slices"
	"sort"
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	preemptionDelay    = time.Second     // displacing work has waited so long
	preemptionInterval = 2 * time.Second // between two displacings
)

// preemptionVictim is an attempt that may be displaced, with its gang.
type preemptionVictim struct {
	attempts []types.AttemptID
	freed    map[types.Shard]types.Resources
	urgency  int
	age      time.Duration
}

// preempt finds what to take back for the first want that may displace, and
// the workers to keep for it.
func (co *Controller) preempt(in placement.Input) ([]state.Withdrawal, *placement.Reservation) {
	if co.now.Mono.Sub(co.preemptedAt) < preemptionInterval {
		return nil, nil
	}
	for _, w := range in.Requests {
		d := in.Usage[w.Queue]
		if d == nil || !d.Queue.CanPreempt || w.WaitingFor < preemptionDelay || len(w.Tasks) == 0 {
			continue
		}
		if d.RunningTasks+w.MinTasks() > d.Queue.MaxRunning {
			continue
		}
		if attempts, kept := selectVictims(w, in.Slots, co.preemptionCandidates(w, belowShare(d, in.TotalCores), in)); attempts != nil {
			co.preemptedAt = co.now.Mono
			return attempts, kept
		}
	}
	return nil, nil
}

func belowShare(d *placement.QueueUsage, total types.MilliCores) bool {
	return 100*d.CoresInUse < types.MilliCores(d.Queue.SharePercent)*total
}

// preemptionCandidates lists what a want may displace: the least urgent first, then what has
// run for the shortest time.
func (co *Controller) preemptionCandidates(w placement.Request, under bool, in placement.Input) (list []*preemptionVictim) {
	gangs := map[placement.TaskGroup]*preemptionVictim{}
	for _, o := range co.scheduler.Attempts() {
		j := co.state.Jobs[o.Attempt.Job]
		if j == nil || o.Stage < 0 || !co.isEvictable(o.Attempt) || j.Queue == w.Queue && j.Spec.Urgency >= w.Urgency {
			continue
		}
		d := in.Usage[j.Queue]
		urgent := j.Spec.Urgency < w.Urgency
		if d == nil || belowShare(d, in.TotalCores) || !urgent && !(under && j.Queue != w.Queue && j.Spec.Urgency <= w.Urgency) ||
			j.Task(o.Attempt.Number).Preemptions >= d.Queue.MaxPreemptions {
			continue
		}
		v := &preemptionVictim{freed: map[types.Shard]types.Resources{}, urgency: j.Spec.Urgency, age: co.now.Mono.Sub(o.OrderedAt)}
		if j.Spec.Steps[o.Stage.Step()].Gang {
			k := placement.TaskGroup{Job: o.Attempt.Job, Stage: o.Stage}
			if gangs[k] != nil {
				v = gangs[k]
			} else {
				gangs[k] = v
				list = append(list, v)
			}
		} else {
			list = append(list, v)
		}
		v.attempts = append(v.attempts, o.Attempt)
		v.freed[o.Shard] = v.freed[o.Shard].Add(o.Resources)
	}
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		return a.urgency < b.urgency || a.urgency == b.urgency && a.age < b.age
	})
	return
}

// selectVictims takes victims until the want would fit, and lets go of those that turn
// out not to be needed.
func selectVictims(w placement.Request, slots []placement.Slot, candidates []*preemptionVictim) (attempts []state.Withdrawal, kept *placement.Reservation) {
	need := w.MinTasks()
	fits := func(chosen []*preemptionVictim) (seats []placement.ReservedWorker) {
		n := 0
		for i := range slots {
			s := &slots[i]
			if !s.Feasible(&w) {
				continue
			}
			free := s.Free
			for _, v := range chosen {
				free = free.Add(v.freed[s.Shard])
			}
			k := 0
			for room := free; room.Contains(w.Resources) && n+k < need && (w.MaxPerWorker == 0 || s.TaskCount(w.TaskGroup)+k < w.MaxPerWorker); k++ {
				room = room.Sub(w.Resources)
			}
			if k > 0 {
				seats = append(seats, placement.ReservedWorker{Shard: s.Shard, Tasks: k})
			}
			if n += k; n >= need {
				return seats
			}
		}
		return nil
	}
	if fits(nil) != nil || fits(candidates) == nil {
		return nil, nil
	}
	var chosen []*preemptionVictim
	for _, v := range candidates {
		if chosen = append(chosen, v); fits(chosen) != nil {
			break
		}
	}
	for i := 0; i < len(chosen); {
		if less := slices.Delete(slices.Clone(chosen), i, i+1); fits(less) != nil {
			chosen = less
		} else {
			i++
		}
	}
	for _, v := range chosen {
		for _, l := range v.attempts {
			attempts = append(attempts, state.Withdrawal{ID: l, Reason: state.Preempted})
		}
	}
	return attempts, &placement.Reservation{TaskGroup: w.TaskGroup, Workers: fits(chosen)}
}

// updateWaitTimes keeps since when each step has had something that could start.
func (co *Controller) updateWaitTimes(list []placement.Request) {
	next := make(map[placement.TaskGroup]types.MonoTime, len(list))
	for i := range list {
		w := &list[i]
		at, ok := co.readySince[w.TaskGroup]
		if !ok {
			at = co.now.Mono
		}
		next[w.TaskGroup], w.WaitingFor = at, co.now.Mono.Sub(at)
	}
	co.readySince = next
}
