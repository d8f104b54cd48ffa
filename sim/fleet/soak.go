package fleet

import (
	"math/rand"
	"time"
)

// Times of the faults of a soak run. The faults are closer together than they last, so that they
// overlap.
const (
	firstSoakFault        = 2 * time.Second
	minSoakFaultInterval  = 200 * time.Millisecond
	soakFaultIntervalSpan = 800 * time.Millisecond // above the minimum
	minSoakFaultDuration  = 300 * time.Millisecond
	soakFaultDurationSpan = 3 * time.Second // above the minimum
)

// soakFaults are the faults of a soak run. None of them loses a disk.
var soakFaults = []string{
	"kill-leader", "kill-controller", "kill-gateway", "kill-agent", "kill-worker", "kill-machine",
	"freeze-leader", "freeze-agent", "freeze-worker", "freeze-machine",
	"cut-zone", "cut-leader", "cut-core", "cut-agent", "cut-worker",
	"restart-leader", "restart-controller", "restart-gateway", "restart-agent",
}

// SoakFaults draws a series of faults that overlap, for traffic of the given duration.
func SoakFaults(seed int64, duration time.Duration) []ScheduledFault {
	random := rand.New(rand.NewSource(seed))
	between := func(least, span time.Duration) time.Duration {
		return least + time.Duration(random.Int63n(int64(span)))
	}
	var list []ScheduledFault
	for at := firstSoakFault; at < duration; at += between(minSoakFaultInterval, soakFaultIntervalSpan) {
		list = append(list, ScheduledFault{
			Name:     soakFaults[random.Intn(len(soakFaults))],
			At:       at,
			Duration: between(minSoakFaultDuration, soakFaultDurationSpan),
		})
	}
	return list
}
