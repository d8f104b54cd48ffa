// Package wal implements the write-ahead log of a controller: a single file of records in
// its data directory.
//
// Each record has a header with its length, a checksum, and the synced length of the file
// at the time of the write. The synced length distinguishes a torn tail from corruption when
// the file is read (Scan): trailing bytes that no later record reports as synced were never
// acknowledged and are truncated, while corruption of synced bytes is an error. After an idle
// period an empty record, the seal, is appended, so that the last record is covered too.
//
// The codec (record.go) does no I/O; the simulator runs it on bytes in memory. File
// (file.go) stores a log on a Storage: the operating system's file system, or one with
// injected faults (package waltest).
package wal
