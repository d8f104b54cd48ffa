package placement

import (
	"strings"
	"time"

	"coppercourse/internal/types"
)

// Request is the tasks of one stage that may be assigned now. It has more than 15 fields
// because it holds all that is asked of a worker and all that decides on the order.
type Request struct {
	types.StageID
	Queue  types.QueueName
	Tenant types.TenantName // whose limit holds for it, or empty
	Tasks  []int            // their numbers; assigned ones are removed

	// What the tasks ask of a worker.
	Kind          types.ServiceKind
	Rack          types.Rack // where they must run, or empty
	Labels        []string
	Resources     types.Resources // of one task
	TimeLimit     time.Duration   // of an attempt
	Gang          bool            // all are assigned together
	MaxPerWorker  int             // of the stage's tasks, 0 for no bound
	DataRack      types.Rack      // where their data is; preferred
	DataRackWait  time.Duration   // how long they wait for it before they go elsewhere
	PreferOneRack bool            // they are slower when spread over racks
	AvoidWorkers  map[types.Shard]bool

	// What decides on the order.
	Urgency         int              // within the queue the higher goes first
	SortKey         float64          // in queues with a latency target the lower goes first
	Class           TargetClass      // whether the job can still meet its target
	WaitingFor      time.Duration    // since it was ready
	HeadroomPercent int              // upper bound on what is kept free for higher priorities; see MaxQueueCores
	MaxQueueCores   types.MilliCores // that its queue may use with it, 0 for no bound
	JobIdle         bool             // nothing of its job is running
}

// TargetClass is whether a job can still meet its queue's latency target.
type TargetClass int

// Classes of jobs. Those of queues without a target are OnTarget; a job over its tenant's rate
// is TargetMissed in any queue.
const (
	OnTarget     TargetClass = iota
	Late                     // it will miss its target, but not by much
	TargetMissed             // it will miss its target by so much that it hardly matters any more
)

// priorityPenalty is how much the priority number of a class is raised beside requests of
// other queues that are on target.
var priorityPenalty = [...]int{OnTarget: 0, Late: 2, TargetMissed: 6}

// MinTasks returns how many tasks must be assigned together.
func (r *Request) MinTasks() int {
	if r.Gang {
		return len(r.Tasks)
	}
	return 1
}

// effectivePriority returns the priority with which the request takes part in the turns;
// lower goes first.
func (r *Request) effectivePriority(usage *QueueUsage) int {
	return usage.Queue.Priority + priorityPenalty[r.Class]
}

// requestShape is what decides on the slots that a request can use. If one request finds
// none, another of its shape won't either.
type requestShape struct {
	kind      types.ServiceKind
	rack      types.Rack
	labels    string
	resources types.Resources
	timeLimit time.Duration
}

func (r *Request) shape() requestShape {
	return requestShape{
		kind: r.Kind, rack: r.Rack, labels: strings.Join(r.Labels, " "),
		resources: r.Resources, timeLimit: r.TimeLimit,
	}
}
