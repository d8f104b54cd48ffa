package worker

import (
	"encoding/json"
	"hash/fnv"
	"strconv"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Work is the input of a task, as stand-in workers read it.
type Work struct {
	DurationMS  int     `json:"ms"`
	Fail        bool    `json:"fail,omitempty"`   // every attempt fails
	Crash       bool    `json:"crash,omitempty"`  // every attempt ends its worker's process
	FailureRate float64 `json:"fails,omitempty"`  // part of its attempts that fail
	Variation   float64 `json:"uneven,omitempty"` // by which part tasks of a step differ in duration
}

// Encode returns the input of a task.
func (w Work) Encode() json.RawMessage { return wire.EncodeBody(w) }

// parseWork reads the input of a task; one that is no Work has no duration.
func parseWork(input json.RawMessage) Work {
	var w Work
	if json.Unmarshal(input, &w) != nil {
		return Work{}
	}
	return w
}

// taskDurationMS returns how long a task takes on a worker that is not slow and near
// its data. The tasks of a step differ, but all attempts at one task take the same.
func (w Work) taskDurationMS(t types.TaskID) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(string(t.Job) + "/" + strconv.Itoa(t.TaskNumber)))
	const spread = 1024
	position := 2*float64(hash.Sum32()%spread)/(spread-1) - 1 // from -1 to 1
	return float64(w.DurationMS) * (1 + w.Variation*position)
}
