package raft

import (
	"slices"

	"coppercourse/internal/types"
)

// Member is one controller of the configuration. A member without a vote is a learner (section
// 4.2.1 of the thesis). A provisional member joined an existing cluster and may replace a voter
// that is lost or about to stop. A demoted member passed its vote on to a successor in its zone
// and gets a vote again only in place of a lost voter.
type Member struct {
	ID          types.ID   `json:"id"`
	Addr        types.Addr `json:"addr"`
	Zone        types.Zone `json:"zone"`
	Voter       bool       `json:"voter"`
	Provisional bool       `json:"provisional,omitempty"`
	Demoted     bool       `json:"standby,omitempty"`
}

// Configuration is the list of members, in force from the moment it is in the log. It is
// immutable, since the log, snapshots and messages share it.
type Configuration []Member

// Find returns the member with the given ID, or false if there is none.
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

// quorum returns the smallest number of voters that is a majority.
func (c Configuration) quorum() int { return c.Voters()/2 + 1 }

// canAddVoter reports whether a member may be given a vote. A provisional member may exceed
// maxVoters by one until it has replaced another voter.
func (c Configuration) canAddVoter(member Member) bool {
	voters := c.Voters()
	return voters < maxVoters || voters == maxVoters && member.Provisional && len(c) == maxVoters+1
}

// onlyOtherVoterInZone returns the only other voter in a member's zone, or false if there is none
// or more than one.
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

// hasLowerID reports whether any member's ID is lower than the given one.
func (c Configuration) hasLowerID(id types.ID) bool {
	return slices.ContainsFunc(c, func(m Member) bool { return m.ID < id })
}

// with returns a copy of the configuration with m added.
func (c Configuration) with(m Member) Configuration {
	return append(c[:len(c):len(c)], m)
}

// without returns a copy of the configuration without the member with the given ID.
func (c Configuration) without(id types.ID) Configuration {
	var remaining Configuration
	for _, m := range c {
		if m.ID != id {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// update returns a copy of the configuration in which the given members replace those with the
// same IDs.
func (c Configuration) update(members ...Member) Configuration {
	updated := slices.Clone(c)
	for _, m := range members {
		i := slices.IndexFunc(updated, func(other Member) bool { return other.ID == m.ID })
		updated[i] = m
	}
	return updated
}
