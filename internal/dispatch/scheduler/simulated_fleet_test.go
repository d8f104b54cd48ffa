package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// fleetStep is the time step of a simulated fleet.
	fleetStep = 50 * time.Millisecond
	// maxTasksPerWorker is how many tasks a simulated worker runs at once.
	maxTasksPerWorker = 6
	// estimateInterval is the time between two estimates of the duration of a running task.
	estimateInterval = 250 * time.Millisecond
)

// taskMix is one kind of steps that a simulated fleet runs.
type taskMix struct {
	stagesPerSecond float64
	tasks           int           // of a stage
	duration        time.Duration // mean of a stage's tasks
	deviation       float64       // standard deviation of the durations, as a fraction of the mean
}

// fleetTask is a task that runs on a worker of a simulated fleet.
type fleetTask struct {
	attempt     *OutstandingAttempt
	remaining   time.Duration // at the normal speed
	done        time.Duration // at the normal speed
	estimatedAt types.MonoTime
}

// simulatedFleet runs tasks on workers and reports their durations to a scheduler as agents do.
// Durations of a stage's tasks are lognormal, and independent of the worker.
type simulatedFleet struct {
	scheduler *Scheduler
	random    *rand.Rand
	shards    []types.Shard
	slowness  map[types.Shard]float64 // how many times longer tasks take; 1 if missing
	running   map[types.Shard][]*fleetTask
	mixes     []taskMix
	stages    int // number of stages started
}

func newSimulatedFleet(seed int64, workers int, mixes ...taskMix) *simulatedFleet {
	sc, _ := newTestScheduler()
	f := &simulatedFleet{
		scheduler: sc,
		random:    rand.New(rand.NewSource(seed)),
		slowness:  map[types.Shard]float64{},
		running:   map[types.Shard][]*fleetTask{},
		mixes:     mixes,
	}
	for i := range workers {
		shard := types.Shard(fmt.Sprint("w", i))
		heartbeat := protocol.Heartbeat{Shard: shard, Instance: types.ID(shard), SentAt: 1}
		from := types.Addr(shard)
		sc.HandleMessage(testStart, time.Minute, wire.NewMessage(from, "h", wire.Heartbeat, heartbeat).Message)
		f.shards = append(f.shards, shard)
	}
	return f
}

// run advances the fleet and calls observe after each second, if it is not nil.
func (f *simulatedFleet) run(lasts time.Duration, observe func()) {
	for step := 1; step <= int(lasts/fleetStep); step++ {
		f.scheduler.Tick(f.scheduler.now.Add(fleetStep), time.Minute)
		f.scheduler.TakeOutput()
		f.startStages()
		for _, shard := range f.shards {
			f.advance(shard)
		}
		if observe != nil && step%int(time.Second/fleetStep) == 0 {
			observe()
		}
	}
}

func (f *simulatedFleet) startStages() {
	for _, mix := range f.mixes {
		expected := mix.stagesPerSecond * fleetStep.Seconds()
		count := int(expected)
		if f.random.Float64() < expected-float64(count) {
			count++
		}
		for range count {
			f.startStage(mix)
		}
	}
}

// startStage starts the tasks of a stage on the first workers of a random order that have room.
func (f *simulatedFleet) startStage(mix taskMix) {
	f.stages++
	job := types.JobID(fmt.Sprint("job", f.stages))
	mean := mix.duration.Seconds() * (0.5 + f.random.Float64())
	task := 0
	for _, i := range f.random.Perm(len(f.shards)) {
		shard := f.shards[i]
		if task == mix.tasks || len(f.running[shard]) >= maxTasksPerWorker {
			continue
		}
		id := types.AttemptID{TaskID: types.TaskID{Job: job, TaskNumber: task}, Attempt: 1}
		attempt := &OutstandingAttempt{ID: id, Shard: shard, DispatchedAt: f.scheduler.now}
		seconds := mean * lognormal(f.random, mix.deviation)
		started := &fleetTask{attempt: attempt, remaining: time.Duration(seconds * float64(time.Second))}
		f.running[shard] = append(f.running[shard], started)
		task++
	}
}

// lognormal draws from a lognormal distribution with mean 1.
func lognormal(random *rand.Rand, deviation float64) float64 {
	variance := math.Log(1 + deviation*deviation)
	return math.Exp(math.Sqrt(variance)*random.NormFloat64() - variance/2)
}

// advance runs the tasks of a worker for one step and reports ends and estimates.
func (f *simulatedFleet) advance(shard types.Shard) {
	speed := 1 / max(1, f.slowness[shard])
	var left []*fleetTask
	for _, task := range f.running[shard] {
		progress := time.Duration(speed * float64(fleetStep))
		task.done += progress
		task.remaining -= progress
		ran := f.scheduler.now.Sub(task.attempt.DispatchedAt)
		if task.remaining <= 0 {
			f.scheduler.recordDuration(task.attempt, ran, true)
			continue
		}
		left = append(left, task)
		if f.scheduler.now.Sub(max(task.estimatedAt, task.attempt.DispatchedAt)) >= estimateInterval {
			task.estimatedAt = f.scheduler.now
			total := float64(task.done+task.remaining) / float64(task.done)
			f.scheduler.recordDuration(task.attempt, time.Duration(float64(ran)*total), false)
		}
	}
	f.running[shard] = left
}

// slow returns the workers that count as slow, apart from those of exclude.
func (f *simulatedFleet) slow(exclude map[types.Shard]float64) (list []types.Shard) {
	for _, shard := range f.shards {
		if f.scheduler.Slowdown(f.scheduler.Worker(shard)) > 0 && exclude[shard] == 0 {
			list = append(list, shard)
		}
	}
	return list
}

// slowDown makes the first workers of the fleet slower.
func (f *simulatedFleet) slowDown(count int, factor float64) {
	for _, shard := range f.shards[:count] {
		f.slowness[shard] = factor
	}
}
