package state

// Tombstones of ended jobs: when a job's full record is dropped, a small one stays
// for a day, so that an id sent again is answered and not run again. They are kept by
// time; at the limit new jobs are refused rather than old ones forgotten. A full
// page is encoded once.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Bounds on tombstones: a day of the busier deployment has about 720,000.
const (
	TombstoneAge      = 24 * time.Hour
	TombstoneLimit    = 1_200_000
	tombstonesPerPage = 4096
)

// tombstone is what stays of a job.
type tombstone struct {
	hash    uint64
	endedAt types.ClusterTime
	status  byte
}

var endStatuses = []JobStatus{JobDone, JobFailed, JobCancelled}

// tombstonePage is a run of tombstones in the order of their jobs' ends.
type tombstonePage struct {
	ids     []types.JobID
	lastEnd types.ClusterTime
	encoded []byte // once it is full
}

// tombstones are all of them.
type tombstones struct {
	byID  map[types.JobID]tombstone
	pages []*tombstonePage
	limit int
}

func newTombstones() tombstones {
	return tombstones{byID: map[types.JobID]tombstone{}, limit: TombstoneLimit}
}

func (to *tombstones) add(j *Job) {
	hash, _ := strconv.ParseUint(j.Hash, 16, 64)
	t := tombstone{hash: hash, endedAt: j.EndedAt}
	for i, s := range endStatuses {
		if s == j.Status {
			t.status = byte(i)
		}
	}
	to.put(j.ID, t)
}

func (to *tombstones) put(id types.JobID, t tombstone) {
	if len(to.pages) == 0 || len(to.pages[len(to.pages)-1].ids) >= tombstonesPerPage {
		to.pages = append(to.pages, &tombstonePage{ids: make([]types.JobID, 0, tombstonesPerPage)})
	}
	p := to.pages[len(to.pages)-1]
	to.byID[id] = t
	p.ids, p.lastEnd = append(p.ids, id), max(p.lastEnd, t.endedAt)
	if len(p.ids) == tombstonesPerPage {
		p.encoded = to.encode(p)
	}
}

// expire drops the pages whose newest tombstone is old enough.
func (to *tombstones) expire(now types.ClusterTime) {
	for len(to.pages) > 0 && len(to.pages[0].ids) == tombstonesPerPage && now.Sub(to.pages[0].lastEnd) > TombstoneAge {
		for _, id := range to.pages[0].ids {
			delete(to.byID, id)
		}
		to.pages = to.pages[1:]
	}
}

// encode writes a page as {"marks":[[id,hash,stage,end],...]}.
func (to *tombstones) encode(p *tombstonePage) []byte {
	if p.encoded != nil {
		return p.encoded
	}
	b := append(make([]byte, 0, 64*len(p.ids)+16), `{"marks":[`...)
	for i, id := range p.ids {
		if i > 0 {
			b = append(b, ',')
		}
		t := to.byID[id]
		b = append(b, `["`...)
		b = append(b, id...)
		b = append(b, `","`...)
		b = strconv.AppendUint(b, t.hash, 16)
		b = append(b, `",`...)
		b = strconv.AppendInt(b, int64(t.status), 10)
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.endedAt), 10)
		b = append(b, ']')
	}
	return append(b, `]}`...)
}

// line is one tombstone as it is written.
type tombstoneRow struct {
	id types.JobID
	tombstone
}

// UnmarshalJSON reads [id, hash, stage, end].
func (t *tombstoneRow) UnmarshalJSON(b []byte) error {
	hash := ""
	if err := json.Unmarshal(b, &[]any{&t.id, &hash, &t.status, &t.endedAt}); err != nil {
		return err
	}
	n, err := strconv.ParseUint(hash, 16, 64)
	t.hash = n
	return err
}

// TombstoneCount tells how many there are.
func (s *State) TombstoneCount() int { return len(s.tombstones.byID) }

// Find gives a job by its id: whole, or what its tombstone still says, or nil.
func (s *State) Find(id types.JobID) *Job {
	if j := s.Jobs[id]; j != nil {
		return j
	}
	if t, ok := s.tombstones.byID[id]; ok {
		return &Job{ID: id, Hash: fmt.Sprintf("%016x", t.hash), Status: endStatuses[t.status], EndedAt: t.endedAt}
	}
	return nil
}

// checkIDLimit tells whether no more ids may be remembered.
func (s *State) checkIDLimit() *apierror.Error {
	n := len(s.tombstones.byID) + len(s.Jobs)
	if n < s.tombstones.limit {
		return nil
	}
	wait := time.Minute
	if len(s.tombstones.pages) > 0 {
		wait = max(wait, s.tombstones.pages[0].lastEnd.Add(TombstoneAge).Sub(s.Time))
	}
	return apierror.New(apierror.TooManyIDs, "", fmt.Sprintf("%d ids of the last day are remembered, as many as may be", n)).WithRetryAfter(wait)
}
