package configwatch

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// The question after a table, and its answer.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[watchRequest](t, wire.ConfigWatch)
	goldentest.Message[watchResponse](t, wire.ConfigWatchReply)
}
