package configwatch

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// The question after a table, and its answer.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[watchRequest](t, wire.News)
	goldentest.Message[watchResponse](t, wire.Told)
}
