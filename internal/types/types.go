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
	// ID is a random identity of a process, a member or an instance; see Mint.
	ID string
	// Zone is a failure domain of the deployment.
	Zone string
	// Shard names the place of one worker, as the paper's shard id does. It
	// outlives the worker processes that fill the place.
	Shard string
	// Rack is a label of workers that jobs may ask for.
	Rack string
	// Kind is a service kind: which workers can run a task.
	Kind string
	// Queue names one row of the queue table.
	Queue string
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
	// Stamp is a reading of a process's monotonic clock, in nanoseconds.
	Stamp int64
	// Tick is a reading of the cluster's clock, in nanoseconds.
	Tick int64
	// Wall is a reading of a wall clock, in nanoseconds since 1970 (UTC).
	Wall int64
)

// Add returns the stamp that lies d later.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// Sub returns how much later s is than o, both of the same process.
func (s Stamp) Sub(o Stamp) time.Duration { return time.Duration(s - o) }

// Add returns the tick that lies d later.
func (t Tick) Add(d time.Duration) Tick { return t + Tick(d) }

// Sub returns how much later t is than o.
func (t Tick) Sub(o Tick) time.Duration { return time.Duration(t - o) }

// Now is the time that a state machine is given with each step.
type Now struct {
	Mono Stamp
	Wall Wall
}

// Task names one task of a job. Its number N encodes which round of the job,
// which step and which place in the step it is; see No and Parts.
type Task struct {
	Job JobID `json:"job"`
	N   int   `json:"n"`
}

// Bounds on the parts of a task's number.
const (
	MostSteps = 64   // steps of a job
	MostTasks = 4096 // tasks of a step
)

// No encodes the number of a task from its round, step and place in the step.
func No(round, step, place int) int { return (round*MostSteps+step)*MostTasks + place }

// Stage numbers one step in one round of a job.
type Stage int

// StageOf returns the stage of the task with number n.
func StageOf(n int) Stage { return Stage(n / MostTasks) }

// Time returns the round of the job that the stage belongs to.
func (s Stage) Time() int { return int(s) / MostSteps }

// Step returns the index of the stage's step.
func (s Stage) Step() int { return int(s) % MostSteps }

// No returns the number of the task at a place in the stage.
func (s Stage) No(place int) int { return int(s)*MostTasks + place }

// Parts decodes a task's number into its round, step and place in the step.
func Parts(n int) (round, step, place int) {
	return n / MostTasks / MostSteps, n / MostTasks % MostSteps, n % MostTasks
}

// Attempt names one attempt at a task: the paper's invocation id. A number is
// used once, whoever leads.
type Attempt struct {
	Task
	Attempt int `json:"leg"`
}

// String returns the task as JOB/NUMBER.
func (t Task) String() string { return fmt.Sprintf("%s/%d", t.Job, t.N) }

// String returns the attempt as JOB/NUMBER#ATTEMPT.
func (a Attempt) String() string { return fmt.Sprintf("%s/%d#%d", a.Job, a.N, a.Attempt) }

// Compare orders attempts by job, task number and attempt number.
func (a Attempt) Compare(o Attempt) int {
	return cmp.Or(cmp.Compare(a.Job, o.Job), cmp.Compare(a.N, o.N), cmp.Compare(a.Attempt, o.Attempt))
}

// Least reports whether the attempt sorts before another.
func (a Attempt) Least(o Attempt) bool { return a.Compare(o) < 0 }

// idLength is the number of hexadecimal digits in an ID: 48 random bits.
const idLength = 12

// Mint makes a random identity.
func Mint(rnd *rand.Rand) ID {
	const hex = "0123456789abcdef"
	b := make([]byte, idLength)
	for i := range b {
		b[i] = hex[rnd.Intn(16)]
	}
	return ID(b)
}

// Cores counts processor cores in thousandths. It is written as a decimal
// number of cores: 1500 thousandths are 1.5.
type Cores int

// Core is one whole core.
const Core Cores = 1000

// MarshalJSON writes a decimal number of cores, without trailing zeros.
func (c Cores) MarshalJSON() ([]byte, error) {
	n, sign := int(c), ""
	if n < 0 {
		n, sign = -n, "-"
	}
	b := strconv.AppendInt([]byte(sign), int64(n/1000), 10)
	if part := n % 1000; part > 0 {
		b = append(b, '.', byte('0'+part/100), byte('0'+part/10%10), byte('0'+part%10))
		b = bytes.TrimRight(b, "0")
	}
	return b, nil
}

// UnmarshalJSON reads a decimal number of cores with at most three decimals.
func (c *Cores) UnmarshalJSON(b []byte) error {
	v, ok := ParseCores(string(b))
	if !ok {
		return fmt.Errorf("want a number of cores with at most three decimals, got %s", b)
	}
	*c = v
	return nil
}

// ParseCores reads a decimal number of cores with at most three decimals, and
// reports whether the text is one.
func ParseCores(s string) (Cores, bool) {
	whole, part, _ := strings.Cut(s, ".")
	if len(part) > 3 || strings.ContainsAny(part, "+-eE") {
		return 0, false
	}
	n, err := strconv.ParseInt(whole+part+"000"[len(part):], 10, 32)
	return Cores(n), err == nil
}

// Room is the resources that a task takes or a worker offers: processor cores,
// memory in megabytes, accelerators.
type Room struct {
	Cores  Cores `json:"cores"`
	Memory int   `json:"memory"`
	Accel  int   `json:"accelerators,omitempty"`
}

// Plus returns the sum of two rooms.
func (r Room) Plus(o Room) Room {
	return Room{r.Cores + o.Cores, r.Memory + o.Memory, r.Accel + o.Accel}
}

// Minus returns the difference of two rooms; a part may become negative.
func (r Room) Minus(o Room) Room {
	return Room{r.Cores - o.Cores, r.Memory - o.Memory, r.Accel - o.Accel}
}

// Holds reports whether o fits into r.
func (r Room) Holds(o Room) bool {
	return r.Cores >= o.Cores && r.Memory >= o.Memory && r.Accel >= o.Accel
}

// Times returns the room that n of the same take.
func (r Room) Times(n int) Room {
	return Room{r.Cores * Cores(n), r.Memory * n, r.Accel * n}
}

// noBound is what Fits returns for a room that takes nothing.
const noBound = 1 << 30

// Fits returns how many of o fit into r at once.
func (r Room) Fits(o Room) int {
	n := noBound
	for _, x := range [...]struct{ have, want int }{{int(r.Cores), int(o.Cores)}, {r.Memory, o.Memory}, {r.Accel, o.Accel}} {
		if x.want > 0 {
			n = min(n, max(0, x.have/x.want))
		}
	}
	return n
}
