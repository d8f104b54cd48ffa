package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Each worker that cannot take a task of the request is counted under one reason, and the reasons
// are distinguished.
func TestDiagnosisDistinguishesRejectReasons(t *testing.T) {
	is := is.New(t)
	usage := usageOf(config.Queue{Name: "q"})
	request := newRequest("j", "q", 1, 4)
	request.MaxPerWorker = 1
	slots := newSlots(7, 8)
	slots[0].Capacity.Cores, slots[0].Free.Cores = 2*types.Core, 2*types.Core
	slots[1].Free.Cores = 3 * types.Core
	slots[2].TasksByStage[request.StageID] = 1
	slots[3].reserved = types.Resources{Cores: 8 * types.Core}
	request.TimeLimit = time.Second
	slots[4].CurrentDurationFactor = 3
	slots[5].FailureRate, slots[5].RunningTasks = 1, 1
	diagnosis := Diagnose(Input{Slots: slots, Usage: usage}, &request)
	is.Equal(diagnosis.Queue, NotRejected)
	is.Equal(diagnosis.Workers, map[RejectReason]int{
		Infeasible: 1, InsufficientCapacity: 1, MaxPerWorkerReached: 1, Reserved: 1, SlowWorker: 1,
		FailingWorker: 1, NotRejected: 1,
	})
}

func TestDiagnosisReportsQueueRejectReason(t *testing.T) {
	is := is.New(t)
	usage := usageOf(config.Queue{Name: "q"})
	request := newRequest("j", "q", 1, 4)
	request.MaxQueueCores = 4 * types.Core
	usage["q"].CoresInUse = types.Core
	is.Equal(Diagnose(Input{Slots: newSlots(1, 8), Usage: usage}, &request).Queue, HeadroomLimit)
	usage["q"].RunningTasks = usage["q"].Queue.MaxRunning
	is.Equal(Diagnose(Input{Slots: newSlots(1, 8), Usage: usage}, &request).Queue, QueueLimit)
}

func TestDiagnosisWhileWaitingForDataRack(t *testing.T) {
	is := is.New(t)
	request := newRequest("j", "q", 1, 4)
	request.DataRack, request.DataRackWait = "r1", time.Second
	slots := newSlots(6, 8)
	for i := 3; i < 6; i++ {
		slots[i].Free = types.Resources{}
	}
	diagnosis := Diagnose(Input{Slots: slots}, &request)
	is.Equal(diagnosis.Workers, map[RejectReason]int{WaitingForDataRack: 3, InsufficientCapacity: 3})
}
