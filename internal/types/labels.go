package types

import "slices"

// HasLabels reports whether a worker's labels include all that a task requires.
func HasLabels(labels, wanted []string) bool {
	for _, label := range wanted {
		if !slices.Contains(labels, label) {
			return false
		}
	}
	return true
}
