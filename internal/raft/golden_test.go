package raft

import (
	"testing"

	"coppercourse/internal/goldentest"
	"coppercourse/internal/wire"
)

// The messages between members, each in the list that daemons exchange.
func TestMessagesGolden(t *testing.T) {
	goldentest.Message[bootstrapMessage](t, wire.Found)
	goldentest.Message[joinRequest](t, wire.Join)
	goldentest.Message[requestVote](t, wire.Ballot)
	goldentest.Message[voteReply](t, wire.Vote)
	goldentest.Message[appendEntries](t, wire.Append)
	goldentest.Message[appendReply](t, wire.Append2)
	goldentest.Message[installSnapshot](t, wire.Snap)
	goldentest.Message[timeoutNow](t, wire.Heir)
	goldentest.Message[removedNotice](t, wire.Gone)
}

// The records of a disk: identity, promise, founding, vote, entries and snapshot.
func TestRecordsGolden(t *testing.T) {
	goldentest.JSON[Record](t, "record.json")
	goldentest.JSON[Identity](t, "identity.json")
	goldentest.JSON[BootstrapConfig](t, "bootstrap.json")
	goldentest.JSON[VoteRecord](t, "vote.json")
	goldentest.JSON[Entry](t, "entry.json")
	goldentest.JSON[Snapshot](t, "snapshot.json")
	goldentest.JSON[Configuration](t, "configuration.json")
}
