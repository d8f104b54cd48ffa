// What the invoked workers of a deployment have in common: the jobs that callers sent,
// gangs whose members find one another wherever they run, and what attempts have
// saved. It is the users' world, not ours: no daemon sees it.
package sim

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// WorkerRules is what holds for all workers of a deployment.
type WorkerRules struct {
	MaxLease           time.Duration // a lease is cut to it
	MaxStopTime        time.Duration // a stop takes at most so long
	GangTimeout        time.Duration // how long a member waits for the others
	CheckpointInterval time.Duration // of work, between two savings
	RestoreTime        time.Duration // before an attempt goes on from what was saved
	RemoteSlowdown     float64       // times as long away from its data, or spread over racks
	HeartbeatInterval  time.Duration // between two beats of a worker
}

// WorkerEnvironment is one deployment's.
type WorkerEnvironment struct {
	WorkerRules
	specs       map[types.JobID]*state.Spec
	gangs       map[gangID]*gang
	checkpoints map[string]float64
}

// gangID names the members of a joint step that were given out together.
type gangID struct {
	job     types.JobID
	stage   types.Stage
	attempt int
}

// gang is members that work only together.
type gang struct {
	id          gangID
	environment *WorkerEnvironment
	size        int
	assembled   bool
	closed      bool
	members     map[int]*attempt
}

func NewWorkerEnvironment(m WorkerRules) *WorkerEnvironment {
	return &WorkerEnvironment{WorkerRules: m, specs: map[types.JobID]*state.Spec{}, gangs: map[gangID]*gang{}, checkpoints: map[string]float64{}}
}

// JobSubmitted takes note of a job that a caller sends.
func (we *WorkerEnvironment) JobSubmitted(id types.JobID, s *state.Spec) { we.specs[id] = s }

// stepOf finds what an attempt is of, or nil where nobody sent that.
func (we *WorkerEnvironment) stepOf(l types.AttemptID) *state.Step {
	if s := we.specs[l.Job]; s != nil {
		if i := s.StepOf(l.Number); i >= 0 {
			return &s.Steps[i]
		}
	}
	return nil
}

// randomUpTo is any time up to a most.
func (we *WorkerEnvironment) randomUpTo(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int63n(int64(limit) + 1))
}

// remoteSlowdown is how many times as long a task takes on a worker.
func (we *WorkerEnvironment) remoteSlowdown(w *InvokedWorker, l types.AttemptID, p *state.Step) float64 {
	if p.DataRack != "" && p.DataRack != w.Rack {
		return we.RemoteSlowdown
	}
	return 1
}

func (we *WorkerEnvironment) saveCheckpoint(rnd *rand.Rand, doneMS float64) string {
	ref := fmt.Sprintf("%016x", rnd.Uint64())
	we.checkpoints[ref] = doneMS
	return ref
}

// joinGang has an attempt wait for its gang, or completes it.
func (we *WorkerEnvironment) joinGang(a *attempt) {
	id := gangID{a.id.Job, types.StageOf(a.id.Number), a.id.Attempt}
	g := we.gangs[id]
	if g == nil {
		g = &gang{id: id, environment: we, size: a.step.Tasks, members: map[int]*attempt{}}
		we.gangs[id] = g
	}
	a.gang = g
	if g.members[a.id.Number] = a; len(g.members) < g.size {
		return
	}
	g.assembled = true
	racks := map[types.Rack]bool{}
	for _, m := range g.sortedMembers() {
		racks[m.worker.Rack] = true
		m.advancedTo = max(m.advancedTo, m.worker.now())
	}
	for _, m := range g.sortedMembers() {
		if a.step.PreferOneRack && len(racks) > 1 {
			m.slowdown *= we.RemoteSlowdown
		}
		m.worker.record(history.Event{Kind: history.GangAssembled, Attempt: m.id})
	}
}

func (g *gang) sortedMembers() []*attempt {
	list := make([]*attempt, 0, len(g.members))
	for _, a := range g.members {
		list = append(list, a)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id.Number < list[k].id.Number })
	return list
}

// finishIfDone ends a gang well, if all its members have done their work and none of
// their leases is over.
func (g *gang) finishIfDone() {
	for _, a := range g.sortedMembers() {
		if a.doneMS < a.workMS {
			return
		}
	}
	for _, a := range g.sortedMembers() {
		if a.worker.leaseExpired() {
			a.worker.expireLease()
			return
		}
	}
	g.close()
	for _, a := range g.sortedMembers() {
		a.worker.endAttempt(a, wire.EndSucceeded)
	}
}

func (g *gang) close() {
	g.closed = true
	delete(g.environment.gangs, g.id)
}

// breakUp breaks a gang of which a member has ended otherwise.
func (g *gang) breakUp(a *attempt, how wire.EndReason) {
	if g.closed {
		return
	}
	g.close()
	for _, m := range g.sortedMembers() {
		if m != a {
			m.worker.endAttempt(m, wire.EndGangMemberEnded)
		}
	}
}
