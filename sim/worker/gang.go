package worker

import (
	"sort"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// gangID names the members of a joint step that were ordered together.
type gangID struct {
	job     types.JobID
	stage   types.Stage
	attempt int
}

// gang is the attempts of a joint step. They wait until all of them run, work together,
// succeed together, and end with the first that ends otherwise.
type gang struct {
	id          gangID
	environment *Environment
	size        int
	assembled   bool // all members have started
	closed      bool
	members     map[int]*attempt // by task number
}

// joinGang adds an attempt to its gang. The last member to join has the gang begin.
func (e *Environment) joinGang(a *attempt) {
	id := gangID{a.id.Job, types.StageOf(a.id.TaskNumber), a.id.Attempt}
	g := e.gangs[id]
	if g == nil {
		g = &gang{id: id, environment: e, size: a.step.Tasks, members: map[int]*attempt{}}
		e.gangs[id] = g
	}
	a.gang = g
	g.members[a.id.TaskNumber] = a
	if len(g.members) == g.size {
		g.assemble(a.step.PreferOneRack)
	}
}

// assemble begins the work of a gang, which is slower across racks if its step prefers
// one.
func (g *gang) assemble(preferOneRack bool) {
	g.assembled = true
	racks := map[types.Rack]bool{}
	for _, member := range g.sortedMembers() {
		racks[member.worker.Rack] = true
		member.advancedTo = max(member.advancedTo, member.worker.now())
	}
	for _, member := range g.sortedMembers() {
		if preferOneRack && len(racks) > 1 {
			member.localitySlowdown *= g.environment.RemoteSlowdown
		}
		member.worker.record(history.Event{Kind: history.GangAssembled, Attempt: member.id})
	}
}

func (g *gang) sortedMembers() []*attempt {
	list := make([]*attempt, 0, len(g.members))
	for _, member := range g.members {
		list = append(list, member)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id.TaskNumber < list[k].id.TaskNumber })
	return list
}

// succeedIfDone ends the members of a gang once all have done their work under their
// leases.
func (g *gang) succeedIfDone() {
	for _, member := range g.sortedMembers() {
		if member.doneMS < member.workMS {
			return
		}
	}
	for _, member := range g.sortedMembers() {
		if member.worker.leaseExpired() {
			member.worker.expireLease()
			return
		}
	}
	g.close()
	for _, member := range g.sortedMembers() {
		member.worker.endAttempt(member, wire.EndSucceeded)
	}
}

func (g *gang) close() {
	g.closed = true
	delete(g.environment.gangs, g.id)
}

// endOtherMembers ends the other members of a gang of which one has ended otherwise than by
// success.
func (g *gang) endOtherMembers(ended *attempt) {
	if g.closed {
		return
	}
	g.close()
	for _, member := range g.sortedMembers() {
		if member != ended {
			member.worker.endAttempt(member, wire.EndGangMemberEnded)
		}
	}
}
