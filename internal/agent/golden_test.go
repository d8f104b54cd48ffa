package agent

import (
	"testing"

	"coppercourse/internal/goldentest"
)

// An agent's account of itself.
func TestStatusGolden(t *testing.T) {
	goldentest.WriteOnlyJSON[StatusView](t, "status.json")
}
