package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// stubClusterState is a scheduler.ClusterState in which all workers are called by their agents and
// no ends are recorded.
type stubClusterState struct{}

func (stubClusterState) UnresolvedAttempts(types.Shard) []types.AttemptID { return nil }
func (stubClusterState) ZonePartitioned(types.Shard) bool                 { return false }
func (stubClusterState) CalledByAgent(types.Shard) bool                   { return true }
func (stubClusterState) EndRecorded(state.AttemptEnd) bool                { return false }

// leaderRig is a test rig of a controller's leader with six healthy workers, k0 to k5, of
// 16 cores and 32,000 MB each in rack r1.
type leaderRig struct {
	*leader
	now    types.MonoTime
	clock  types.ClusterTime // of the commands that it applies, unless they have a later one
	agents []protocol.Heartbeat
}

func newLeaderRig(rnd *rand.Rand) *leaderRig {
	now := types.Now{Mono: types.MonoTime(time.Hour), Wall: types.WallTime(time.Hour)}
	options := Options{Addr: "h1", RaftTimeouts: raft.DefaultTimeouts, DispatchTimeouts: protocol.DefaultTimeouts}
	l := &leaderRig{leader: New(now, rnd, options, nil).leader, now: now.Mono}
	l.scheduler = scheduler.New(now.Mono, scheduler.Config{
		Timeouts:           protocol.DefaultTimeouts,
		Addr:               "h1",
		Term:               1,
		PriorLeaderHeardAt: now.Mono,
		Cluster:            stubClusterState{},
	})
	for i := range 6 {
		shard := types.Shard(fmt.Sprint("k", i))
		l.agents = append(l.agents, protocol.Heartbeat{
			Shard:    shard,
			Instance: types.ID("agent-" + shard),
			WorkerReport: protocol.WorkerReport{
				Rack:          "r1",
				Kinds:         []types.ServiceKind{"x"},
				Capacity:      types.Resources{Cores: 16_000, MemoryMB: 32_000},
				Healthy:       true,
				CalledByAgent: true,
			},
		})
	}
	for range 4 { // until all agree on the worker set
		l.heartbeatAll()
	}
	return l
}

// advance advances the time and the scheduler's timers.
func (l *leaderRig) advance(d time.Duration) {
	l.now = l.now.Add(d)
	l.scheduler.Tick(l.now, time.Minute)
}

// endInitialWait sends heartbeats until the scheduler's initial wait has ended.
func (l *leaderRig) endInitialWait(t *testing.T) {
	t.Helper()
	for limit := l.now.Add(time.Minute); l.scheduler.InInitialWait(); {
		if l.now > limit {
			t.Fatal("the initial wait did not end within a minute")
		}
		l.heartbeatAll()
	}
}

// deliver delivers a message from an agent to the scheduler.
func (l *leaderRig) deliver(kind wire.Kind, body any) {
	l.scheduler.HandleMessage(l.now, time.Minute, wire.NewMessage("a", "h1", kind, body).Message)
}

// heartbeatAll sends a heartbeat from each agent.
func (l *leaderRig) heartbeatAll() {
	for i := range l.agents {
		l.heartbeat(i)
	}
}

// heartbeat sends a heartbeat from an agent and handles the replies to it.
func (l *leaderRig) heartbeat(i int) {
	l.advance(time.Millisecond)
	agent := &l.agents[i]
	agent.SentAt = l.now
	l.deliver(wire.Heartbeat, *agent)
	messages, _ := l.scheduler.TakeOutput()
	for _, m := range messages {
		switch m.Message.Kind {
		case wire.RunningTasksQuery:
			header := protocol.ReplyHeader{Term: 1, Shard: agent.Shard, Instance: agent.Instance}
			reply := protocol.RunningTasksReply{ReplyHeader: header, Complete: true}
			l.deliver(wire.RunningTasksReply, reply)
		case wire.HeartbeatReply:
			if r, ok := wire.DecodeBody[protocol.HeartbeatReply](m.Message); ok {
				agent.WorkerSet = r.WorkerSet
			}
		}
	}
}

// apply applies a command to the state; a rejection fails the test.
func (l *leaderRig) apply(t *testing.T, command state.Command) {
	t.Helper()
	command.Time = max(command.Time, l.log.state().Time, l.clock, types.ClusterTime(time.Second))
	if _, rejection := l.log.apply(command); rejection != nil {
		t.Fatal(rejection)
	}
}

// setTable replaces the table of queues.
func (l *leaderRig) setTable(t *testing.T, queues ...config.Queue) {
	t.Helper()
	l.apply(t, state.Command{Table: &config.Table{Version: l.log.state().Table.Version, Queues: queues}})
}

// testQueue returns a queue whose limits do not restrict the tests.
func testQueue(name types.QueueName) config.Queue {
	return config.Queue{
		Name:                    name,
		Weight:                  1,
		MaxRunning:              1000,
		MaxUnfinished:           1000,
		MaxFailures:             3,
		TaskTimeoutMillis:       60_000,
		UnresolvedTimeoutMillis: 30_000,
	}
}

// testStep returns a step with tasks of one core each.
func testStep(name string, tasks int) state.Step {
	return state.Step{Name: name, Kind: "x", Tasks: tasks, Resources: types.Resources{Cores: 1000, MemoryMB: 100}}
}

// submit adds a job to the state.
func (l *leaderRig) submit(t *testing.T, id types.JobID, spec state.Spec) *state.Job {
	t.Helper()
	l.apply(t, state.Command{Job: &state.Submission{ID: id, Spec: spec}})
	return l.log.state().Jobs[id]
}

// attemptID returns the ID of an attempt of a task of a job's first step.
func attemptID(job types.JobID, task, number int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: job, TaskNumber: types.TaskNumber(0, 0, task)}, Attempt: number}
}

// runAttempt assigns an attempt in the state and sends the order for it to the worker's agent.
func (l *leaderRig) runAttempt(t *testing.T, id types.AttemptID, shard types.Shard) {
	t.Helper()
	assignments := []state.Assignment{{ID: id, Shard: shard}}
	l.apply(t, state.Command{Assignments: assignments})
	l.sendOrders(assignments)
}

// endAttempt applies the end of an attempt to the state and to the scheduler.
func (l *leaderRig) endAttempt(t *testing.T, id types.AttemptID, outcome state.Outcome) {
	t.Helper()
	ends := []state.AttemptEnd{{ID: id, Outcome: outcome}}
	l.apply(t, state.Command{Ends: ends})
	l.scheduler.OnEndsCommitted(ends)
}
