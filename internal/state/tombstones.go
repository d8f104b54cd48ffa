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
	// TombstoneAge is the minimum time for which the id of an ended job is retained.
	TombstoneAge = 24 * time.Hour
	// TombstoneLimit is the maximum number of retained ids: the busier deployment has about
	// 720,000 a day.
	TombstoneLimit    = 1_200_000
	tombstonesPerPage = 4096
)

// tombstone replaces the full record of an ended job, so that a repeated submission under its
// id is answered and doesn't run again.
type tombstone struct {
	hash    uint64 // of the job's Spec
	endedAt types.ClusterTime
	status  byte // position in endStatuses
}

// endStatuses are the final statuses of jobs. The order is stored.
var endStatuses = []JobStatus{JobDone, JobFailed, JobCancelled}

// tombstonePage is a run of consecutive tombstones in the order of their creation, which is
// the order in which their jobs ended.
type tombstonePage struct {
	ids     []types.JobID
	lastEnd types.ClusterTime
	encoded []byte // cached once the page is full
}

// full reports whether the page has tombstonesPerPage tombstones.
func (p *tombstonePage) full() bool { return len(p.ids) == tombstonesPerPage }

// tombstones is the set of all tombstones, in pages by time. A page expires as a whole, and
// is encoded only once, when it is full, so that snapshots are cheap. At the limit new jobs
// are rejected; ids are never dropped before TombstoneAge.
type tombstones struct {
	byID  map[types.JobID]tombstone
	pages []*tombstonePage
	limit int
}

func newTombstones() tombstones {
	return tombstones{byID: map[types.JobID]tombstone{}, limit: TombstoneLimit}
}

// add creates the tombstone of an ended job.
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

// find returns a job record with the contents of the id's tombstone, or nil if there is none.
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

// expire drops the full pages whose newest tombstone is older than TombstoneAge.
func (to *tombstones) expire(now types.ClusterTime) {
	for len(to.pages) > 0 && to.pages[0].full() && now.Sub(to.pages[0].lastEnd) > TombstoneAge {
		for _, id := range to.pages[0].ids {
			delete(to.byID, id)
		}
		to.pages = to.pages[1:]
	}
}

// encode encodes a page as a part of a snapshot: {"marks":[[id,hash,status,end],...]}.
func (to *tombstones) encode(page *tombstonePage) []byte {
	if page.encoded != nil {
		return page.encoded
	}
	const rowBytes = 64 // approximate
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

// tombstoneRow is one tombstone in an encoded page.
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

// TombstoneCount returns the number of tombstones.
func (s *State) TombstoneCount() int { return len(s.tombstones.byID) }

// checkIDLimit rejects a new job if the limit of retained ids is reached. The rejection's
// retry time is when the oldest page expires, but at least a minute from now.
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
		fmt.Sprintf("%d job ids of the last day are retained, which is the limit", n)).WithRetryAfter(wait)
}
