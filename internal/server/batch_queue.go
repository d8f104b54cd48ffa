package server

import "sync"

// recordBatch is a group of records to sync together.
type recordBatch struct {
	records    [][]byte
	number     uint64 // rises with each batch; reported once it is on disk
	replaceLog bool   // the records replace the whole log
	// fallbackRecords, if not nil, say the same as a replacement when they are appended to
	// the log as it was. They are used where there is no room for a second file.
	fallbackRecords [][]byte
}

// batchQueue holds the batches that are not on disk yet, in order of their numbers. It is
// safe for concurrent use: the event loop pushes, the disk writer takes.
type batchQueue struct {
	mu      sync.Mutex
	batches []recordBatch
}

// push adds a batch. One that replaces the log makes those before it obsolete, so the
// queue stays bounded however long the disk refuses.
func (q *batchQueue) push(batch recordBatch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if batch.replaceLog {
		q.batches, batch.fallbackRecords = supersede(q.batches, batch.fallbackRecords)
	}
	q.batches = append(q.batches, batch)
}

// supersede returns what remains of the queued batches before a replacement of the log,
// and the fallback that the replacement can have.
//
// Without a fallback it is written as a replacement in any case, and nothing before it is
// needed. With one, all before it is needed should the fallback be used; an older
// replacement is then appended as its own fallback. An older one that has none must
// succeed as a replacement itself, so the new one can have no fallback either.
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

// pending returns all batches that are queued.
func (q *batchQueue) pending() []recordBatch {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.batches[:len(q.batches):len(q.batches)]
}

// discardThrough forgets the batches up to a number, which are on disk.
func (q *batchQueue) discardThrough(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.batches) > 0 && q.batches[0].number <= number {
		q.batches = q.batches[1:]
	}
	if len(q.batches) == 0 {
		q.batches = nil // frees the array
	}
}
