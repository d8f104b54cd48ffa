package placement

import (
	"strings"
	"time"

	"coppercourse/internal/types"
)

// Request is the set of tasks of one stage that may be assigned now. It has more than 15 fields
// because it holds all requirements on a worker and all criteria of the order.
type Request struct {
	types.StageID
	Queue  types.QueueName
	Tenant types.TenantName // whose limit applies, or empty
	Tasks  []int            // task numbers; assigned ones are removed

	// Requirements on workers.
	Kind          types.ServiceKind
	Rack          types.Rack // required rack, or empty
	Labels        []string
	Resources     types.Resources // of one task
	TimeLimit     time.Duration   // of an attempt
	Gang          bool            // all tasks are assigned together
	MaxPerWorker  int             // maximum number of the stage's tasks on one worker, 0 for no limit
	DataRack      types.Rack      // rack of their data; preferred
	DataRackWait  time.Duration   // how long they wait for DataRack before they may use other racks
	PreferOneRack bool            // they are slower when spread over racks
	AvoidWorkers  map[types.Shard]bool

	// Criteria of the order.
	Urgency         int              // higher goes first within the queue
	SortKey         float64          // lower goes first in queues with a latency target
	Class           TargetClass      // whether the job can still meet its target
	WaitingFor      time.Duration    // time since it was ready
	HeadroomPercent int              // upper bound of the cores kept free for higher priorities; see MaxQueueCores
	MaxQueueCores   types.MilliCores // maximum cores of its queue including the request, 0 for no limit
	JobIdle         bool             // no task of its job is running

	ReservationPaused bool // no workers are reserved for it now
	ReservedBefore    bool // workers were reserved for it in vain; it gets them again even if it is late by now
	UsesReserved      bool // it may use capacity that is reserved for other requests
}

// TargetClass says whether a job can still meet its queue's latency target.
type TargetClass int

// Classes of jobs. Jobs of queues without a target are OnTarget; a job over its tenant's rate is
// TargetMissed in any queue.
const (
	OnTarget     TargetClass = iota
	Late                     // it will miss its target by a little
	TargetMissed             // it will miss its target by so much that further delay hardly matters
)

// priorityPenalty is added to the priority number of a request's queue, by the request's class,
// when it is compared with on-target requests of other queues.
var priorityPenalty = [...]int{OnTarget: 0, Late: 2, TargetMissed: 6}

// MinTasks returns how many tasks must be assigned together.
func (r *Request) MinTasks() int {
	if r.Gang {
		return len(r.Tasks)
	}
	return 1
}

// effectivePriority returns the priority by which the request takes its turn; lower goes first.
func (r *Request) effectivePriority(usage *QueueUsage) int {
	return usage.Queue.Priority + priorityPenalty[r.Class]
}

// requestShape holds the properties of a request that determine which slots it can use. If one
// request finds no slot, another of the same shape finds none either.
type requestShape struct {
	kind      types.ServiceKind
	rack      types.Rack
	labels    string
	resources types.Resources
	timeLimit time.Duration

	usesReserved bool
}

func (r *Request) shape() requestShape {
	return requestShape{
		kind: r.Kind, rack: r.Rack, labels: strings.Join(r.Labels, " "),
		resources: r.Resources, timeLimit: r.TimeLimit, usesReserved: r.UsesReserved,
	}
}
