package gateway

import (
	"testing"

	"coppercourse/internal/goldentest"
)

// A gateway's account of itself.
func TestStatusGolden(t *testing.T) {
	goldentest.WriteOnlyJSON[StatusView](t, "status.json")
}
