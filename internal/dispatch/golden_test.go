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
	goldentest.Message[GetRunningTasks](t, wire.AskRun)
	goldentest.Message[RunningTasksReply](t, wire.Account)
	goldentest.Message[RunTask](t, wire.Order)
	goldentest.Message[RunTaskReply](t, wire.Ordered)
	goldentest.Message[NotifyIfTasksNotRunning](t, wire.Query)
	goldentest.Message[NotifyIfTasksNotRunningReply](t, wire.Queried)
	goldentest.Message[UpdateStatus](t, wire.Status)
	goldentest.Message[CommittedEnds](t, wire.Settled)
	goldentest.Message[KillTasks](t, wire.Stop)
	goldentest.Message[RequestSuicide](t, wire.Quit)
}

// What a polling worker and its agent say to each other.
func TestWorkerCallsGolden(t *testing.T) {
	goldentest.JSON[Poll](t, "poll.json")
	goldentest.JSON[PollReply](t, "answer.json")
}
