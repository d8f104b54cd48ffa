package state

// The snapshot, put together a little a step. Every job is written as it was
// when the snapshot began: one that is about to change before its turn is
// written first. So no step ever writes out everything, no second copy of the
// state is held, and all runs in one goroutine, in the simulator too.

import (
	"encoding/json"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

type head struct {
	Tick   types.Tick                  `json:"tick"`
	Off    types.Wall                  `json:"off"`
	Table  config.Table                `json:"table"`
	Shapes map[types.Shard]WorkerShape `json:"shapes"`
	Seq    uint64                      `json:"seq"`
	Past   History                     `json:"past"`
	Count  map[types.Queue]*Counts     `json:"count"`
	Drains []Drain                     `json:"drains,omitempty"`
	Plans  []Plan                      `json:"plans,omitempty"`
	// Retired are the rows of queues that were left out with unfinished jobs.
	Retired map[types.Queue]config.Row `json:"retired,omitempty"`
}

type shot struct {
	no    uint64
	jobs  []*Job
	parts [][]byte
	buf   []byte
}

// part is how much one part of a snapshot holds at most, but for one job.
const part = 128 << 10

func pack(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Begin starts a snapshot of the state as it is now.
func (s *State) Begin() {
	s.shots++
	x := &shot{no: s.shots, jobs: append(append(make([]*Job, 0, len(s.Jobs)), s.done...), s.Live()...)}
	x.parts = append(x.parts, pack(map[string]head{"head": s.head}))
	for _, p := range s.tombstones.pages {
		x.parts = append(x.parts, s.tombstones.encode(p))
	}
	s.shot = x
}

// Shooting tells whether a snapshot is under way.
func (s *State) Shooting() bool { return s.shot != nil }

// Shoot goes on with the snapshot for about so many bytes; its parts come once
// it is whole.
func (s *State) Shoot(budget int) (parts [][]byte) {
	x := s.shot
	for from := len(x.parts)*part + len(x.buf); len(x.jobs) > 0; x.jobs = x.jobs[1:] {
		if len(x.parts)*part+len(x.buf)-from > budget {
			return nil
		}
		s.touch(x.jobs[0])
	}
	x.flush()
	s.shot = nil
	return x.parts
}

// touch is called before a job changes: a snapshot under way gets it as it is.
func (s *State) touch(j *Job) {
	j.hot = nil
	x := s.shot
	if x == nil || j.shot >= x.no {
		return
	}
	j.shot = x.no
	b := pack(j)
	if len(x.buf)+len(b) > part {
		x.flush()
	}
	if len(x.buf) == 0 {
		x.buf = append(x.buf, `{"jobs":[`...)
	} else {
		x.buf = append(x.buf, ',')
	}
	x.buf = append(x.buf, b...)
}

func (s *shot) flush() {
	if len(s.buf) > 0 {
		s.parts, s.buf = append(s.parts, append(s.buf, `]}`...)), nil
	}
}

// Loader reads a snapshot back, a bounded piece at a time.
type Loader struct {
	state *State
	parts [][]byte
}

// NewLoader starts reading a snapshot's parts; none gives the state before the
// first fact.
func NewLoader(parts [][]byte) *Loader { return &Loader{state: New(), parts: parts} }

// Load reads parts for about so many bytes, one at least, and gives the state
// once it is whole.
func (l *Loader) Load(budget int) (*State, error) {
	for budget > 0 && len(l.parts) > 0 {
		budget -= len(l.parts[0])
		if err := l.state.restore(l.parts[0]); err != nil {
			return nil, err
		}
		l.parts = l.parts[1:]
	}
	if len(l.parts) > 0 {
		return nil, nil
	}
	l.state.index()
	return l.state, nil
}

// Restore reads all of a snapshot at once.
func Restore(parts [][]byte) (*State, error) {
	size := 1
	for _, b := range parts {
		size += len(b)
	}
	return NewLoader(parts).Load(size)
}

// restore takes over one part.
func (s *State) restore(b []byte) error {
	var p struct {
		Head  *head          `json:"head"`
		Jobs  []*Job         `json:"jobs"`
		Marks []tombstoneRow `json:"marks"`
	}
	p.Head = &s.head
	if err := json.Unmarshal(b, &p); err != nil {
		return apierror.Wrap(apierror.Unfit, err, "snapshot")
	}
	for _, j := range p.Jobs {
		s.Jobs[j.ID] = j
	}
	for _, l := range p.Marks {
		s.tombstones.put(l.id, l.tombstone)
	}
	return nil
}
