// Package mark holds the small types that name things and count things:
// identities, addresses, editions, terms, and the two kinds of time. A Stamp
// is one process's own monotonic clock and means nothing to another process
// but as a value to hand back; a Tick is the cluster's clock, kept by the
// leader and carried in the log.
package mark

import (
	"cmp"
	"fmt"
	"math/rand"
	"time"
)

type (
	Addr     string
	ID       string
	Locality string
	Shard    string
	Rack     string
	Kind     string
	Queue    string
	JobID    string
	Term     uint64
	Index    uint64
	Edition  uint64
	Seq      uint64
	Stamp    int64
	Tick     int64
	Wall     int64
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

// Task names one task of a job by its place in the job's flat list.
type Task struct {
	Job JobID `json:"job"`
	N   int   `json:"n"`
}

// Leg names one try at a task. The pair is the paper's invocation id: it is
// given out once and never again.
type Leg struct {
	Task
	Leg int `json:"leg"`
}

func (t Task) String() string { return fmt.Sprintf("%s/%d", t.Job, t.N) }
func (l Leg) String() string  { return fmt.Sprintf("%s/%d#%d", l.Job, l.N, l.Leg) }

// Compare orders legs so that every list of them comes out the same way.
func (l Leg) Compare(o Leg) int {
	return cmp.Or(cmp.Compare(l.Job, o.Job), cmp.Compare(l.N, o.N), cmp.Compare(l.Leg, o.Leg))
}

// Least tells whether a leg comes before another.
func (l Leg) Least(o Leg) bool { return l.Compare(o) < 0 }

// Mint makes an identity that nobody had before.
func Mint(rnd *rand.Rand) ID {
	const hex = "0123456789abcdef"
	b := make([]byte, 12)
	for i := range b {
		b[i] = hex[rnd.Intn(16)]
	}
	return ID(b)
}

// Room is what a task takes and what a worker offers.
type Room struct {
	Cores  int `json:"cores"`
	Memory int `json:"memory"`
}

func (r Room) Plus(o Room) Room  { return Room{r.Cores + o.Cores, r.Memory + o.Memory} }
func (r Room) Minus(o Room) Room { return Room{r.Cores - o.Cores, r.Memory - o.Memory} }
func (r Room) Holds(o Room) bool { return r.Cores >= o.Cores && r.Memory >= o.Memory }
