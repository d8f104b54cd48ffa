package history

import "coppercourse/internal/types"

// WorkerSpec describes a simulated worker: what it registers, and how it misbehaves.
type WorkerSpec struct {
	Shard           types.Shard
	Rack            types.Rack
	Kinds           []types.ServiceKind
	Capacity        types.Resources `json:"Room"`
	Slowdown        float64         `json:"Slow"`  // factor on the duration of its tasks; 0 means 1
	FailureRate     float64         `json:"Fails"` // fraction of its attempts that fail
	StallRate       float64         `json:"Stall"` // fraction of its attempts that take ten times as long
	Labels          []string
	RejectsOverload bool `json:"Guards"` // an invoked worker rejects attempts that exceed its free capacity
}
