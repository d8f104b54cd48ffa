// Package types holds the small value types that all other packages share:
// identities, addresses, versions, terms, resources, and three kinds of time.
//
// A Stamp is a reading of one process's monotonic clock and means nothing to
// another process except as a value to be sent back. A Tick is a reading of the
// cluster's clock, which the leader keeps and the log carries. A Wall is a
// reading of a machine's wall clock. All three count nanoseconds.
package types

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"time"
)

type (
	// Addr is the IP:port by which other daemons reach a daemon or a worker.
	Addr string
	// Instance is a random identity of a process, a member or an instance; see Mint.
	ID string
	// Zone is a failure domain of the deployment.
	Zone string
	// Shard names the place of one worker, as the paper's shard id does. It
	// outlives the worker processes that fill the place.
	Shard string
	// Rack is a label of workers that jobs may ask for.
	Rack string
	// ServiceKind is a service kind: which workers can run a task.
	ServiceKind string
	// QueueName names one row of the queue table.
	QueueName string
	// JobID is a job's identity, chosen by its caller.
	JobID string
	// Term is an election term of the replicated log.
	Term uint64
	// Index is a position in the replicated log.
	Index uint64
	// Version counts the changes of the queue table.
	Version uint64
	// Seq numbers the messages of one sender.
	Seq uint64
	// MonoTime is a reading of a process's monotonic clock, in nanoseconds.
	MonoTime int64
	// ClusterTime is a reading of the cluster's clock, in nanoseconds.
	ClusterTime int64
	// WallTime is a reading of a wall clock, in nanoseconds since 1970 (UTC).
	WallTime int64
)

// Add returns the stamp that lies d later.
func (m MonoTime) Add(d time.Duration) MonoTime { return m + MonoTime(d) }

// Sub returns how much later s is than o, both of the same process.
func (m MonoTime) Sub(o MonoTime) time.Duration { return time.Duration(m - o) }

// Add returns the tick that lies d later.
func (c ClusterTime) Add(d time.Duration) ClusterTime { return c + ClusterTime(d) }

// Sub returns how much later t is than o.
func (c ClusterTime) Sub(o ClusterTime) time.Duration { return time.Duration(c - o) }

// Now is the time that a state machine is given with each step.
type Now struct {
	Mono MonoTime
	Wall WallTime
}

// TaskID names one task of a job. Its number N encodes which round of the job,
// which step and which place in the step it is; see No and Parts.
type TaskID struct {
	Job    JobID `json:"job"`
	Number int   `json:"n"`
}

// Bounds on the parts of a task's number.
const (
	MaxSteps        = 64   // steps of a job
	MaxTasksPerStep = 4096 // tasks of a step
)

// TaskNumber encodes the number of a task from its round, step and place in the step.
func TaskNumber(occurrence, step, index int) int {
	return (occurrence*MaxSteps+step)*MaxTasksPerStep + index
}

// Stage numbers one step in one round of a job.
type Stage int

// StageOf returns the stage of the task with number n.
func StageOf(n int) Stage { return Stage(n / MaxTasksPerStep) }

// Occurrence returns the round of the job that the stage belongs to.
func (s Stage) Occurrence() int { return int(s) / MaxSteps }

// Step returns the index of the stage's step.
func (s Stage) Step() int { return int(s) % MaxSteps }

// TaskNumber returns the number of the task at a place in the stage.
func (s Stage) TaskNumber(index int) int { return int(s)*MaxTasksPerStep + index }

// SplitTaskNumber decodes a task's number into its round, step and place in the step.
func SplitTaskNumber(n int) (occurrence, step, index int) {
	return n / MaxTasksPerStep / MaxSteps, n / MaxTasksPerStep % MaxSteps, n % MaxTasksPerStep
}

// AttemptID names one attempt at a task: the paper's invocation id. A number is
// used once, whoever leads.
type AttemptID struct {
	TaskID
	Attempt int `json:"leg"`
}

// String returns the task as JOB/NUMBER.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Number) }

// String returns the attempt as JOB/NUMBER#ATTEMPT.
func (a AttemptID) String() string { return fmt.Sprintf("%s/%d#%d", a.Job, a.Number, a.Attempt) }

// Compare orders attempts by job, task number and attempt number.
func (a AttemptID) Compare(o AttemptID) int {
	return cmp.Or(cmp.Compare(a.Job, o.Job), cmp.Compare(a.Number, o.Number), cmp.Compare(a.Attempt, o.Attempt))
}

// Less reports whether the attempt sorts before another.
func (a AttemptID) Less(o AttemptID) bool { return a.Compare(o) < 0 }

// idLength is the number of hexadecimal digits in an Instance: 48 random bits.
const idLength = 12

// NewID makes a random identity.
func NewID(rnd *rand.Rand) ID {
	const hex = "0123456789abcdef"
	b := make([]byte, idLength)
	for i := range b {
		b[i] = hex[rnd.Intn(16)]
	}
	return ID(b)
}

// MilliCores counts processor cores in thousandths. It is written as a decimal
// number of cores: 1500 thousandths are 1.5.
type MilliCores int

// Core is one whole core.
const Core MilliCores = 1000

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

// ParseCores reads a decimal number of cores with at most three decimals, and
// reports whether the text is one.
func ParseCores(s string) (MilliCores, bool) {
	whole, fraction, _ := strings.Cut(s, ".")
	if len(fraction) > 3 || strings.ContainsAny(fraction, "+-eE") {
		return 0, false
	}
	n, err := strconv.ParseInt(whole+fraction+"000"[len(fraction):], 10, 32)
	return MilliCores(n), err == nil
}

// Resources is the resources that a task takes or a worker offers: processor cores,
// memory in megabytes, accelerators.
type Resources struct {
	Cores        MilliCores `json:"cores"`
	MemoryMB     int        `json:"memory"`
	Accelerators int        `json:"accelerators,omitempty"`
}

// Add returns the sum of two rooms.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of two rooms; a part may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Contains reports whether o fits into r.
func (r Resources) Contains(o Resources) bool {
	return r.Cores >= o.Cores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Scale returns the room that n of the same take.
func (r Resources) Scale(n int) Resources {
	return Resources{r.Cores * MilliCores(n), r.MemoryMB * n, r.Accelerators * n}
}

// unlimited is what Fits returns for a room that takes nothing.
const unlimited = 1 << 30

// FitCount returns how many of o fit into r at once.
func (r Resources) FitCount(o Resources) int {
	n := unlimited
	for _, x := range [...]struct{ have, want int }{{int(r.Cores), int(o.Cores)}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators}} {
		if x.want > 0 {
			n = min(n, max(0, x.have/x.want))
		}
	}
	return n
}
