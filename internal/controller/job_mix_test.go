package controller

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// mixSeeds is the number of random mixes of jobs; a longer search is started by hand.
var mixSeeds = flag.Int64("mix-seeds", 16, "number of random mixes of jobs to run")

// maxShortMixSeeds bounds that number under -short.
const maxShortMixSeeds = 4

// The users' rule LOST, as far as it is about jobs that wait: from mixFinish after the traffic on, no job
// has nothing running for maxMixIdle while a task of it may start, there is room for it twice over, and
// less than half of all room is in use.
const (
	mixTraffic  = 40 * time.Second
	mixFinish   = 14 * time.Second
	mixWatch    = 20 * time.Second
	maxMixIdle  = 3 * time.Second
	mixInterval = 600 * time.Millisecond // mean time between two jobs
	maxLasting  = 40                     // cores of the 96 that tasks that last use at most
)

// jobMix submits random jobs: single tasks, gangs, tasks that last, several steps, labels and limits of
// tasks on one worker; their estimates are right, missing or wrong.
type jobMix struct {
	*workloadRig
	rnd     *rand.Rand
	next    time.Duration                  // when the next job is submitted
	lasting int                            // cores that tasks that last use
	idle    map[types.JobID]types.MonoTime // since when a job breaks the rule
	longest time.Duration                  // that a job has broken it
	judged  int                            // rounds in which less than half of the room was in use
	waiting int                            // jobs with nothing running that were seen then
	worst   types.JobID                    // that job
	specs   map[types.JobID]string         // for the report
}

// submitDue submits the jobs that are due.
func (m *jobMix) submitDue(elapsed time.Duration) {
	for ; m.next <= elapsed; m.next += time.Duration(m.rnd.ExpFloat64() * float64(mixInterval)) {
		spec, duration := m.randomJob()
		m.addSpec("job", spec, duration)
		m.specs[m.submitted[len(m.submitted)-1]] = fmt.Sprintf("%v %+v", duration, spec.Steps)
	}
}

// randomJob returns a job and the duration of its tasks.
func (m *jobMix) randomJob() (state.Spec, time.Duration) {
	spec := state.Spec{Queue: []types.QueueName{"q", "target"}[m.rnd.Intn(2)]}
	duration := time.Duration(100+m.rnd.Intn(6000)) * time.Millisecond
	if m.rnd.Intn(12) == 0 {
		duration *= 15
	}
	step := workloadStep(1, types.MilliCores(1+m.rnd.Intn(4)))
	step.Resources.Cores /= 2
	switch kind := m.rnd.Intn(20); {
	case kind <= 1 && m.lasting < maxLasting:
		cores := 1 + m.rnd.Intn(8)
		step = workloadStep(1+m.rnd.Intn(min(6, (maxLasting-m.lasting-1)/cores+1)), types.MilliCores(cores))
		step.AlwaysRestart, step.MaxPerWorker = true, m.rnd.Intn(2)
		m.lasting += step.Tasks * cores
		duration = 0
	case kind <= 3:
		step = workloadStep(2+m.rnd.Intn(5), types.MilliCores(1+m.rnd.Intn(15)))
		step.Gang, step.MaxPerWorker = true, m.rnd.Intn(2)
	case kind <= 6:
		step = workloadStep(1+m.rnd.Intn(4), types.MilliCores(1+m.rnd.Intn(15)))
	case kind <= 8:
		step.Labels = []string{"even"}
	}
	actual := int(duration.Milliseconds())
	step.EstimateMillis = []int{0, 100, actual, actual, 60_000}[m.rnd.Intn(5)]
	spec.Steps = []state.Step{step}
	if duration > 0 && m.rnd.Intn(5) == 0 {
		second := workloadStep(1+m.rnd.Intn(3), types.MilliCores(1+m.rnd.Intn(10)))
		second.Name, second.DependsOn = "second", []string{step.Name}
		second.Gang = m.rnd.Intn(2) == 0
		spec.Steps = append(spec.Steps, second)
	}
	return spec, duration
}

// judge updates the jobs that break the rule now. It is called before each round.
func (m *jobMix) judge() {
	v := m.view()
	slots, total := m.planner.slots.list(v, m.ends, &m.planner.rounds)
	inUse := types.MilliCores(0)
	for i := range slots {
		inUse += slots[i].Capacity.Cores - slots[i].Free.Cores
	}
	if 2*inUse >= total {
		m.idle = nil
		return
	}
	m.judged++
	breaking := map[types.JobID]types.MonoTime{}
	for _, j := range v.state.LiveJobs() {
		ready := v.state.ReadyIndex(j, v.clock)
		if ready.OutstandingAttempts > 0 {
			continue
		}
		m.waiting++
		if !roomTwiceOver(j, ready, slots) {
			continue
		}
		since, ok := m.idle[j.ID]
		if !ok {
			since = m.now
		}
		breaking[j.ID] = since
		if idle := m.now.Sub(since); idle > m.longest {
			m.longest, m.worst = idle, j.ID
		}
	}
	m.idle = breaking
}

// roomTwiceOver reports whether the tasks of one of a job's stages that must start together fit twice
// into what is free.
func roomTwiceOver(j *state.Job, ready *state.ReadyIndex, slots []placement.Slot) bool {
	for _, stage := range ready.Stages {
		request := stageRequest(j, stage.Stage)
		request.Tasks, request.Gang = stage.Tasks, j.Spec.Steps[stage.Stage.Step()].Gang
		missing := 2 * request.MinTasks()
		for i := range slots {
			if !slots[i].Feasible(&request) {
				continue
			}
			fits := slots[i].Free.FitCount(request.Resources)
			if request.MaxPerWorker > 0 {
				fits = min(fits, 2*(request.MaxPerWorker-slots[i].TaskCount(request.StageID)))
			}
			missing -= max(0, fits)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// TestNoJobOfARandomMixIsLeftWaiting guards against jobs for which there is room and that are not
// started, whatever other jobs wait or run: gangs for which there is no room, tasks that last, estimates
// that are wrong.
func TestNoJobOfARandomMixIsLeftWaiting(t *testing.T) {
	seeds := *mixSeeds
	if testing.Short() {
		seeds = min(seeds, maxShortMixSeeds)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := &jobMix{
				workloadRig: newWorkloadRig(t, 24*time.Hour),
				rnd:         rand.New(rand.NewSource(seed)),
				specs:       map[types.JobID]string{},
			}
			for i := range m.agents {
				m.agents[i].Labels = []string{[]string{"even", "odd"}[i%2]}
			}
			m.run(mixTraffic, m.submitDue)
			m.run(mixFinish, nil)
			m.run(mixWatch, func(time.Duration) { m.judge() })
			unfinished := len(m.log.state().LiveJobs())
			t.Logf("%d jobs, %d unfinished, %d rounds judged, %d times a job waited, %v at most beside room for it",
				len(m.submitted), unfinished, m.judged, m.waiting, m.longest)
			if m.longest >= maxMixIdle {
				t.Errorf("%s was left waiting for %v: %s", m.worst, m.longest, m.specs[m.worst])
			}
		})
	}
}
