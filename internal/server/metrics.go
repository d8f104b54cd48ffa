package server

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"coppercourse/internal/wire"
)

// metricPrefix stands before the name of every metric.
const metricPrefix = "coppercourse_"

// handleMetrics shows the numbers of the status and those of this package, in the text
// format of Prometheus.
func (h *Handlers) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics := h.daemonMetrics()
	status := statusNumbers(h.Loop.StatusJSON())
	flatten("", status, metrics)
	addTenantMetrics(status["tenants"], metrics)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, name := range slices.Sorted(maps.Keys(metrics)) {
		fmt.Fprintf(w, "%s%s %v\n", metricPrefix, name, metrics[name])
	}
}

// daemonMetrics returns the metrics of the sender, the event loop and the HTTP requests.
func (h *Handlers) daemonMetrics() map[string]float64 {
	rejected, expiredReports := h.Loop.queue.rejectionCounts()
	sender := h.Loop.sender
	metrics := map[string]float64{
		"post_sent":                 float64(sender.Sent.Load()),
		"post_failed":               float64(sender.Failed.Load()),
		"post_dropped":              float64(sender.Dropped.Load()),
		"requests_turned_away_busy": float64(h.Loop.rejectedOverloaded.Load()),
		"requests_under_way_http":   float64(h.shutdown.inFlight.Load()),
		"reports_dropped_stale":     float64(expiredReports),
	}
	for class, count := range rejected {
		metrics["inbox_refused_"+wire.Class(class).String()] = float64(count)
	}
	return metrics
}

// statusNumbers decodes the status without its lists of daemons, which are no metrics.
func statusNumbers(status json.RawMessage) map[string]any {
	var fields map[string]any
	if err := json.Unmarshal(status, &fields); err != nil {
		return nil // the status is no object: it has no numbers of its own
	}
	delete(fields, "mates")
	delete(fields, "roll")
	return fields
}

// addTenantMetrics adds the numbers of the tenants in a status, with the tenant's name as a label.
// The status bounds how many it lists.
func addTenantMetrics(tenants any, metrics map[string]float64) {
	list, ok := tenants.([]any)
	if !ok {
		return
	}
	for _, tenant := range list {
		fields, ok := tenant.(map[string]any)
		if !ok {
			continue
		}
		numbers := map[string]float64{}
		flatten("tenant", fields, numbers)
		for name, number := range numbers {
			metrics[fmt.Sprintf("%s{tenant=%q}", name, fields["name"])] = number
		}
	}
}

// flatten adds the numbers and flags in a decoded JSON value to the metrics, each under
// its path: the keys on the way to it in lower case, joined by underscores.
func flatten(path string, value any, metrics map[string]float64) {
	switch x := value.(type) {
	case float64:
		metrics[path] = x
	case bool:
		metrics[path] = 0
		if x {
			metrics[path] = 1
		}
	case map[string]any:
		for key, inner := range x {
			innerPath := strings.ToLower(key)
			if path != "" {
				innerPath = path + "_" + innerPath
			}
			flatten(innerPath, inner, metrics)
		}
	}
}
