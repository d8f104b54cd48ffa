package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const forwardSecond = types.MonoTime(time.Second)

func TestARefusalCoversAllCopies(t *testing.T) {
	is := is.New(t)
	f := newForwardedSubmissions()
	first, second := caller{gateway: "g1", requestID: 7}, caller{gateway: "g2", requestID: 7}
	is.True(f.refuse(0, first))
	is.True(f.isRefused(first))
	is.True(!f.isRefused(second)) // of another gateway
	is.True(f.refuse(forwardSecond, first))
	f.noteTaken(forwardSecond, second)
	is.True(!f.refuse(forwardSecond, second)) // a copy may have been accepted
	is.True(!f.isRefused(second))
}

func TestRefusalsAreRememberedForAMinuteAtLeast(t *testing.T) {
	is := is.New(t)
	f := newForwardedSubmissions()
	old := caller{gateway: "g1", requestID: 1}
	is.True(f.refuse(0, old))
	for minute := range 3 {
		at := types.MonoTime(minute+1) * types.MonoTime(forwardMemory)
		is.Equal(f.isRefused(old), minute < 2) // of the generation before the last at the latest
		f.noteTaken(at, caller{gateway: "g1", requestID: uint64(2 + minute)})
	}
}

func TestNothingIsRefusedForGoodBeyondTheBound(t *testing.T) {
	is := is.New(t)
	f := newForwardedSubmissions()
	for i := range uint64(maxRememberedForwards) {
		is.True(f.refuse(0, caller{gateway: "g1", requestID: i}))
	}
	is.True(!f.refuse(0, caller{gateway: "g1", requestID: 1 << 40}))
}

// forwardCopy has a member handle a copy of a submission under number 9 and returns its
// reply, or false if there is none yet.
func forwardCopy(t *testing.T, m *member, load wire.Load, id string) (wire.ForwardedReply, bool) {
	t.Helper()
	spec := state.Spec{Queue: "q", Steps: []state.Step{{Name: "s", Kind: "k", Tasks: 1}}}
	body := wire.ForwardedRequest{ID: 9, Verb: wire.VerbSubmitJob, Arg: id, Body: wire.EncodeBody(spec)}
	message := wire.NewMessage("g9", m.addr, wire.ForwardRequest, body).Message
	out := m.machine.Step(wire.Event{Now: m.clock(), Load: load, Message: &message})
	for _, s := range out.Messages {
		if s.To != "g9" || s.Message.Kind != wire.ForwardReply {
			continue
		}
		reply, ok := wire.DecodeBody[wire.ForwardedReply](s.Message)
		return reply, ok
	}
	return wire.ForwardedReply{}, false
}

// TestAnOverloadedLeaderRefusesForGood: of three copies the first two meet an overloaded
// leader, and the last is refused though the load is over.
func TestAnOverloadedLeaderRefusesForGood(t *testing.T) {
	is := is.New(t)
	busy := wire.Load{CallerAge: maxAdmissionLag + time.Millisecond}
	cluster := newCluster(t, 41, 600)
	cluster.change(100)
	m := cluster.leader()
	for _, load := range []wire.Load{busy, busy, {}} {
		reply, ok := forwardCopy(t, m, load, "job-9")
		is.True(ok)
		is.Equal(reply.Error.Kind, apierror.TooBusy)
		is.True(reply.Final)
	}
	is.True(m.machine.log.state().Find("job-9") == nil)
}

// TestACopyThatWasTakenIsNotRefusedForGood: the first copy is in the log when the second one
// meets the overload.
func TestACopyThatWasTakenIsNotRefusedForGood(t *testing.T) {
	is := is.New(t)
	busy := wire.Load{CallerAge: maxAdmissionLag + time.Millisecond}
	cluster := newCluster(t, 42, 600)
	cluster.change(100)
	m := cluster.leader()
	m.machine.log.state().WorkerShapes["w"] = state.WorkerShape{Shard: "w", Kinds: []types.ServiceKind{"k"}}
	answer, answered := forwardCopy(t, m, wire.Load{}, "job-9")
	is.Equal(answer.Error, nil)
	is.True(!answered) // it waits for its commit
	reply, ok := forwardCopy(t, m, busy, "job-9")
	is.True(ok)
	is.True(!reply.Final)
}

// TestOnlyALeaderRefusesForGood: another controller's rejection promises nothing.
func TestOnlyALeaderRefusesForGood(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 43, 600)
	cluster.change(100)
	for _, m := range cluster.members {
		if m == cluster.leader() {
			continue
		}
		request := wire.ForwardedRequest{ID: 9, Verb: wire.VerbSubmitJob, Arg: "job-9"}
		message := wire.NewMessage("g9", m.addr, wire.ForwardRequest, request).Message
		m.machine.Step(wire.Event{Now: m.clock(), ExpiredForwards: []wire.Message{message}})
		is.True(!m.machine.api.forwarded.isRefused(caller{gateway: "g9", requestID: 9}))
	}
}
