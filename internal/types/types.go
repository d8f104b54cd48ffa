// Package types holds the small types that name things and count things:
// identities, addresses, versions, terms, and the two kinds of time. A Stamp
// is one process's own monotonic clock and means nothing to another process
// but as a value to hand back; a Tick is the cluster's clock, kept by the
// leader and carried in the log.
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
	Addr    string
	ID      string
	Zone    string
	Shard   string
	Rack    string
	Kind    string
	Queue   string
	JobID   string
	Term    uint64
	Index   uint64
	Version uint64
	Seq     uint64
	Stamp   int64
	Tick    int64
	Wall    int64
)

func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }
func (s Stamp) Sub(o Stamp) time.Duration { return time.Duration(s - o) }
func (t Tick) Add(d time.Duration) Tick   { return t + Tick(d) }
func (t Tick) Sub(o Tick) time.Duration   { return time.Duration(t - o) }

// Now is what a machine is told of time at a step.
type Now struct {
	Mono Stamp
	Wall Wall
}

// Task names one task of a job. Its number says which of the job's times, which
// step and which task of the step it is, whatever the job's size.
type Task struct {
	Job JobID `json:"job"`
	N   int   `json:"n"`
}

// Bounds on the parts of a task's number.
const (
	MostSteps = 64
	MostTasks = 4096
)

// No makes a task's number of its time, step and place in the step.
func No(time, step, place int) int { return (time*MostSteps+step)*MostTasks + place }

// Stage numbers one step at one of a job's times; No makes a task's number of it.
type Stage int

// StageOf is the stage of the task with a number.
func StageOf(n int) Stage { return Stage(n / MostTasks) }

func (s Stage) Time() int        { return int(s) / MostSteps }
func (s Stage) Step() int        { return int(s) % MostSteps }
func (s Stage) No(place int) int { return int(s)*MostTasks + place }

// Parts is what a task's number was made of.
func Parts(n int) (time, step, place int) {
	return n / MostTasks / MostSteps, n / MostTasks % MostSteps, n % MostTasks
}

// Attempt names one try at a task. The pair is the paper's invocation id: it is
// given out once and never again.
type Attempt struct {
	Task
	Attempt int `json:"leg"`
}

func (t Task) String() string    { return fmt.Sprintf("%s/%d", t.Job, t.N) }
func (l Attempt) String() string { return fmt.Sprintf("%s/%d#%d", l.Job, l.N, l.Attempt) }

// Compare orders attempts so that every list of them comes out the same way.
func (l Attempt) Compare(o Attempt) int {
	return cmp.Or(cmp.Compare(l.Job, o.Job), cmp.Compare(l.N, o.N), cmp.Compare(l.Attempt, o.Attempt))
}

// Least tells whether an attempt comes before another.
func (l Attempt) Least(o Attempt) bool { return l.Compare(o) < 0 }

// Mint makes an identity that nobody had before.
func Mint(rnd *rand.Rand) ID {
	const hex = "0123456789abcdef"
	b := make([]byte, 12)
	for i := range b {
		b[i] = hex[rnd.Intn(16)]
	}
	return ID(b)
}

// Cores counts processor cores in thousandths. It is written as a decimal
// number of cores: 1500 thousandths are 1.5.
type Cores int

// Node is one whole core.
const Core Cores = 1000

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

func (c *Cores) UnmarshalJSON(b []byte) error {
	v, ok := ParseCores(string(b))
	if !ok {
		return fmt.Errorf("want a number of cores with at most three decimals, got %s", b)
	}
	*c = v
	return nil
}

// ParseCores reads a decimal number of cores, to the thousandth.
func ParseCores(s string) (Cores, bool) {
	whole, part, _ := strings.Cut(s, ".")
	if len(part) > 3 || strings.ContainsAny(part, "+-eE") {
		return 0, false
	}
	n, err := strconv.ParseInt(whole+part+"000"[len(part):], 10, 32)
	return Cores(n), err == nil
}

// Room is what a task takes and what a worker offers: processor cores, memory
// in megabytes, accelerators.
type Room struct {
	Cores  Cores `json:"cores"`
	Memory int   `json:"memory"`
	Accel  int   `json:"accelerators,omitempty"`
}

func (r Room) Plus(o Room) Room {
	return Room{r.Cores + o.Cores, r.Memory + o.Memory, r.Accel + o.Accel}
}

func (r Room) Minus(o Room) Room {
	return Room{r.Cores - o.Cores, r.Memory - o.Memory, r.Accel - o.Accel}
}

func (r Room) Holds(o Room) bool {
	return r.Cores >= o.Cores && r.Memory >= o.Memory && r.Accel >= o.Accel
}

// Times is room for n of the same.
func (r Room) Times(n int) Room {
	return Room{r.Cores * Cores(n), r.Memory * n, r.Accel * n}
}

// Fits is how many of the same find place in a room at once.
func (r Room) Fits(o Room) int {
	n := 1 << 30
	for _, x := range [...]struct{ have, want int }{{int(r.Cores), int(o.Cores)}, {r.Memory, o.Memory}, {r.Accel, o.Accel}} {
		if x.want > 0 {
			n = min(n, max(0, x.have/x.want))
		}
	}
	return n
}
