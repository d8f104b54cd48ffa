package server

import "sync"

// recordBatch is a group of records to sync together.
type recordBatch struct {
	records    [][]byte
	number     uint64 // increases with each batch; reported once the batch is on disk
	replaceLog bool   // the records replace the whole log
	// fallbackRecords, if not nil, have the same effect as the replacement when they are appended
	// to the existing log. They are used if the disk has no space for a second file.
	fallbackRecords [][]byte
}

// batchQueue holds the batches that are not on disk yet, in order of their numbers. It is
// safe for concurrent use: the event loop pushes batches, the disk writer reads and discards them.
type batchQueue struct {
	mu      sync.Mutex
	batches []recordBatch
}

// push adds a batch. A replacement of the log supersedes the batches before it, so that the
// queue stays bounded however long disk writes fail.
func (q *batchQueue) push(batch recordBatch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if batch.replaceLog {
		q.batches, batch.fallbackRecords = supersede(q.batches, batch.fallbackRecords)
	}
	q.batches = append(q.batches, batch)
}

// supersede returns the queued batches that are still needed before a replacement of the log,
// and the fallback that the replacement can use.
//
// Without a fallback, the new batch must be written as a replacement, and no earlier batch is
// needed. With a fallback, all earlier batches are needed in case it is used; an earlier
// replacement is then appended as its own fallback. An earlier replacement without a fallback
// must be written as a replacement, so the new one cannot have a fallback either.
func supersede(queued []recordBatch, fallback [][]byte) (remaining []recordBatch, usable [][]byte) {
	for _, batch := range queued {
		if batch.replaceLog && batch.fallbackRecords == nil {
			fallback = nil
		}
	}
	if fallback == nil {
		return nil, nil
	}
	for _, batch := range queued {
		if batch.replaceLog {
			batch = recordBatch{records: batch.fallbackRecords, number: batch.number}
		}
		remaining = append(remaining, batch)
	}
	return remaining, fallback
}

// pending returns all queued batches.
func (q *batchQueue) pending() []recordBatch {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.batches[:len(q.batches):len(q.batches)]
}

// discardThrough removes the batches up to a number, which are on disk.
func (q *batchQueue) discardThrough(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.batches) > 0 && q.batches[0].number <= number {
		q.batches = q.batches[1:]
	}
	if len(q.batches) == 0 {
		q.batches = nil // releases the array
	}
}
