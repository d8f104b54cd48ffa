// Package wal is the form of the one file a daemon keeps: records one after
// another, each under a header with its length, a checksum, and how much of
// the file was already synced when the record was written. That last number
// is what tells a torn tail (cut off and forgotten, nobody was told of it)
// from damage to something once acknowledged (refused). The codec does no I/O;
// the simulator runs it over bytes in memory, the daemon over a real file.
package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"coppercourse/internal/apierror"
)

const (
	headerSize    = 16
	MaxRecordSize = 64 << 20
	// SyncedByRename marks the records of a rewritten file: it takes its name only once
	// all of it is synced. An empty record closes it, so its last is guarded.
	SyncedByRename = int64(1) << 62
)

var table = crc32.MakeTable(crc32.Castagnoli)

// AppendRecord appends one record to the bytes of a file.
func AppendRecord(out []byte, body []byte, synced int64) []byte {
	var h [headerSize]byte
	binary.BigEndian.PutUint32(h[0:], uint32(len(body)))
	binary.BigEndian.PutUint64(h[8:], uint64(synced))
	sum := crc32.Update(crc32.Checksum(h[8:], table), table, body)
	binary.BigEndian.PutUint32(h[4:], sum)
	return append(append(out, h[:]...), body...)
}

// encodeRecords lays records one after another; it refuses one that Scan would not read.
func encodeRecords(group [][]byte, synced int64) (b []byte, err error) {
	for _, r := range group {
		if len(r) == 0 || len(r) > MaxRecordSize {
			return nil, apierror.New(apierror.Unusable, "record", fmt.Sprintf("%d bytes are no record", len(r)))
		}
		b = AppendRecord(b, r, synced)
	}
	return b, nil
}

// decodeRecord reads the record at the start of b; ok is false when it is not whole.
func decodeRecord(b []byte) (body []byte, synced int64, ok bool) {
	if len(b) < headerSize {
		return nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(b[0:]))
	if n == 0 || n > MaxRecordSize || len(b) < headerSize+n {
		return nil, 0, false
	}
	body = b[headerSize : headerSize+n]
	sum := crc32.Update(crc32.Checksum(b[8:headerSize], table), table, body)
	if sum != binary.BigEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return body, int64(binary.BigEndian.Uint64(b[8:])), true
}

// Scan reads all records of a file. keep is the length that stays; bytes past
// it are a torn tail. Damage before a point once synced is an error.
func Scan(b []byte) (records [][]byte, validLength int64, err error) {
	at := 0
	for at < len(b) {
		body, _, ok := decodeRecord(b[at:])
		if !ok {
			break
		}
		records = append(records, body)
		at += headerSize + len(body)
	}
	for p := at + 1; p < len(b); p++ {
		if _, synced, ok := decodeRecord(b[p:]); ok && synced > int64(at) {
			return nil, 0, apierror.New(apierror.Unusable, "log", "a record that was once synced is damaged; the file is refused")
		}
	}
	return records, int64(at), nil
}
