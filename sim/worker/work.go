package worker

import (
	"encoding/json"
	"hash/fnv"
	"strconv"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Work is the input of a task for simulated workers.
type Work struct {
	DurationMS  int     `json:"ms"`
	Fail        bool    `json:"fail,omitempty"`   // every attempt fails
	Crash       bool    `json:"crash,omitempty"`  // every attempt crashes its worker process
	FailureRate float64 `json:"fails,omitempty"`  // fraction of attempts that fail
	Variation   float64 `json:"uneven,omitempty"` // maximum relative deviation from DurationMS
}

// Encode returns the work encoded as the input of a task.
func (w Work) Encode() json.RawMessage { return wire.EncodeBody(w) }

// parseWork decodes the input of a task; an input that does not decode as Work has duration 0.
func parseWork(input json.RawMessage) Work {
	var w Work
	if json.Unmarshal(input, &w) != nil {
		return Work{}
	}
	return w
}

// taskDurationMS returns the duration of a task on a worker of normal speed on the task's
// data rack. Durations differ between the tasks of a step but not between attempts at one task.
func (w Work) taskDurationMS(t types.TaskID) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(string(t.Job) + "/" + strconv.Itoa(t.TaskNumber)))
	const spread = 1024
	position := 2*float64(hash.Sum32()%spread)/(spread-1) - 1 // from -1 to 1
	return float64(w.DurationMS) * (1 + w.Variation*position)
}
