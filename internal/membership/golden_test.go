package membership

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// The message by which daemons come to know each other, and the members in it.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[hello](t, wire.Hello)
	goldentest.JSON[Peer](t, "peer.json")
}
