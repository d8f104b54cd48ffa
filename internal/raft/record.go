package raft

import (
	"encoding/json"
	"fmt"

	"coppercourse/internal/types"
)

// Record is the content of one record on disk. Each field is independent of the others. A record
// with a snapshot is followed by the snapshot's parts, each a record that consists of the raw part
// only.
type Record struct {
	Identity        *Identity       `json:"identity,omitempty"`
	AcceptedCluster *InitialCluster `json:"promise,omitempty"`
	Cluster         *InitialCluster `json:"bootstrap,omitempty"`
	HardState       *HardState      `json:"vote,omitempty"`
	Entries         []Entry         `json:"entries,omitempty"`
	Snapshot        *Snapshot       `json:"snapshot,omitempty"`
	snapshotPart    []byte          // if set, the record is this part of the preceding snapshot
}

// Identity is generated with an empty data folder and never reused after the folder is lost.
// FirstStart is set if it was generated at the first start of the whole system.
type Identity struct {
	ID         types.ID `json:"id"`
	FirstStart bool     `json:"first,omitempty"`
}

// InitialCluster is a cluster's name and its initial configuration.
type InitialCluster struct {
	ClusterName string        `json:"name"`
	Config      Configuration `json:"config"`
}

// HardState is a term and the candidate this member voted for in it (currentTerm and votedFor of
// the paper's Figure 2). It is on disk before any message that depends on it is sent (section 3.8
// of the thesis).
type HardState struct {
	Term     types.Term `json:"term"`
	VotedFor types.ID   `json:"voted_for"`
}

// encodeRecords returns the stored form of records, or nil if there are none.
func encodeRecords(records []Record) [][]byte {
	var batch [][]byte
	for _, r := range records {
		batch = append(batch, r.encode())
	}
	return batch
}

// encode returns the stored form of the record.
func (r Record) encode() []byte {
	if r.snapshotPart != nil {
		return r.snapshotPart
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Errorf("encode a record: %w", err)) // all fields can be encoded as JSON
	}
	return b
}

// restore restores the node's state from the records on disk, in the order in which they were
// written. It skips records that cannot be decoded.
func (n *Node) restore(records [][]byte) {
	for _, b := range records {
		if snapshot := &n.log.snapshot; !snapshot.isComplete() {
			snapshot.Parts = append(snapshot.Parts, b)
			continue
		}
		var r Record
		if json.Unmarshal(b, &r) == nil {
			n.restoreRecord(r)
		}
	}
}

// restoreRecord applies the content of one record.
func (n *Node) restoreRecord(record Record) {
	if record.Identity != nil {
		n.self.ID, n.self.Provisional = record.Identity.ID, !record.Identity.FirstStart
		n.bootstrap.options.FirstStart = record.Identity.FirstStart
		n.bootstrap.accepted = nil
	}
	if record.AcceptedCluster != nil {
		n.bootstrap.accepted = record.AcceptedCluster
	}
	if record.Cluster != nil {
		n.clusterName, n.log.snapshot.Config = record.Cluster.ClusterName, record.Cluster.Config
		n.bootstrap.accepted = nil
	}
	if record.HardState != nil {
		n.hardState = *record.HardState
	}
	if record.Snapshot != nil {
		n.log.snapshot, n.log.entries = *record.Snapshot, nil
		n.log.commitIndex = record.Snapshot.Index
	}
	if len(record.Entries) > 0 {
		n.log.truncateAndAppend(record.Entries)
	}
	n.log.recomputeConfiguration()
}
