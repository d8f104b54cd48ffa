// Marks of ended jobs: when a job's full record is let go, a small mark of it
// stays for a day, so that an id sent again is answered and not run again. They
// are kept by time; where there are as many as may be, new jobs are refused
// rather than old ones forgotten. Pages are sealed and written out once.
package state

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Bounds on marks: a day of the busier town is about 720,000.
const (
	MarkAge  = 24 * time.Hour
	MarkMost = 1_200_000
	pageSize = 4096
)

type trace struct {
	hash  uint64
	end   types.Tick
	stage byte
}

var stages = []Stage{Done, Failed, Stopped}

type page struct {
	ids  []types.JobID
	last types.Tick
	enc  []byte // once it is full
}

type marks struct {
	at    map[types.JobID]trace
	pages []*page
	most  int
}

func newMarks() marks { return marks{at: map[types.JobID]trace{}, most: MarkMost} }

func (m *marks) add(j *Job) {
	hash, _ := strconv.ParseUint(j.Hash, 16, 64)
	t := trace{hash: hash, end: j.End}
	for i, s := range stages {
		if s == j.State {
			t.stage = byte(i)
		}
	}
	m.put(j.ID, t)
}

func (m *marks) put(id types.JobID, t trace) {
	if len(m.pages) == 0 || len(m.pages[len(m.pages)-1].ids) >= pageSize {
		m.pages = append(m.pages, &page{ids: make([]types.JobID, 0, pageSize)})
	}
	p := m.pages[len(m.pages)-1]
	m.at[id] = t
	p.ids, p.last = append(p.ids, id), max(p.last, t.end)
	if len(p.ids) == pageSize {
		p.enc = m.encode(p)
	}
}

// forget lets go of pages whose newest mark is old enough.
func (m *marks) forget(now types.Tick) {
	for len(m.pages) > 0 && len(m.pages[0].ids) == pageSize && now.Sub(m.pages[0].last) > MarkAge {
		for _, id := range m.pages[0].ids {
			delete(m.at, id)
		}
		m.pages = m.pages[1:]
	}
}

// encode writes a page as {"marks":[[id,hash,stage,end],...]}.
func (m *marks) encode(p *page) []byte {
	if p.enc != nil {
		return p.enc
	}
	b := append(make([]byte, 0, 64*len(p.ids)+16), `{"marks":[`...)
	for i, id := range p.ids {
		if i > 0 {
			b = append(b, ',')
		}
		t := m.at[id]
		b = append(b, `["`...)
		b = append(b, id...)
		b = append(b, `","`...)
		b = strconv.AppendUint(b, t.hash, 16)
		b = append(b, `",`...)
		b = strconv.AppendInt(b, int64(t.stage), 10)
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.end), 10)
		b = append(b, ']')
	}
	return append(b, `]}`...)
}

// line reads one mark as it was written.
type line struct {
	id types.JobID
	trace
}

func (l *line) UnmarshalJSON(b []byte) error {
	hash := ""
	if err := json.Unmarshal(b, &[]any{&l.id, &hash, &l.stage, &l.end}); err != nil {
		return err
	}
	n, err := strconv.ParseUint(hash, 16, 64)
	l.hash = n
	return err
}

// Marks tells how many there are.
func (s *State) Marks() int { return len(s.marks.at) }

// Find gives a job by its id: whole, or what its mark still says, or nil.
func (s *State) Find(id types.JobID) *Job {
	if j := s.Jobs[id]; j != nil {
		return j
	}
	if t, ok := s.marks.at[id]; ok {
		return &Job{ID: id, Hash: fmt.Sprintf("%016x", t.hash), State: stages[t.stage], End: t.end}
	}
	return nil
}

// full tells whether no more ids may be remembered.
func (s *State) full() *apierror.Error {
	n := len(s.marks.at) + len(s.Jobs)
	if n < s.marks.most {
		return nil
	}
	wait := time.Minute
	if len(s.marks.pages) > 0 {
		wait = max(wait, s.marks.pages[0].last.Add(MarkAge).Sub(s.Tick))
	}
	return apierror.New(apierror.Kept, "", fmt.Sprintf("%d ids of the last day are remembered, as many as may be", n)).After(wait)
}
