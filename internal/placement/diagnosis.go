package placement

// RejectReason is why a queue may not run a request, or why a worker cannot take its tasks.
type RejectReason string

// Reasons why the queue of a request may not run it.
const (
	NotRejected   RejectReason = ""
	QueueLimit    RejectReason = "queue limit" // the queue is at its limit on running tasks
	HeadroomLimit RejectReason = "cores kept"  // the queue must leave cores to queues of higher priority
)

// Reasons why a worker cannot take a task of a request.
const (
	Infeasible           RejectReason = "unsuitable" // it could not run the task even if it were idle
	WaitingForDataRack   RejectReason = "other rack" // the request still waits for a worker in the rack of its data
	InsufficientCapacity RejectReason = "no room"    // too little of it is free
	MaxPerWorkerReached  RejectReason = "stage full" // it runs as many tasks of the stage as allowed
	Reserved             RejectReason = "reserved"   // its free capacity is reserved for another request
	FailingWorker        RejectReason = "failing"    // its attempts fail too often for it to get more now
	SlowWorker           RejectReason = "slow"       // it is currently too slow to get more
)

// Diagnosis explains why a request was not placed in a round.
type Diagnosis struct {
	Queue   RejectReason         // why its queue may not run it
	Workers map[RejectReason]int // number of workers by reason; NotRejected are those that could take another task
}

// Diagnose determines why a request was not placed, given the input of a round as Place has left
// it.
func Diagnose(input Input, request *Request) Diagnosis {
	r := newRound(input)
	diagnosis := Diagnosis{Workers: map[RejectReason]int{}}
	if usage := input.Usage[request.Queue]; usage != nil {
		diagnosis.Queue = usage.rejectReason(request)
	}
	waitsForDataRack := r.waitsForDataRack(request)
	for i := range r.Slots {
		slot := &r.Slots[i]
		if waitsForDataRack && slot.Rack != request.DataRack {
			diagnosis.Workers[WaitingForDataRack]++
			continue
		}
		diagnosis.Workers[r.rejectReason(slot, request)]++
	}
	return diagnosis
}

// rejectReason returns why the queue may not run the next tasks of a request.
func (q *QueueUsage) rejectReason(request *Request) RejectReason {
	switch {
	case !q.hasQuota(request):
		return QueueLimit
	case q.exceedsCap(request):
		return HeadroomLimit
	}
	return NotRejected
}

// rejectReason returns why accepts rejects another task of a request on a slot.
func (r *round) rejectReason(slot *Slot, request *Request) RejectReason {
	switch {
	case r.accepts(slot, request, slot.Free, 0):
		return NotRejected
	case !slot.Feasible(request):
		return Infeasible
	case !slot.Free.Contains(request.Resources):
		return InsufficientCapacity
	case request.MaxPerWorker > 0 && slot.TaskCount(request.StageID) >= request.MaxPerWorker:
		return MaxPerWorkerReached
	}
	if reason := r.performanceLimit(slot, slot.RunningTasks); reason != NotRejected {
		return reason
	}
	return Reserved
}
