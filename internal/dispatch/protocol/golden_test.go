package protocol

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// The messages between the scheduler and the agents.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[Heartbeat](t, wire.Heartbeat)
	goldentest.Message[HeartbeatReply](t, wire.HeartbeatReply)
	goldentest.Message[GetRunningTasks](t, wire.RunningTasksQuery)
	goldentest.Message[RunningTasksReply](t, wire.RunningTasksReply)
	goldentest.Message[RunTask](t, wire.RunTask)
	goldentest.Message[RunTaskReply](t, wire.RunTaskReply)
	goldentest.Message[NotifyIfTasksNotRunning](t, wire.NotRunningQuery)
	goldentest.Message[NotifyIfTasksNotRunningReply](t, wire.NotRunningReply)
	goldentest.Message[UpdateStatus](t, wire.StatusReport)
	goldentest.Message[CommittedEnds](t, wire.StatusAck)
	goldentest.Message[KillTasks](t, wire.KillTask)
	goldentest.Message[RequestSuicide](t, wire.ReplaceInstance)
}

// What a polling worker and its agent say to each other.
func TestWorkerCallsGolden(t *testing.T) {
	goldentest.JSON[Poll](t, "poll.json")
	goldentest.JSON[PollReply](t, "answer.json")
}
