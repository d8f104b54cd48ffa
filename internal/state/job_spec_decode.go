package state

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// MaxDocumentBytes is the maximum size of a caller's or operator's document.
const MaxDocumentBytes = 256 << 10

// Bounds of a job's document.
const (
	maxTasks        = 20_000 // of all stages
	maxOccurrences  = 10_000
	maxWorkBytes    = 16 << 10
	maxLabels       = 16
	maxUrgency      = 9
	maxCores        = 4096 * types.Core
	maxMemoryMB     = 1 << 30
	maxAccelerators = 4096
	dayMillis       = 86_400_000
	maxUnixMillis   = 1 << 53 // represented exactly by every JSON decoder
	maxInterval     = 1 << 40 // milliseconds
)

// ReadSpec decodes and validates a job's document. It adds all errors to errs, each with the
// path of its field; the Spec is valid if there are none.
func ReadSpec(document []byte, errs *apierror.ErrorList) Spec {
	var spec Spec
	r := config.NewReader(document, errs)
	var work []byte
	r.ReadDocument(map[string]config.Field{
		"work":    config.Raw(r, &work, maxWorkBytes),
		"times":   func(path string) { spec.Schedule = readSchedule(r, path) },
		"queue":   config.Text(r, &spec.Queue, config.CheckName),
		"urgency": config.Int(r, &spec.Urgency, 0, maxUrgency),
		"steps": func(path string) {
			r.Array(path, types.MaxSteps, func(path string, _ int) {
				spec.Steps = append(spec.Steps, readStep(r, path))
			})
		},
	})
	spec.Work = work
	if len(errs.List()) == 0 {
		spec.Check(errs)
	}
	return spec
}

// readSchedule decodes the schedule at a path.
func readSchedule(r *config.Reader, path string) *Schedule {
	schedule := &Schedule{Count: 1}
	r.Object(path, map[string]config.Field{
		"first_ms": config.Int(r, &schedule.FirstUnixMillis, 0, maxUnixMillis),
		"every_ms": config.Int(r, &schedule.IntervalMillis, 0, maxInterval),
		"count":    config.Int(r, &schedule.Count, 1, maxOccurrences),
	})
	return schedule
}

// readStep decodes the step at a path. Omitted fields have the defaults of docs/api.md.
func readStep(r *config.Reader, path string) Step {
	step := Step{Tasks: 1, Resources: types.Resources{Cores: types.Core}}
	var work []byte
	r.Object(path, map[string]config.Field{
		"name":        config.Text(r, &step.Name, config.CheckName),
		"after":       readNames(r, &step.DependsOn, types.MaxSteps),
		"kind":        config.Text(r, &step.Kind, config.CheckName),
		"rack":        config.Text(r, &step.Rack, config.Optional(config.CheckName)),
		"room":        func(path string) { readResources(r, path, &step.Resources) },
		"tasks":       config.Int(r, &step.Tasks, 1, types.MaxTasksPerStep),
		"gang":        config.Bool(r, &step.Gang),
		"spread":      config.Int(r, &step.MaxPerWorker, 0, types.MaxTasksPerStep),
		"delay_ms":    config.Int(r, &step.DelayMillis, 0, dayMillis),
		"not_before":  config.Text(r, &step.NotBefore, config.Optional(checkTime)),
		"limit_ms":    config.Int(r, &step.TimeLimitMillis, 0, dayMillis),
		"work":        config.Raw(r, &work, maxWorkBytes),
		"labels":      readNames(r, &step.Labels, maxLabels),
		"near":        config.Text(r, &step.DataRack, config.Optional(config.CheckName)),
		"one_rack":    config.Bool(r, &step.PreferOneRack),
		"estimate_ms": config.Int(r, &step.EstimateMillis, 0, dayMillis),
		"copies":      config.Bool(r, &step.AllowHedge),
		"once":        config.Bool(r, &step.AtMostOnce),
		"keeps":       config.Bool(r, &step.KeepsCheckpoint),
		"lasts":       config.Bool(r, &step.AlwaysRestart),
		"joint":       config.Bool(r, &step.Joint),
	})
	step.Work = work
	return step
}

// readResources decodes the resources at a path.
func readResources(r *config.Reader, path string, to *types.Resources) {
	r.Object(path, map[string]config.Field{
		"cores":        config.MilliCores(r, &to.Cores, 1, maxCores),
		"memory":       config.Int(r, &to.MemoryMB, 0, maxMemoryMB),
		"accelerators": config.Int(r, &to.Accelerators, 0, maxAccelerators),
	})
}

// readNames returns a field decoder that appends the names of an array to a list.
func readNames(r *config.Reader, to *[]string, limit int) config.Field {
	return func(path string) {
		r.Array(path, limit, func(path string, _ int) {
			var name string
			config.Text(r, &name, config.CheckName)(path)
			*to = append(*to, name)
		})
	}
}

// checkTime accepts times in the format of RFC 3339.
func checkTime(text string) string {
	if _, err := time.Parse(time.RFC3339Nano, text); err != nil {
		return "want a time as in RFC 3339"
	}
	return ""
}
