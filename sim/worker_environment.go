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
)

// WorkerRules is what holds for all workers of a deployment.
type WorkerRules struct {
	Lease   time.Duration // a lease is cut to it
	Stop    time.Duration // a stop takes at most so long
	Gang    time.Duration // how long a member waits for the others
	Save    time.Duration // of work, between two savings
	Restore time.Duration // before an attempt goes on from what was saved
	Far     float64       // times as long away from its data, or spread over racks
	Beat    time.Duration // between two beats of a worker
}

// WorkerEnvironment is one deployment's.
type WorkerEnvironment struct {
	WorkerRules
	specs map[types.JobID]*state.Spec
	gangs map[gangID]*gang
	saves map[string]float64
}

// gangID names the members of a joint step that were given out together.
type gangID struct {
	job     types.JobID
	at      types.Stage
	attempt int
}

// gang is members that work only together.
type gang struct {
	id          gangID
	environment *WorkerEnvironment
	need        int
	works       bool
	over        bool
	here        map[int]*attempt
}

func NewWorkerEnvironment(m WorkerRules) *WorkerEnvironment {
	return &WorkerEnvironment{WorkerRules: m, specs: map[types.JobID]*state.Spec{}, gangs: map[gangID]*gang{}, saves: map[string]float64{}}
}

// Sent takes note of a job that a caller sends.
func (we *WorkerEnvironment) Sent(id types.JobID, s *state.Spec) { we.specs[id] = s }

// step finds what an attempt is of, or nil where nobody sent that.
func (we *WorkerEnvironment) step(l types.AttemptID) *state.Step {
	if s := we.specs[l.Job]; s != nil {
		if i := s.StepOf(l.Number); i >= 0 {
			return &s.Steps[i]
		}
	}
	return nil
}

// some is any time up to a most.
func (we *WorkerEnvironment) some(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int63n(int64(most) + 1))
}

// far is how many times as long a task takes on a worker.
func (we *WorkerEnvironment) far(w *InvokedWorker, l types.AttemptID, p *state.Step) float64 {
	if p.DataRack != "" && p.DataRack != w.Rack {
		return we.Far
	}
	return 1
}

func (we *WorkerEnvironment) save(rnd *rand.Rand, did float64) string {
	ref := fmt.Sprintf("%016x", rnd.Uint64())
	we.saves[ref] = did
	return ref
}

// join has an attempt wait for its gang, or completes it.
func (we *WorkerEnvironment) join(a *attempt) {
	id := gangID{a.attempt.Job, types.StageOf(a.attempt.Number), a.attempt.Attempt}
	g := we.gangs[id]
	if g == nil {
		g = &gang{id: id, environment: we, need: a.step.Tasks, here: map[int]*attempt{}}
		we.gangs[id] = g
	}
	a.gang = g
	if g.here[a.attempt.Number] = a; len(g.here) < g.need {
		return
	}
	g.works = true
	racks := map[types.Rack]bool{}
	for _, m := range g.members() {
		racks[m.w.Rack] = true
		m.at = max(m.at, m.w.time())
	}
	for _, m := range g.members() {
		if a.step.PreferOneRack && len(racks) > 1 {
			m.slow *= we.Far
		}
		m.w.say(HistoryEvent{What: Working, Attempt: m.attempt})
	}
}

func (g *gang) members() []*attempt {
	list := make([]*attempt, 0, len(g.here))
	for _, a := range g.here {
		list = append(list, a)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].attempt.Number < list[k].attempt.Number })
	return list
}

// finish ends a gang well, if all its members have done their work and none of
// their leases is over.
func (g *gang) finish() {
	for _, a := range g.members() {
		if a.did < a.work {
			return
		}
	}
	for _, a := range g.members() {
		if a.w.over() {
			a.w.lapse()
			return
		}
	}
	g.close()
	for _, a := range g.members() {
		a.w.end(a, wire.EndSucceeded)
	}
}

func (g *gang) close() {
	g.over = true
	delete(g.environment.gangs, g.id)
}

// leave breaks a gang of which a member has ended otherwise.
func (g *gang) leave(a *attempt, how wire.EndReason) {
	if g.over {
		return
	}
	g.close()
	for _, m := range g.members() {
		if m != a {
			m.w.end(m, wire.EndGangMemberEnded)
		}
	}
}
