package checker

import (
	"fmt"
	"sort"
	"strings"
)

// Coverage counts the situations of a history in which each rule could have been violated, by
// "RULE: DESCRIPTION". The value of a name that ends with maxSuffix is a maximum, not a count.
type Coverage map[string]int

const (
	// maxSuffix marks the names of maxima, which Add does not sum.
	maxSuffix = ", ms"
	// rerunPrefix marks reruns of tasks whose end no live daemon could have known.
	rerunPrefix = "re-run"
)

// setMax raises a maximum to a value.
func (c Coverage) setMax(name string, value int) { c[name] = max(c[name], value) }

// Add merges the coverage of another run.
func (c Coverage) Add(other Coverage) {
	for name, count := range other {
		if strings.HasSuffix(name, maxSuffix) {
			c.setMax(name, count)
		} else {
			c[name] += count
		}
	}
}

// Reruns returns the number of reruns after an end that no live daemon process knew.
func (c Coverage) Reruns() int {
	sum := 0
	for name, count := range c {
		if strings.HasPrefix(name, rerunPrefix) {
			sum += count
		}
	}
	return sum
}

// String returns one line per name, sorted by name.
func (c Coverage) String() string {
	names := make([]string, 0, len(c))
	for name := range c {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "  %7d  %s\n", c[name], name)
	}
	return b.String()
}
