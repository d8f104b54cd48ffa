package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// A queue is called unknown only while the table is confirmed by the clock of the
// moment, also when the machine has published nothing since.
func TestQueueIsUnknownOnlyWhileTableIsConfirmed(t *testing.T) {
	is := is.New(t)
	now := types.MonoTime(0)
	e := &GatewayHandlers{Clock: func() types.MonoTime { return now }}
	is.True(!e.queueUnknown("later")) // nothing is published yet
	e.PublishTable(config.Table{Version: 1, Queues: []config.Queue{{Name: "here"}}}, types.MonoTime(time.Second))
	is.True(e.queueUnknown("later"))
	is.True(!e.queueUnknown("here"))
	now = types.MonoTime(time.Second)
	is.True(!e.queueUnknown("later"))
	e.PublishTable(config.Table{Version: 1}, types.MonoTime(2*time.Second))
	is.True(e.queueUnknown("later"))
	is.True(!e.queueUnknown("here")) // the same version has the same queues
}
