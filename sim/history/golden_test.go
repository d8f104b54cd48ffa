package history

import (
	"testing"

	"coppercourse/internal/goldentest"
)

// What a stand-in worker is made of, as the flag --make of coppersim worker takes it.
func TestWorkerSpecGolden(t *testing.T) {
	goldentest.JSON[WorkerSpec](t, "worker-spec.json")
}
