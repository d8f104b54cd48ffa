package history

import "coppercourse/internal/types"

// WorkerSpec describes a stand-in worker as it registers, and how it misbehaves.
type WorkerSpec struct {
	Shard           types.Shard
	Rack            types.Rack
	Kinds           []types.ServiceKind
	Capacity        types.Resources `json:"Room"`
	Slowdown        float64         `json:"Slow"`  // factor by which its tasks take longer than usual; 0 means 1
	FailureRate     float64         `json:"Fails"` // part of its attempts that fail
	StallRate       float64         `json:"Stall"` // part of its attempts that take ten times as long
	Labels          []string
	RejectsOverload bool `json:"Guards"` // an invoked worker that rejects what does not fit
}
