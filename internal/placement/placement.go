// Package placement decides which waiting task goes to which worker. It is one
// pure function over what the leader knows at that moment. Queues take turns by
// how little of their due they have; a task that finds no place is passed over
// and holds up nobody behind it; a gang is placed whole or not at all. One that
// was passed over for long while smaller work kept flowing gets a reservation:
// named workers on which others may start only what surely ends before the
// reserved work could begin anyway.
package placement

import (
	"slices"
	"sort"
	"strings"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Slot is a worker that may be given work.
type Slot struct {
	Shard types.Shard
	Rack  types.Rack
	Kinds []types.ServiceKind

	Labels []string

	Free                  types.Resources
	FailureRate           float64
	DurationFactor        float64
	CurrentDurationFactor float64 // how many times the usual what runs there takes now; 0 is as usual
	RunningTasks          int
	TasksByGroup          map[TaskGroup]int // tasks of each part that run there; it may be shared, and is not changed
	Capacity              types.Resources   // when nothing runs there
	AvailableFor          time.Duration     // how long until it may run nothing; 0 is without end
	IdleIn                time.Duration     // by when all that runs there has ended, by its limits
	reserved              types.Resources   // reserved of it
	assigned              []TaskGroup       // of the tasks that were placed there since Has was made
}

// TaskCount is how many tasks of a part are there.
func (s *Slot) TaskCount(group TaskGroup) int {
	count := s.TasksByGroup[group]
	for _, x := range s.assigned {
		if x == group {
			count++
		}
	}
	return count
}

// Assign places a task of a part there, and takes its room.
func (s *Slot) Assign(group TaskGroup, resources types.Resources) {
	s.Free = s.Free.Sub(resources)
	s.RunningTasks++
	s.assigned = append(s.assigned, group)
}

// TaskGroup is one step of one job, at one of its times.
type TaskGroup struct {
	Job   types.JobID
	Stage types.Stage
}

// Request is the tasks of one step that may start now.
type Request struct {
	TaskGroup
	Queue        types.QueueName
	Urgency      int
	Kind         types.ServiceKind
	Rack         types.Rack
	Labels       []string
	Resources    types.Resources
	MaxPerWorker int
	Gang         bool
	Tasks        []int
	TimeLimit    time.Duration // its time limit
	WaitingFor   time.Duration // how long it has been ready

	Class           TargetClass      // whether its job can still meet its aim
	HeadroomPercent int              // percent of all cores that it leaves at most to what goes before it
	MaxQueueCores   types.MilliCores // what its queue may have in use with it, or 0 for no bound
	JobIdle         bool             // nothing of its job runs
	SortKey         float64          // of what is in the same class, the lowest goes first
	DataRack        types.Rack       // where its data is
	PreferOneRack   bool             // it is slower when spread over racks
	AvoidWorkers    map[types.Shard]bool
}

// MinTasks is how many tasks must be placed together.
func (r Request) MinTasks() int {
	if r.Gang {
		return len(r.Tasks)
	}
	return 1
}

// Reservation is room on named workers kept for one step of a job.
type Reservation struct {
	TaskGroup
	Workers []ReservedWorker
}

// RemoteWorker is a worker and for how many tasks room is kept there.
type ReservedWorker struct {
	Shard types.Shard
	Tasks int
}

// Input is all that the choice looks at.
type Input struct {
	Requests    []Request // oldest first
	Slots       []Slot
	Usage       map[types.QueueName]*QueueUsage
	TotalCores  types.MilliCores
	Reservation *Reservation
}

// Output is the round's placements, and the reservation to keep.
type Output struct {
	Assignments []Assignment
	Reservation *Reservation
}

// ReserveAfter is how long work is passed over before workers are reserved for it.
const ReserveAfter = 3 * time.Second

// QueueUsage is a queue's row and what it has in use.
type QueueUsage struct {
	Queue        config.Queue
	RunningTasks int
	CoresInUse   types.MilliCores
}

// Assignment is one placement.
type Assignment struct {
	Task  types.TaskID
	Shard types.Shard
}

// MaxAssignments is how many tasks one round places; the next round goes on.
const MaxAssignments = 400

// A worker whose attempts end badly this much more often than the others' gets
// one task at a time, by which it can prove itself.
const failureRateMargin = 0.35

type queueTurn struct {
	usage    *QueueUsage
	requests []Request
}

// round is one call of Place.
type round struct {
	Input
	output          Output
	meanFailureRate float64
	infeasible      map[requestShape]bool
	passedOver      *Request // the first whose turn it was, passed over for too long
	bypassed        bool     // and other work took room that would have suited it
	freeScratch     []types.Resources
	addedScratch    []int
	slotsHeldFree   int // slots on which room is kept, for this round, for work that found none
}

// Place gives the round's placements.
func Place(input Input) Output {
	r := &round{Input: input, infeasible: map[requestShape]bool{}}
	for _, s := range r.Slots {
		r.meanFailureRate += s.FailureRate / float64(len(r.Slots))
	}
	r.honorReservation()
	turns := groupByQueue(r.Requests, r.Usage)
	for len(r.output.Assignments) < MaxAssignments {
		turn := nextQueue(turns, r.TotalCores)
		if turn == nil {
			break
		}
		request := &turn.requests[0]
		tasks := request.MinTasks()
		withinQuota := turn.usage.RunningTasks+tasks <= turn.usage.Queue.MaxRunning && !turn.usage.exceedsCap(request, tasks)
		var slots []int
		if shape := request.resourceShape(); withinQuota && (!r.infeasible[shape] || request.Gang) {
			slots = r.findSlots(*request, tasks)
			if slots == nil && !request.Gang && request.MaxPerWorker == 0 && request.AvoidWorkers == nil {
				r.infeasible[shape] = true
			}
		}
		if slots == nil {
			if withinQuota && turn.usage.Queue.HasLatencyTarget() {
				r.holdSlotsFree(request)
			}
			if withinQuota && r.passedOver == nil && r.output.Reservation == nil && request.WaitingFor >= ReserveAfter && request.Class == OnTarget {
				r.passedOver = request
			}
			turn.requests = turn.requests[1:]
			continue
		}
		for _, index := range slots {
			r.bypassed = r.bypassed || r.passedOver != nil && r.Slots[index].Feasible(*r.passedOver)
		}
		r.assign(request, turn.usage, slots)
		if len(request.Tasks) == 0 {
			turn.requests = turn.requests[1:]
		}
	}
	if r.passedOver != nil && r.bypassed {
		r.output.Reservation = r.reserve(*r.passedOver)
	}
	return r.output
}

// exceedsCap tells whether patient work would take more than is left for it beside the
// peaks of what goes before it. A little of it always may run.
func (q *QueueUsage) exceedsCap(request *Request, tasks int) bool {
	return request.MaxQueueCores > 0 && q.CoresInUse > 0 && q.CoresInUse+types.MilliCores(tasks)*request.Resources.Cores > request.MaxQueueCores
}

func (r *round) assign(request *Request, usage *QueueUsage, slots []int) {
	for i, index := range slots {
		slot := &r.Slots[index]
		slot.Assign(request.TaskGroup, request.Resources)
		r.output.Assignments = append(r.output.Assignments, Assignment{types.TaskID{Job: request.Job, Number: request.Tasks[i]}, slot.Shard})
	}
	usage.RunningTasks += len(slots)
	usage.CoresInUse += types.MilliCores(len(slots)) * request.Resources.Cores
	request.Tasks = request.Tasks[len(slots):]
}

// honorReservation places what a reservation was kept for, or keeps it on. It lapses when
// what it was for waits no more, or a worker of it is gone.
func (r *round) honorReservation() {
	if r.Reservation == nil {
		return
	}
	for i := range r.Requests {
		request := &r.Requests[i]
		usage := r.Usage[request.Queue]
		if request.TaskGroup != r.Reservation.TaskGroup || usage == nil {
			continue
		}
		tasks := request.MinTasks()
		if usage.RunningTasks+tasks > usage.Queue.MaxRunning {
			return
		}
		if slots := r.findSlots(*request, tasks); slots != nil {
			r.assign(request, usage, slots)
			return
		}
		for _, worker := range r.Reservation.Workers {
			k := slices.IndexFunc(r.Slots, func(s Slot) bool { return s.Shard == worker.Shard && s.Feasible(*request) })
			if k < 0 {
				for k := range r.Slots {
					r.Slots[k].reserved = types.Resources{}
				}
				return
			}
			r.Slots[k].reserved = request.Resources.Scale(worker.Tasks)
		}
		r.output.Reservation = r.Reservation
		return
	}
}

// Feasible tells whether a worker could run a task of a want if it were empty.
func (s *Slot) Feasible(request Request) bool {
	for _, l := range request.Labels {
		if !slices.Contains(s.Labels, l) {
			return false
		}
	}
	return s.Capacity.Contains(request.Resources) && (request.Rack == "" || request.Rack == s.Rack) && slices.Contains(s.Kinds, request.Kind) &&
		(s.AvailableFor == 0 || request.TimeLimit <= s.AvailableFor)
}

// reserve names the workers that lack the least room for the want, or none if
// all that suit it could not hold it together.
func (r *round) reserve(request Request) *Reservation {
	need := request.MinTasks()
	var feasible []int
	for i := range r.Slots {
		if r.Slots[i].Feasible(request) {
			feasible = append(feasible, i)
		}
	}
	sort.SliceStable(feasible, func(i, k int) bool {
		a, b := r.Slots[feasible[i]], r.Slots[feasible[k]]
		return a.Free.Cores > b.Free.Cores || a.Free.Cores == b.Free.Cores && a.IdleIn < b.IdleIn
	})
	reservation := &Reservation{TaskGroup: request.TaskGroup}
	capacity := func(s Slot) int { // by its size, and by how many of the step may be there
		n := s.Capacity.FitCount(request.Resources)
		if request.MaxPerWorker > 0 {
			n = min(n, request.MaxPerWorker-s.TaskCount(request.TaskGroup))
		}
		return n
	}
	for pass := range 2 { // one each at first, then as many as they hold
		for _, i := range feasible {
			s := r.Slots[i]
			k := slices.IndexFunc(reservation.Workers, func(x ReservedWorker) bool { return x.Shard == s.Shard })
			switch n := capacity(s); {
			case need == 0 || n < 1:
			case pass == 0:
				reservation.Workers = append(reservation.Workers, ReservedWorker{s.Shard, 1})
				need--
			case k >= 0:
				added := min(need, n-reservation.Workers[k].Tasks)
				reservation.Workers[k].Tasks += added
				need -= added
			}
		}
	}
	if need > 0 {
		return nil
	}
	return reservation
}

func (r Request) resourceShape() requestShape {
	return requestShape{r.Kind, r.Rack, strings.Join(r.Labels, " "), r.Resources, r.TimeLimit}
}

type requestShape struct {
	kind      types.ServiceKind
	rack      types.Rack
	labels    string
	resources types.Resources
	timeLimit time.Duration
}
