package state

import (
	"slices"

	"coppercourse/internal/types"
)

// WorkerShape describes the total capacity of a worker and the tasks that it can run. It is
// retained while the worker is disconnected, to distinguish a job that no worker could ever
// run from one that must wait until its workers reconnect.
type WorkerShape struct {
	Shard     types.Shard         `json:"shard"`
	Rack      types.Rack          `json:"rack"`
	Kinds     []types.ServiceKind `json:"kinds"`
	Resources types.Resources     `json:"room"`

	Labels        []string `json:"labels,omitempty"`
	CalledByAgent bool     `json:"invoked,omitempty"` // the agent calls the worker, instead of the worker polling
}

// applyWorkerShape records a worker's shape and replaces its previous one.
func (s *State) applyWorkerShape(shape WorkerShape) { s.WorkerShapes[shape.Shard] = shape }

// Matches reports whether the worker serves the kind of a step, and whether it has the rack
// and the labels that the step requires.
func (w WorkerShape) Matches(step Step) (kind, place bool) {
	place = (step.Rack == "" || step.Rack == w.Rack) && types.HasLabels(w.Labels, step.Labels)
	return slices.Contains(w.Kinds, step.Kind), place
}
