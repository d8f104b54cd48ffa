package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"coppercourse/internal/apierror"
)

// The header of a record: offsets in bytes of its fields, which are in big-endian order.
const (
	lengthOffset   = 0 // of the body, 4 bytes
	checksumOffset = 4 // of all that follows it, 4 bytes
	syncedOffset   = 8 // how much of the file was synced before, 8 bytes
	headerSize     = 16
)

const (
	// MaxRecordSize bounds the body of a record, in bytes.
	MaxRecordSize = 64 << 20
	// SyncedByRename stands for how much was synced in the records of a rewritten file. That
	// takes its name only once all of it is synced, so none of its records can be torn.
	SyncedByRename = int64(1) << 62
)

// checksumTable is of the polynomial that the checksums of the format use.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of a record: of its header after the checksum, and its body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[syncedOffset:headerSize], checksumTable), checksumTable, body)
}

// AppendRecord appends an encoded record to the bytes of a file and returns them all. The
// body must have between 1 and MaxRecordSize bytes, which is not checked; synced is how many
// bytes of the file are synced.
func AppendRecord(file []byte, body []byte, synced int64) []byte {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint64(header[syncedOffset:], uint64(synced))
	binary.BigEndian.PutUint32(header[checksumOffset:], checksum(header[:], body))
	return append(append(file, header[:]...), body...)
}

// encodeRecords encodes records one after another; synced is how many bytes of the file
// before them are synced. A record that Scan would not accept is an error of kind
// apierror.Unusable.
func encodeRecords(records [][]byte, synced int64) (encoded []byte, err error) {
	for _, record := range records {
		if len(record) == 0 || len(record) > MaxRecordSize {
			reason := fmt.Sprintf("%d bytes are no record", len(record))
			return nil, apierror.New(apierror.Unusable, "record", reason)
		}
		encoded = AppendRecord(encoded, record, synced)
	}
	return encoded, nil
}

// decodeRecord decodes the record at the start of file, whose bytes the body shares. It
// returns how many bytes of the file were synced when the record was written, and false if
// there is no complete and undamaged one.
func decodeRecord(file []byte) (body []byte, synced int64, ok bool) {
	if len(file) < headerSize {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(file[lengthOffset:]))
	if length == 0 || length > MaxRecordSize || len(file) < headerSize+length {
		return nil, 0, false
	}
	body = file[headerSize : headerSize+length]
	if checksum(file, body) != binary.BigEndian.Uint32(file[checksumOffset:]) {
		return nil, 0, false
	}
	return body, int64(binary.BigEndian.Uint64(file[syncedOffset:])), true
}

// Scan returns the bodies of the records of a file, whose bytes they share, and the length
// in bytes that the records take. The bytes after that are a torn tail, which was never
// acknowledged. It is an error of kind apierror.Unusable, and nothing is returned, if a
// record that was synced is damaged.
func Scan(file []byte) (records [][]byte, validLength int64, err error) {
	offset := 0
	for offset < len(file) {
		body, _, ok := decodeRecord(file[offset:])
		if !ok {
			break
		}
		records = append(records, body)
		offset += headerSize + len(body)
	}
	// Any record further on shows how much was synced when it was written.
	for next := offset + 1; next < len(file); next++ {
		if _, synced, ok := decodeRecord(file[next:]); ok && synced > int64(offset) {
			const reason = "a record that was once synced is damaged; the file is refused"
			return nil, 0, apierror.New(apierror.Unusable, "log", reason)
		}
	}
	return records, int64(offset), nil
}
