package trace_test

import (
	"encoding/json"
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/trace"
)

// Trace points as a daemon shows them, and the names of their subjects.
func TestTraceGolden(t *testing.T) {
	goldentest.JSON[trace.Mark](t, "mark.json")
	ring := trace.New()
	ring.Add(7, trace.Job("a-job"), "granted entry", "from", "10.0.0.1:7001", "leg", 3)
	ring.Add(8, trace.Table(9), "in use here")
	ring.Add(9, trace.Job("a-job"), "plain")
	list := append(ring.Of("job/a-job"), ring.Of("table/9")...)
	b, err := json.Marshal(append(list, ring.Of("job/none")...))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.File(t, "ring.json", append(b, '\n'))
}
