package checker

import (
	"fmt"
	"sort"
	"strings"
)

// Coverage counts the opportunities that a history gave each rule to be broken, by
// "RULE: DESCRIPTION". A name that ends with maxSuffix has the greatest value seen.
type Coverage map[string]int

const (
	// maxSuffix ends the names of greatest values, which are not summed.
	maxSuffix = ", ms"
	// rerunPrefix begins the names of reruns of work whose end nobody could know.
	rerunPrefix = "re-run"
)

// setMax raises a greatest value.
func (c Coverage) setMax(name string, value int) { c[name] = max(c[name], value) }

// Add adds the counts of another run.
func (c Coverage) Add(other Coverage) {
	for name, count := range other {
		if strings.HasSuffix(name, maxSuffix) {
			c.setMax(name, count)
		} else {
			c[name] += count
		}
	}
}

// Reruns counts the tasks that ran again after an end that no living process knew of.
func (c Coverage) Reruns() int {
	sum := 0
	for name, count := range c {
		if strings.HasPrefix(name, rerunPrefix) {
			sum += count
		}
	}
	return sum
}

// String returns a line for each name, sorted.
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
