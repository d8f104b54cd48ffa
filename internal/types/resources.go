package types

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// MilliCores counts processor cores in thousandths. In JSON it is a decimal number of
// cores: 1500 thousandths are 1.5.
type MilliCores int

// Core is one whole core.
const Core MilliCores = 1000

// Cores returns the number of cores.
func (m MilliCores) Cores() float64 { return float64(m) / float64(Core) }

// MarshalJSON writes a decimal number of cores, without trailing zeros.
func (m MilliCores) MarshalJSON() ([]byte, error) {
	thousandths, sign := int(m), ""
	if thousandths < 0 {
		thousandths, sign = -thousandths, "-"
	}
	b := strconv.AppendInt([]byte(sign), int64(thousandths/1000), 10)
	if fraction := thousandths % 1000; fraction > 0 {
		b = append(b, '.', byte('0'+fraction/100), byte('0'+fraction/10%10), byte('0'+fraction%10))
		b = bytes.TrimRight(b, "0")
	}
	return b, nil
}

// UnmarshalJSON reads a decimal number of cores with at most three decimals.
func (m *MilliCores) UnmarshalJSON(b []byte) error {
	v, ok := ParseCores(string(b))
	if !ok {
		return fmt.Errorf("want a number of cores with at most three decimals, got %s", b)
	}
	*m = v
	return nil
}

// ParseCores parses a decimal number of cores with at most three decimals, and reports
// whether the text is valid.
func ParseCores(text string) (MilliCores, bool) {
	integer, fraction, _ := strings.Cut(text, ".")
	if len(fraction) > 3 || strings.ContainsAny(fraction, "+-eE") {
		return 0, false
	}
	n, err := strconv.ParseInt(integer+fraction+"000"[len(fraction):], 10, 32)
	return MilliCores(n), err == nil
}

// Resources is the demand of a task or the capacity of a worker.
type Resources struct {
	Cores        MilliCores `json:"cores"`
	MemoryMB     int        `json:"memory"`
	Accelerators int        `json:"accelerators,omitempty"`
}

// Add returns the sum of two resources.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		Cores:        r.Cores + other.Cores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Sub returns the difference of two resources; its components may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		MemoryMB:     r.MemoryMB - other.MemoryMB,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Scale returns n times the resources.
func (r Resources) Scale(n int) Resources {
	return Resources{Cores: r.Cores * MilliCores(n), MemoryMB: r.MemoryMB * n, Accelerators: r.Accelerators * n}
}

// Contains reports whether other fits into r.
func (r Resources) Contains(other Resources) bool {
	return r.Cores >= other.Cores && r.MemoryMB >= other.MemoryMB && r.Accelerators >= other.Accelerators
}

// Within reports whether r is within a limit. A component of the limit that is 0 is unlimited.
func (r Resources) Within(limit Resources) bool {
	return (limit.Cores == 0 || r.Cores <= limit.Cores) &&
		(limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// Increase returns the resources increased by a fraction of themselves, rounded down.
func (r Resources) Increase(fraction float64) Resources {
	increase := func(n int) int { return n + int(fraction*float64(n)) }
	return Resources{
		Cores:        MilliCores(increase(int(r.Cores))),
		MemoryMB:     increase(r.MemoryMB),
		Accelerators: increase(r.Accelerators),
	}
}

// unlimited is the FitCount for a demand whose components are all 0.
const unlimited = 1 << 30

// FitCount returns how many times other fits into r.
func (r Resources) FitCount(other Resources) int {
	count := unlimited
	for _, part := range [...]struct{ have, want int }{
		{int(r.Cores), int(other.Cores)},
		{r.MemoryMB, other.MemoryMB},
		{r.Accelerators, other.Accelerators},
	} {
		if part.want > 0 {
			count = min(count, max(0, part.have/part.want))
		}
	}
	return count
}
