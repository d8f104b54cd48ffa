package deployment

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/worker"
)

// Bounds of the load of a random deployment, as the fraction of all cores that its jobs use.
const (
	minRandomLoad = 0.4
	maxRandomLoad = 0.75
)

// Random returns a deployment with invoked workers, generated from a seed: the number of machines,
// the sizes and speeds of workers and the jobs are drawn at random.
func Random(seed int64) Deployment {
	random := rand.New(rand.NewSource(seed))
	logUniform := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }
	uniformInt := func(low, high int) int { return low + random.Intn(high-low+1) }
	zones := uniformInt(3, 4)
	size := Size{
		Zones: zones, Controllers: zones, Gateways: zones + 1, Workers: uniformInt(9, 20),
		WorkersPerRack: uniformInt(3, 6), Founders: 3,
	}
	cores := types.MilliCores(logUniform(12, 64)) * types.Core
	rules := worker.Rules{
		MaxLease:           time.Duration(uniformInt(6, 10)) * time.Second,
		MaxStopTime:        time.Duration(uniformInt(200, 900)) * time.Millisecond,
		GangTimeout:        time.Duration(uniformInt(3, 4)) * time.Second,
		CheckpointInterval: time.Duration(uniformInt(1, 2)) * time.Second,
		RestoreTime:        time.Duration(uniformInt(250, 600)) * time.Millisecond,
		RemoteSlowdown:     logUniform(1.2, 3),
		HeartbeatInterval:  heartbeatInterval,
	}
	shapes := []JobShape{drawUrgent(random, cores), drawLong(random, cores), drawMedium(random, cores)}
	scaleToLoad(shapes,
		logUniform(minRandomLoad, maxRandomLoad)*float64(size.Workers)*float64(cores)/float64(types.Core))
	d := newInvokedDeployment(fmt.Sprint("drawn-", seed), cores, rules, shapes...)
	d.Size = size
	for range 4 {
		d.WorkerSizes = append(d.WorkerSizes, logUniform(0.5, 2))
		d.WorkerSlowdowns = append(d.WorkerSlowdowns, logUniform(0.8, 1.25))
	}
	return d
}

// drawUrgent draws the shape of urgent jobs with short tasks.
func drawUrgent(random *rand.Rand, cores types.MilliCores) JobShape {
	shape := drawShape(random, cores, 200, 900)
	shape.Queue, shape.Priority, shape.TargetFactor = "urgent", 0, 1.5
	shape.Tasks, shape.TargetMarginMS = 4+16*random.Float64(), 200+random.Intn(200)
	shape.RackDataRate, shape.HedgedRate = 0.4*random.Float64(), 0.6*random.Float64()
	return shape
}

// drawLong draws the shape of deferrable jobs with many long tasks.
func drawLong(random *rand.Rand, cores types.MilliCores) JobShape {
	shape := drawShape(random, cores, 3000, 6500)
	shape.Queue, shape.Priority, shape.TargetFactor = "long", 2, 3+random.Float64()
	shape.Tasks, shape.TargetMarginMS = 5+35*random.Float64(), 3000
	shape.CheckpointRate, shape.GangRate = 0.4+0.4*random.Float64(), 0.3*random.Float64()
	return shape
}

// drawMedium draws the shape of jobs with few tasks of medium duration.
func drawMedium(random *rand.Rand, cores types.MilliCores) JobShape {
	shape := drawShape(random, cores, 500, 1500)
	shape.Queue, shape.Priority, shape.TargetFactor = "middle", 1, 2.2
	shape.Tasks, shape.TargetMarginMS = 2+4*random.Float64(), 1000
	shape.SpreadRate = 0.4 * random.Float64()
	return shape
}

// drawShape draws the properties common to all kinds of jobs.
func drawShape(random *rand.Rand, cores types.MilliCores, minTaskMS, maxTaskMS int) JobShape {
	taskCores := float64(cores) / float64(types.Core) * (0.03 + 0.12*random.Float64())
	return JobShape{
		Steps: 1 + random.Float64(), TaskMS: float64(minTaskMS + random.Intn(maxTaskMS-minTaskMS)),
		Cores: taskCores, MemoryMB: taskCores * 1000,
		Variation: 0.1 + 0.4*random.Float64(), EstimateError: 0.2 + 0.7*random.Float64(),
		FailureRate: 0.03 * random.Float64(), LabelRate: 0.15 * random.Float64(), MaxFailures: 4,
	}
}

// scaleToLoad sets the job rates so that the shapes together use the given number of cores: half
// of it for the long jobs, and a quarter for each of the others.
func scaleToLoad(shapes []JobShape, cores float64) {
	for i, fraction := range []float64{0.25, 0.5, 0.25} {
		shape := &shapes[i]
		work := shape.Steps * shape.Tasks * shape.TaskMS / 1000 * shape.Cores // core-seconds per job
		shape.MeanInterval = time.Duration(work / (fraction * cores) * float64(time.Second))
	}
}
