package state

import (
	"slices"

	"coppercourse/internal/types"
)

// WorkerShape is what a worker offers when it is idle. It is remembered while the worker
// is away, so that a job that no worker could ever run is distinguished from one that
// has to wait until its workers reconnect.
type WorkerShape struct {
	Shard     types.Shard         `json:"shard"`
	Rack      types.Rack          `json:"rack"`
	Kinds     []types.ServiceKind `json:"kinds"`
	Resources types.Resources     `json:"room"`

	Labels        []string `json:"labels,omitempty"`
	CalledByAgent bool     `json:"invoked,omitempty"` // the agent calls it, rather than being polled by it
}

// applyWorkerShape remembers a worker's shape in place of its last one.
func (s *State) applyWorkerShape(shape WorkerShape) { s.WorkerShapes[shape.Shard] = shape }

// Matches reports whether the worker serves the kind of a step, and whether it has the
// rack and the labels that the step asks for.
func (w WorkerShape) Matches(step Step) (kind, place bool) {
	place = (step.Rack == "" || step.Rack == w.Rack) && types.HasLabels(w.Labels, step.Labels)
	return slices.Contains(w.Kinds, step.Kind), place
}
