package placement

// Obstacle is what keeps a request from its turn, or its tasks from a worker.
type Obstacle string

// Obstacles of a request.
const (
	NoObstacle Obstacle = ""
	QueueLimit Obstacle = "queue limit" // its queue may run no more tasks
	CoresKept  Obstacle = "cores kept"  // its queue must leave cores to more urgent ones
)

// Obstacles of a worker for the tasks of a request.
const (
	Unsuitable Obstacle = "unsuitable" // it could not run them if it were idle
	OtherRack  Obstacle = "other rack" // they still wait for a worker beside their data
	NoRoom     Obstacle = "no room"    // what runs there leaves too little
	StageFull  Obstacle = "stage full" // it has as many tasks of the stage as it may have
	Reserved   Obstacle = "reserved"   // the room is kept for another request
	Distrusted Obstacle = "distrusted" // its attempts fail, or it is slow
)

// Diagnosis says why a request was not placed in a round.
type Diagnosis struct {
	Queue   Obstacle         // what keeps it from its turn
	Workers map[Obstacle]int // how many workers can't take another task, by the reason, and can by none
}

// Diagnose finds what keeps a request from being placed, given a round's input as Place has
// left it.
func Diagnose(input Input, request *Request) Diagnosis {
	r := newRound(input)
	diagnosis := Diagnosis{Workers: map[Obstacle]int{}}
	if usage := input.Usage[request.Queue]; usage != nil {
		diagnosis.Queue = usage.obstacle(request)
	}
	waitsForDataRack := r.waitsForDataRack(request)
	for i := range r.Slots {
		slot := &r.Slots[i]
		if waitsForDataRack && slot.Rack != request.DataRack {
			diagnosis.Workers[OtherRack]++
			continue
		}
		diagnosis.Workers[r.slotObstacle(slot, request)]++
	}
	return diagnosis
}

// obstacle returns what keeps the queue from running the next tasks of a request.
func (q *QueueUsage) obstacle(request *Request) Obstacle {
	switch {
	case !q.hasQuota(request):
		return QueueLimit
	case q.exceedsCap(request):
		return CoresKept
	}
	return NoObstacle
}

// slotObstacle returns why accepts rejects another task of a request on a slot.
func (r *round) slotObstacle(slot *Slot, request *Request) Obstacle {
	switch {
	case r.accepts(slot, request, slot.Free, 0):
		return NoObstacle
	case !slot.Feasible(request):
		return Unsuitable
	case !slot.Free.Contains(request.Resources):
		return NoRoom
	case request.MaxPerWorker > 0 && slot.TaskCount(request.StageID) >= request.MaxPerWorker:
		return StageFull
	case !r.trusts(slot, slot.RunningTasks):
		return Distrusted
	}
	return Reserved
}
