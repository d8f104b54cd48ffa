package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"coppercourse/internal/apierror"
)

// Byte offsets of the fields of a record header. Integers are big-endian.
const (
	lengthOffset   = 0 // length of the body, 4 bytes
	checksumOffset = 4 // CRC of the bytes after it, 4 bytes
	syncedOffset   = 8 // synced length of the file before this write, 8 bytes
	headerSize     = 16
)

const (
	// MaxRecordSize bounds the body of a record, in bytes.
	MaxRecordSize = 64 << 20
	// SyncedByRename is the synced length in the records of a rewritten file. The file is
	// renamed only after all of it is synced, so none of its records can be torn.
	SyncedByRename = int64(1) << 62
)

// checksumTable is the CRC table of the format.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum over a record's header after the checksum field, and its body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[syncedOffset:headerSize], checksumTable), checksumTable, body)
}

// AppendRecord appends an encoded record to the bytes of a file and returns the extended
// slice. The body must have 1 to MaxRecordSize bytes, which is not checked; synced is the
// synced length of the file.
func AppendRecord(file []byte, body []byte, synced int64) []byte {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint64(header[syncedOffset:], uint64(synced))
	binary.BigEndian.PutUint32(header[checksumOffset:], checksum(header[:], body))
	return append(append(file, header[:]...), body...)
}

// encodeRecords encodes records one after another; synced is the synced length of the file
// before them. A record that Scan would not accept is an error of kind apierror.Unusable.
func encodeRecords(records [][]byte, synced int64) (encoded []byte, err error) {
	for _, record := range records {
		if len(record) == 0 || len(record) > MaxRecordSize {
			reason := fmt.Sprintf("invalid record length: %d bytes", len(record))
			return nil, apierror.New(apierror.Unusable, "record", reason)
		}
		encoded = AppendRecord(encoded, record, synced)
	}
	return encoded, nil
}

// decodeRecord decodes the record at the start of file. The body aliases the bytes of file;
// synced is the synced length of the file when the record was written. It returns false if
// there is no complete record with a valid checksum.
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

// Scan returns the bodies of the records of a file, which alias its bytes, and the length of
// the valid records in bytes. The bytes after that are a torn tail, which was never
// acknowledged. If a synced record is corrupt, it returns an error of kind apierror.Unusable
// and no records.
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
	// A record beyond the invalid one proves corruption if it reports a larger synced length.
	for next := offset + 1; next < len(file); next++ {
		if _, synced, ok := decodeRecord(file[next:]); ok && synced > int64(offset) {
			const reason = "a synced record is corrupt; the log is rejected"
			return nil, 0, apierror.New(apierror.Unusable, "log", reason)
		}
	}
	return records, int64(offset), nil
}
