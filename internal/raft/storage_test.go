package raft

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func TestDiskFailureCountsAsStall(t *testing.T) {
	is := is.New(t)
	n := &Node{timeouts: DefaultTimeouts}
	n.DiskFailed(types.Now{Mono: 1})
	is.True(!n.DiskStalled()) // nothing waits for the disk
	n.writeRecord(Record{HardState: &HardState{Term: 1}})
	is.True(!n.DiskStalled())
	n.DiskFailed(types.Now{Mono: 2})
	is.True(n.DiskStalled())
	n.Synced(types.Now{Mono: 3}, n.disk.writtenBatch)
	is.True(!n.DiskStalled())
}
