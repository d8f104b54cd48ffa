package membership

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// changesPerHello bounds the changed members in one hello.
	changesPerHello = 64
	// maxMismatches is after how many replies in a row with other digests all members are
	// exchanged anew.
	maxMismatches = 4
	// fullSyncInterval is the shortest time between two exchanges of all members.
	fullSyncInterval = 10 * time.Minute
)

// leaderSync is how far a daemon that keeps all members has followed the leader's change
// log. Once it has reached the end, the leader confirms all that it did not report as
// silent.
type leaderSync struct {
	source         types.Addr     // the daemon that is followed
	seq            uint64         // number of the last change taken
	mismatches     int            // replies in a row without a change after which the digests still differed
	lastFullSyncAt types.MonoTime // when all members were last exchanged
	confirmedAt    types.MonoTime // when the source last said that there are no more changes
}

func newLeaderSync() leaderSync {
	return leaderSync{lastFullSyncAt: types.DistantPast, confirmedAt: types.DistantPast}
}

// restart follows a daemon from the start.
func (s *leaderSync) followFromStart(source types.Addr) { s.source, s.seq = source, 0 }

// addChangeRequest asks the source for changes, in a request to a daemon. The leader becomes the
// source. If the digests go on differing, both exchange all members anew.
func (s *leaderSync) addChangeRequest(request *hello, to types.Addr, isLeader bool, now types.MonoTime) {
	if isLeader && s.source != to {
		s.followFromStart(to)
		s.mismatches = 0
	}
	if to != s.source {
		return
	}
	request.WantsChanges, request.Seq = true, s.seq
	if s.mismatches > maxMismatches && now.Sub(s.lastFullSyncAt) > fullSyncInterval {
		s.lastFullSyncAt, s.mismatches, s.seq = now, 0, 0
		request.Seq, request.FullSync = 0, true
	}
}

// addChanges adds the members that changed after a request's Seq to a reply, as many as it
// may hold. With equal digests, a daemon that starts to follow needs none.
func (ml *MemberList) addChanges(reply *hello, request hello) {
	reply.WantsChanges = true
	seq := request.Seq
	known := seq <= ml.changes.last // else it is a number of an earlier process at this address
	sameAgents := request.Digests != nil && request.Digests.Agents == ml.table.digests.Agents
	if sameAgents && (seq == 0 || !known) {
		reply.Seq = ml.changes.last
		return
	}
	if !known {
		seq = 0
	}
	added := 0
	for _, c := range ml.changes.after(seq) {
		e := ml.table.currentEntry(c)
		if e == nil {
			continue
		}
		if added == changesPerHello {
			reply.Seq, reply.More = seq, true
			return
		}
		reply.Peers = append(reply.Peers, ml.peer(e))
		seq = c.number
		added++
	}
	reply.Seq = ml.changes.last
}

// applyChanges takes a reply of the source, whose members are in the table already, and
// goes on asking while there are more changes.
func (ml *MemberList) applyChanges(reply hello) {
	for _, peer := range reply.Peers {
		if e := ml.table.entries[peer.Addr]; e != nil {
			e.unresponsive = ml.now.Sub(e.lastContactAt) >= unresponsiveAfter
		}
	}
	s := &ml.sync
	s.seq = reply.Seq
	if reply.More {
		ml.request(s.source)
		return
	}
	s.confirmedAt = ml.now
	switch {
	case reply.Digests == nil || reply.Digests.Agents == ml.table.digests.Agents:
		s.mismatches = 0
	case len(reply.Peers) == 0:
		s.mismatches++
	}
	if ml.self.Leads {
		s.source = "" // it has followed to the end, as another daemon's FullSync asked for
	}
}
