package types

import "slices"

// HasLabels reports whether a worker with some labels has all that a task asks for.
func HasLabels(labels, wanted []string) bool {
	for _, label := range wanted {
		if !slices.Contains(labels, label) {
			return false
		}
	}
	return true
}
