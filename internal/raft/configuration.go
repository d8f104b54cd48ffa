package raft

import (
	"slices"

	"coppercourse/internal/types"
)

// Member is one controller of the configuration. Without a vote it is a learner
// (section 4.2.1 of the thesis). A provisional member came to a cluster that existed
// before it, and may replace a voter that is gone or is about to stop. A demoted member
// gave its vote to a successor in its zone, and gets one again only in place of a voter
// that is gone.
type Member struct {
	ID          types.ID   `json:"id"`
	Addr        types.Addr `json:"addr"`
	Zone        types.Zone `json:"zone"`
	Voter       bool       `json:"voter"`
	Provisional bool       `json:"provisional,omitempty"`
	Demoted     bool       `json:"standby,omitempty"`
}

// Configuration is the list of members, in force from the moment it is in the log. It is
// never changed in place: the log, snapshots and messages share it.
type Configuration []Member

// Find returns the member with an identity; false if there is none.
func (c Configuration) Find(id types.ID) (Member, bool) {
	for _, m := range c {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Voters counts the members with a vote.
func (c Configuration) Voters() int {
	count := 0
	for _, m := range c {
		if m.Voter {
			count++
		}
	}
	return count
}

// quorum is the least number of voters that is a majority.
func (c Configuration) quorum() int { return c.Voters()/2 + 1 }

// canAddVoter is true while a member may get a vote. Beside maxVoters a provisional one
// still may, until it has replaced one of them.
func (c Configuration) canAddVoter(member Member) bool {
	voters := c.Voters()
	return voters < maxVoters || voters == maxVoters && member.Provisional && len(c) == maxVoters+1
}

// onlyOtherVoterInZone is the voter beside a member in its zone, if there is just one.
func (c Configuration) onlyOtherVoterInZone(member Member) (Member, bool) {
	var other Member
	count := 0
	for _, voter := range c {
		if voter.Voter && voter.Zone == member.Zone && voter.ID != member.ID {
			other = voter
			count++
		}
	}
	return other, count == 1
}

// hasLowerID tells whether some member has an identity lower than the one given.
func (c Configuration) hasLowerID(id types.ID) bool {
	return slices.ContainsFunc(c, func(m Member) bool { return m.ID < id })
}

// with returns a copy that has one member more.
func (c Configuration) with(m Member) Configuration {
	return append(c[:len(c):len(c)], m)
}

// without returns a copy that lacks the member with an identity.
func (c Configuration) without(id types.ID) Configuration {
	var rest Configuration
	for _, m := range c {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}

// update returns a copy in which members that it has are replaced by those given.
func (c Configuration) update(members ...Member) Configuration {
	updated := slices.Clone(c)
	for _, m := range members {
		i := slices.IndexFunc(updated, func(o Member) bool { return o.ID == m.ID })
		updated[i] = m
	}
	return updated
}
