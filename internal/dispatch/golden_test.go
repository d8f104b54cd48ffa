package dispatch

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// The messages between the scheduler and the agents.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[Heartbeat](t, wire.Beat)
	goldentest.Message[HeartbeatReply](t, wire.Beaten)
	goldentest.Message[RunningTasksQuery](t, wire.AskRun)
	goldentest.Message[RunningTasks](t, wire.Account)
	goldentest.Message[Order](t, wire.Order)
	goldentest.Message[OrderReply](t, wire.Ordered)
	goldentest.Message[Query](t, wire.Query)
	goldentest.Message[QueryReply](t, wire.Queried)
	goldentest.Message[Status](t, wire.Status)
	goldentest.Message[CommittedEnds](t, wire.Settled)
	goldentest.Message[Stop](t, wire.Stop)
	goldentest.Message[Quit](t, wire.Quit)
}

// What a polling worker and its agent say to each other.
func TestWorkerCallsGolden(t *testing.T) {
	goldentest.JSON[Poll](t, "poll.json")
	goldentest.JSON[Answer](t, "answer.json")
}
