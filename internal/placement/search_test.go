package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// oneQueue returns the usage of one idle queue, a.
func oneQueue(maxRunning int) map[types.QueueName]*QueueUsage {
	return map[types.QueueName]*QueueUsage{"a": newUsage(1, 0, maxRunning)}
}

func TestInfeasibleRequestsDoNotBlockOthers(t *testing.T) {
	is := is.New(t)
	big := newRequest("big", "a", 3, 11)
	gang := newRequest("gang", "a", 9, 5)
	gang.Gang = true
	far := newRequest("far", "a", 1, 1)
	far.Rack = "r9"
	requests := []Request{big, gang, far, newRequest("small", "a", 4, 1)}
	got := tasksByJob(place(requests, newSlots(4, 10), oneQueue(500), 40))
	is.Equal(got, map[types.JobID]int{"small": 4}) // and no part of the gang
}

func TestGangIsPlacedWholeWithinMaxPerWorker(t *testing.T) {
	is := is.New(t)
	gang := newRequest("g", "a", 6, 2)
	gang.Gang, gang.MaxPerWorker = true, 2
	assignments := place([]Request{gang}, newSlots(3, 10), oneQueue(6), 30)
	is.Equal(len(assignments), 6)
	perWorker := map[types.Shard]int{}
	for _, assignment := range assignments {
		perWorker[assignment.Shard]++
	}
	is.Equal(perWorker, map[types.Shard]int{"k0": 2, "k1": 2, "k2": 2})
	is.Equal(len(place([]Request{gang}, newSlots(3, 10), oneQueue(5), 30)), 0) // the queue's limit is below the gang
	is.Equal(len(place([]Request{gang}, newSlots(2, 10), oneQueue(6), 30)), 0) // too few workers
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	slots := newSlots(3, 7)
	place([]Request{newRequest("a", "a", 50, 2), newRequest("b", "a", 50, 3)}, slots, oneQueue(500), 21)
	for _, slot := range slots {
		is.True(slot.Free.Cores >= 0)
	}
}

// A worker with a high failure rate gets one task at a time.
func TestUnreliableWorkerGetsOneTask(t *testing.T) {
	is := is.New(t)
	slots := newSlots(3, 10)
	slots[0].FailureRate = 0.9
	onUnreliable := 0
	for _, assignment := range place([]Request{newRequest("a", "a", 12, 1)}, slots, oneQueue(500), 30) {
		if assignment.Shard == "k0" {
			onUnreliable++
		}
	}
	is.True(onUnreliable <= 1)
}

// A slow worker gets nothing, or one task if it is due to show whether it is still slow.
func TestSlowWorkerGetsAtMostOneTask(t *testing.T) {
	for _, c := range []struct {
		name     string
		running  int
		probeDue bool
		want     int
	}{
		{"just found", 0, false, 0},
		{"due, idle", 0, true, 1},
		{"due, busy", 1, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			slots := newSlots(1, 10)
			slots[0].CurrentDurationFactor, slots[0].ProbeDue = 1.5, c.probeDue
			slots[0].RunningTasks = c.running
			is.Equal(len(place([]Request{newRequest("a", "a", 5, 1)}, slots, oneQueue(500), 10)), c.want)
		})
	}
}

// No task starts on a worker that could run longer than the worker is available.
func TestTasksFitIntoAvailableTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		timeLimit time.Duration
		want      int
	}{
		{"longer than one worker is available", time.Minute, 10},
		{"short enough", time.Second, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			slots := newSlots(2, 10)
			slots[0].AvailableFor = 30 * time.Second
			request := newRequest("a", "a", 30, 1)
			request.TimeLimit = c.timeLimit
			is.Equal(len(place([]Request{request}, slots, oneQueue(500), 20)), c.want)
		})
	}
}

func TestDataRackIsPreferred(t *testing.T) {
	is := is.New(t)
	request := newRequest("j", "q", 2, 1)
	request.DataRack = "r1"
	slots := newSlots(6, 4)
	slots[4].Free.Cores = types.Core // little capacity, but in the rack of the data
	assignments := place([]Request{request}, slots, usageOf(config.Queue{Name: "q"}), 24)
	is.Equal(len(assignments), 2)
	for _, assignment := range assignments {
		is.True(assignment.Shard == "k3" || assignment.Shard == "k4" || assignment.Shard == "k5")
	}
}

func TestLabelsAreRequired(t *testing.T) {
	is := is.New(t)
	request := newRequest("j", "q", 2, 1)
	request.Labels = []string{"ssd", "b"}
	slots := newSlots(6, 4)
	is.Equal(len(place([]Request{request}, slots, usageOf(config.Queue{Name: "q"}), 24)), 0)
	slots[2].Labels = []string{"b", "r0", "ssd"}
	for _, assignment := range place([]Request{request}, slots, usageOf(config.Queue{Name: "q"}), 24) {
		is.Equal(assignment.Shard, types.Shard("k2"))
	}
}

// A gang that is slower when spread over racks is placed on one rack if it fits there.
func TestGangIsPlacedOnOneRackIfItFits(t *testing.T) {
	is := is.New(t)
	request := newRequest("j", "q", 6, 2)
	request.Gang, request.PreferOneRack = true, true
	tasksByRack := func(slots []Slot) map[types.Rack]int {
		rackOf := map[types.Shard]types.Rack{}
		for _, slot := range slots {
			rackOf[slot.Shard] = slot.Rack
		}
		count := map[types.Rack]int{}
		for _, assignment := range place([]Request{request}, slots, usageOf(config.Queue{Name: "q"}), 24) {
			count[rackOf[assignment.Shard]]++
		}
		return count
	}
	is.Equal(len(tasksByRack(newSlots(6, 4))), 1)
	slots := newSlots(6, 4)
	slots[0].Free.Cores, slots[3].Free.Cores = 0, 0
	got := tasksByRack(slots)
	is.Equal(got["r0"]+got["r1"], 6) // spread over two rather than not placed
}

// A request is placed only in the rack of its data until it has waited for DataRackWait, if a
// worker in that rack could run it.
func TestRequestWaitsForItsDataRack(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(*Request, []Slot)
		wantPlaced int
	}{
		{"there is room", func(*Request, []Slot) {}, 2},
		{"the rack is full", func(_ *Request, slots []Slot) { fillRack(slots, "r1") }, 0},
		{"the rack is full and it has waited", func(request *Request, slots []Slot) {
			fillRack(slots, "r1")
			request.WaitingFor = time.Second
		}, 2},
		{"no worker of the rack can run it", func(request *Request, slots []Slot) {
			request.Labels = []string{"b"}
			slots[0].Labels, slots[1].Labels = request.Labels, request.Labels
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request := newRequest("j", "q", 2, 1)
			request.DataRack, request.DataRackWait = "r1", time.Second
			slots := newSlots(6, 4)
			c.change(&request, slots)
			other := newRequest("k", "q", 1, 1) // of the same shape, without data
			placed := tasksByJob(place([]Request{request, other}, slots, usageOf(config.Queue{Name: "q"}), 24))
			is.Equal(placed["j"], c.wantPlaced)
			is.Equal(placed["k"], 1)
		})
	}
}

// fillRack leaves no capacity free on a rack.
func fillRack(slots []Slot, rack types.Rack) {
	for i := range slots {
		if slots[i].Rack == rack {
			slots[i].Free = types.Resources{}
		}
	}
}
