// Workloads that are generated before a run, so that runs under different policies get the same
// jobs and the same faults at the same times.

package sim

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/clients"
	"coppercourse/sim/deployment"
)

// Submission is one job of a workload.
type Submission struct {
	At   time.Duration // since the start of the run
	ID   types.JobID
	Spec state.Spec
}

// TimedFault is one fault of a workload.
type TimedFault struct {
	Name     string
	At       time.Duration // since the start of the traffic
	Duration time.Duration
}

// TrafficStart is when the first job of a workload is submitted.
const TrafficStart = trafficStartTime

// burstFaultName is the name of the fault that raises the submission rate.
const burstFaultName = "burst"

// rateFactor returns the factor by which bursts among the faults raise the submission rate at a
// time since the start of the traffic.
func rateFactor(at time.Duration, faults []TimedFault) float64 {
	for _, f := range faults {
		if f.Name == burstFaultName && at >= f.At && at < f.At+f.Duration {
			return burstFactor
		}
	}
	return 1
}

// DrawWorkload generates the jobs of a deployment's streams for a duration. load multiplies the
// deployment's submission rates, and so do bursts among the faults. Each job runs once, as
// recurring schedules are removed, and callers cancel none of them.
func DrawWorkload(
	d deployment.Deployment, seed int64, duration time.Duration, load float64, faults []TimedFault,
) []Submission {
	var list []Submission
	for i, stream := range d.Streams {
		random := rand.New(rand.NewSource(seed*int64(len(d.Streams)) + int64(i)))
		for at := time.Duration(0); ; {
			interval := (clients.MinIntervalFraction + random.Float64()) * float64(stream.MeanInterval)
			at += time.Duration(interval / (load * rateFactor(at, faults)))
			if at >= duration {
				break
			}
			spec := stream.NewSpec(random, int64(TrafficStart+at))
			spec.Schedule = nil
			list = append(list, Submission{At: TrafficStart + at, Spec: spec})
		}
	}
	slices.SortStableFunc(list, func(a, b Submission) int { return int(a.At - b.At) })
	group := clients.Group{}
	for i := range list {
		list[i].ID = group.NextJobID(list[i].Spec.Queue)
	}
	return list
}

// NewWithDeployment sets up a run of a deployment that may be unnamed.
func NewWithDeployment(p Plan, d deployment.Deployment) *Run { return newRun(p, d) }

// ExecuteWorkload runs a workload with its faults until a time. When the last job has been
// submitted, it heals all faults and cancels the jobs that always restart, which would not end
// otherwise.
func (r *Run) ExecuteWorkload(workload []Submission, faults []TimedFault, until time.Duration) *Run {
	r.scheduleFirstTable()
	for _, s := range workload {
		r.After(s.At, func() { r.Clients.SubmitNew(s.ID, s.Spec) })
	}
	for _, f := range faults {
		r.After(TrafficStart+f.At, func() { r.injectFault(f.Name, f.Duration) })
	}
	if len(workload) > 0 {
		r.RunUntil(workload[len(workload)-1].At)
	}
	r.Clients.Submitting = false
	r.Heal()
	for _, s := range workload {
		if s.Spec.Steps[0].AlwaysRestart {
			r.Clients.CancelJob(s.ID)
		}
	}
	r.RunUntil(until)
	r.endedAt = r.Now()
	return r
}
