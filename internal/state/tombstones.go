package state

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Bounds on tombstones.
const (
	// TombstoneAge is how long the id of an ended job is remembered at least.
	TombstoneAge = 24 * time.Hour
	// TombstoneLimit is how many ids may be remembered: a day of the busier deployment has
	// about 720,000.
	TombstoneLimit    = 1_200_000
	tombstonesPerPage = 4096
)

// tombstone is what stays of a job when its full record is dropped, so that an id that is
// sent again is answered and doesn't run again.
type tombstone struct {
	hash    uint64 // of the job's Spec
	endedAt types.ClusterTime
	status  byte // position in endStatuses
}

// endStatuses are the final statuses of jobs. The order is stored.
var endStatuses = []JobStatus{JobDone, JobFailed, JobCancelled}

// tombstonePage is a run of tombstones in the order in which they were made, which is
// that of their jobs' ends.
type tombstonePage struct {
	ids     []types.JobID
	lastEnd types.ClusterTime
	encoded []byte // once the page is full
}

// full reports whether the page has all the tombstones that it may have.
func (p *tombstonePage) full() bool { return len(p.ids) == tombstonesPerPage }

// tombstones is the set of all tombstones, kept in pages by time. A page is dropped as a
// whole once it is old enough, and encoded once when it is full, so that snapshots cost
// little. At the limit new jobs are rejected; old ids are never forgotten early.
type tombstones struct {
	byID  map[types.JobID]tombstone
	pages []*tombstonePage
	limit int
}

func newTombstones() tombstones {
	return tombstones{byID: map[types.JobID]tombstone{}, limit: TombstoneLimit}
}

// add makes the tombstone of an ended job.
func (to *tombstones) add(job *Job) {
	hash, _ := strconv.ParseUint(job.Hash, 16, 64) // Spec.Hash returns 16 hexadecimal digits
	status := max(0, slices.Index(endStatuses, job.Status))
	to.put(job.ID, tombstone{hash: hash, endedAt: job.EndedAt, status: byte(status)})
}

// put adds a tombstone to the last page.
func (to *tombstones) put(id types.JobID, entry tombstone) {
	if len(to.pages) == 0 || to.pages[len(to.pages)-1].full() {
		to.pages = append(to.pages, &tombstonePage{ids: make([]types.JobID, 0, tombstonesPerPage)})
	}
	page := to.pages[len(to.pages)-1]
	to.byID[id] = entry
	page.ids = append(page.ids, id)
	page.lastEnd = max(page.lastEnd, entry.endedAt)
	if page.full() {
		page.encoded = to.encode(page)
	}
}

// find returns what the tombstone of a job holds, or nil if the id has none.
func (to *tombstones) find(id types.JobID) *Job {
	entry, ok := to.byID[id]
	if !ok {
		return nil
	}
	return &Job{
		ID:      id,
		Hash:    fmt.Sprintf("%016x", entry.hash),
		Status:  endStatuses[entry.status],
		EndedAt: entry.endedAt,
	}
}

// expire drops the pages whose newest tombstone is old enough.
func (to *tombstones) expire(now types.ClusterTime) {
	for len(to.pages) > 0 && to.pages[0].full() && now.Sub(to.pages[0].lastEnd) > TombstoneAge {
		for _, id := range to.pages[0].ids {
			delete(to.byID, id)
		}
		to.pages = to.pages[1:]
	}
}

// encode returns a page as a part of a snapshot: {"marks":[[id,hash,status,end],...]}.
func (to *tombstones) encode(page *tombstonePage) []byte {
	if page.encoded != nil {
		return page.encoded
	}
	const rowBytes = 64 // about
	b := append(make([]byte, 0, rowBytes*len(page.ids)+16), `{"marks":[`...)
	for i, id := range page.ids {
		if i > 0 {
			b = append(b, ',')
		}
		entry := to.byID[id]
		b = append(b, `["`...)
		b = append(b, id...)
		b = append(b, `","`...)
		b = strconv.AppendUint(b, entry.hash, 16)
		b = append(b, `",`...)
		b = strconv.AppendInt(b, int64(entry.status), 10)
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(entry.endedAt), 10)
		b = append(b, ']')
	}
	return append(b, `]}`...)
}

// tombstoneRow is one tombstone as a page holds it.
type tombstoneRow struct {
	id types.JobID
	tombstone
}

// UnmarshalJSON reads [id, hash, status, end].
func (t *tombstoneRow) UnmarshalJSON(b []byte) error {
	hash := ""
	if err := json.Unmarshal(b, &[]any{&t.id, &hash, &t.status, &t.endedAt}); err != nil {
		return fmt.Errorf("reading a tombstone: %w", err)
	}
	n, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return fmt.Errorf("reading the hash of the tombstone of %s: %w", t.id, err)
	}
	t.hash = n
	return nil
}

// TombstoneCount returns how many tombstones there are.
func (s *State) TombstoneCount() int { return len(s.tombstones.byID) }

// checkIDLimit rejects a new job if no more ids may be remembered. The answer says when
// the oldest page is dropped.
func (s *State) checkIDLimit() *apierror.Error {
	n := len(s.tombstones.byID) + len(s.Jobs)
	if n < s.tombstones.limit {
		return nil
	}
	wait := time.Minute
	if len(s.tombstones.pages) > 0 {
		wait = max(wait, s.tombstones.pages[0].lastEnd.Add(TombstoneAge).Sub(s.Time))
	}
	return apierror.New(apierror.TooManyIDs, "",
		fmt.Sprintf("%d ids of the last day are remembered, as many as may be", n)).WithRetryAfter(wait)
}
