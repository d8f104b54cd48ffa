// Package wal is the write-ahead log of a controller: one file of records in its data
// folder.
//
// Each record stands under a header with its length, a checksum, and how much of the file
// was synced when it was written. That last number tells a torn tail from damage when the
// file is read (Scan): bytes at the end that no later record calls synced were never
// acknowledged and are cut off, while damage to bytes that were synced is an error. An
// empty record, the seal, follows a while after the last one, so that the last one is
// covered too.
//
// The codec (record.go) does no I/O; the simulator runs it over bytes in memory. File
// (file.go) keeps a log on a Storage: the operating system's file system, or one that
// fails on request (package waltest).
package wal
