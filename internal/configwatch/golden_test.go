package configwatch

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// A request for the table, and its response.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[watchRequest](t, wire.ConfigWatch)
	goldentest.Message[watchResponse](t, wire.ConfigWatchReply)
}
