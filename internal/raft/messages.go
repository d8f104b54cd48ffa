// Package raft is the replicated log of the controllers: elections with a pre-vote,
// entries that count only once synced, snapshots, a roll of members changed by
// one vote at a time, and a duty that its holder hands over by name. This file
// has the shapes that cross the wire and the disk.
package raft

import (
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// Member is one controller on the roll. Without a vote it only learns. A guest came to a
// cluster that was there before it: it is let vote beside the others, and replaces
// one that is gone.
type Member struct {
	ID    types.ID   `json:"id"`
	Addr  types.Addr `json:"addr"`
	Zone  types.Zone `json:"loc"`
	Vote  bool       `json:"vote"`
	Guest bool       `json:"guest,omitempty"`
}

// Bootstrap is what a member's settings say of the cluster's beginning: that none has
// been before, and which controllers found it. Where none are named, any three that see
// just each other do.
type Bootstrap struct {
	First    bool
	Founders []types.Addr
}

// Roll is the list of members, in force from the moment it is in the log.
type Roll []Member

func (r Roll) Find(id types.ID) (Member, bool) {
	for _, m := range r {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (r Roll) Votes() (n int) {
	for _, m := range r {
		if m.Vote {
			n++
		}
	}
	return n
}

// Entry is one line of the log.
type Entry struct {
	Term  types.Term      `json:"term"`
	Index types.Index     `json:"index"`
	Fact  json.RawMessage `json:"fact,omitempty"`
	Roll  Roll            `json:"roll,omitempty"`
}

// Snap is the state as of one entry, in so many parts, each a record of its own
// and a message of its own.
type Snap struct {
	Index types.Index `json:"index"`
	Term  types.Term  `json:"term"`
	Roll  Roll        `json:"roll"`
	Count int         `json:"parts"`
	Parts [][]byte    `json:"-"`
}

// Record is what one disk record holds; each field stands for itself.
type Record struct {
	Self    *Self    `json:"self,omitempty"`
	Pledge  *Charter `json:"pledge,omitempty"`
	Charter *Charter `json:"charter,omitempty"`
	Vow     *Vow     `json:"vow,omitempty"`
	Entries []Entry  `json:"entries,omitempty"`
	Snap    *Snap    `json:"snap,omitempty"`
	part    []byte   // in place of all else: a part of the snapshot before it
}

// Self is minted with an empty folder and never used again after its loss. First
// is true where that was the first start of all.
type Self struct {
	ID    types.ID `json:"id"`
	First bool     `json:"first,omitempty"`
}

// Charter is the founding record: a cluster's name and its first roll.
type Charter struct {
	Name string `json:"name"`
	Roll Roll   `json:"roll"`
}

// Vow is a term and whom this member voted for in it.
type Vow struct {
	Term types.Term `json:"term"`
	For  types.ID   `json:"for"`
}

type ballot struct {
	Name  string      `json:"name"`
	ID    types.ID    `json:"id"`
	To    types.ID    `json:"to"`
	Term  types.Term  `json:"term"`
	Last  types.Index `json:"last"`
	LastT types.Term  `json:"last_term"`
	Pre   bool        `json:"pre"`
	Heir  bool        `json:"heir"`
}

type vote struct {
	Name string     `json:"name"`
	ID   types.ID   `json:"id"`
	Term types.Term `json:"term"`
	Pre  bool       `json:"pre"`
	Yes  bool       `json:"yes"`
	// Quiet is how long, in ms, the voter has heard no leader, at the least.
	Quiet int64 `json:"quiet,omitempty"`
}

type push struct {
	Name    string      `json:"name"`
	ID      types.ID    `json:"id"`
	To      types.ID    `json:"to"`
	Term    types.Term  `json:"term"`
	Prev    types.Index `json:"prev"`
	PrevT   types.Term  `json:"prev_term"`
	Entries []Entry     `json:"entries,omitempty"`
	Commit  types.Index `json:"commit"`
	Round   types.Stamp `json:"round"`
	Tick    types.Tick  `json:"tick"`
}

type taken struct {
	Name  string      `json:"name"`
	ID    types.ID    `json:"id"`
	Term  types.Term  `json:"term"`
	OK    bool        `json:"ok"`
	Match types.Index `json:"match"`
	Round types.Stamp `json:"round"`
	Wall  types.Wall  `json:"wall"`
	Parts int         `json:"parts,omitempty"` // of a snapshot that is coming
	// LagMS is how far the loop of the member's daemon is behind with control work.
	LagMS int64 `json:"lag_ms,omitempty"`
}

type snap struct {
	push
	Snap Snap            `json:"snap"`
	No   int             `json:"no"`
	Part json.RawMessage `json:"part"`
}

type heir struct {
	Name string     `json:"name"`
	To   types.ID   `json:"to"`
	Term types.Term `json:"term"`
	// Reliefs is how many leaders in a row handed over since they were behind.
	Reliefs int `json:"reliefs,omitempty"`
}

type join struct {
	Name string `json:"name"`
	Who  Member `json:"who"`
	Old  bool   `json:"old,omitempty"` // it has been a voter and asks after its place
}

type gone struct {
	Name string      `json:"name"`
	ID   types.ID    `json:"id"`
	At   types.Index `json:"at"`
}

type found struct {
	Charter Charter  `json:"charter"`
	ID      types.ID `json:"id"`
	Step    string   `json:"step"` // offer, pledge, done
}

// Timeouts holds the timings; Check in package config ties them together.
type Timeouts struct {
	Beat  time.Duration // between rounds of the leader
	Least time.Duration // shortest election wait; the longest is twice that
	Stall time.Duration // a disk or majority silent for so long ends the duty
	Dead  time.Duration // a voter silent for so long may be replaced
	Hold  time.Duration // authority past the start of the last majority round
}

// Defaults are ours.
var Defaults = Timeouts{Beat: 100 * time.Millisecond, Least: 500 * time.Millisecond,
	Stall: time.Second, Dead: 5 * time.Second, Hold: 2 * time.Second}
