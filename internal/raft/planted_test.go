// Each planted bug must be caught by the walks, by the search or by a scripted path; a
// check that catches none would prove nothing.
package raft

import (
	"slices"
	"strings"
	"testing"
	"time"

	"coppercourse/internal/wire"
)

// maxPlantedWalks is how many walks a planted bug may take to be caught. Which of them
// catches it depends on every message's size and order.
const maxPlantedWalks = 120

// Those that the search catches as well are left to it where time is dear.
func TestRandomWalksCatchPlantedBugs(t *testing.T) {
	for _, c := range []struct {
		plant  string
		caught []string // one of these checks must catch it
		on     scenario
		search bool // caught by TestSearchCatchesPlantedBugs too
	}{
		{plantCommitBeforeSync, []string{"COMMITTED", "COMPLETE", "READ", "MATCH"}, scenario{3, 3, 1, false}, true},
		{plantCountedTwice, []string{"COMMITTED", "COMPLETE", "READ", "MATCH"}, scenario{3, 3, 1, false}, true},
		{plantRemovedEarly, []string{"COMMITTED", "COMPLETE", "READ", "QUORUM", "LEADER"}, scenario{3, 3, 1, true}, false},
		{plantVoteForShorterLog, []string{"COMMITTED", "COMPLETE", "READ", "MATCH"}, scenario{3, 3, 1, false}, true},
		{plantLeaseFromReceipt, []string{"READ", "LEASE"}, scenario{3, 3, 1, false}, false},
		{plantNoReplacement, []string{"QUORUM"}, scenario{3, 3, 1, false}, false},
	} {
		t.Run(c.plant, func(t *testing.T) {
			if c.search && testing.Short() {
				t.Skip("caught by the search")
			}
			t.Parallel()
			for seed := int64(1); seed <= maxPlantedWalks; seed++ {
				w := randomWalk(t, seed, c.on, 60*time.Second, c.plant)
				for _, check := range c.caught {
					if strings.Contains(w.failure, " s: "+check) {
						t.Logf("seed %d: %s", seed, w.failure)
						return
					}
				}
			}
			t.Fatalf("not caught in %d walks", maxPlantedWalks)
		})
	}
}

func TestSearchCatchesPlantedBugs(t *testing.T) {
	for _, c := range []struct {
		plant  string
		caught []string
	}{
		{plantVoteBeforeSync, []string{"ONE LEADER", "COMMITTED", "COMPLETE"}},
		{plantWipedKeepsVote, []string{"ONE LEADER", "COMMITTED", "COMPLETE", "READ"}},
		{plantVoteWhileLeader, []string{"READ", "LEASE"}},
		{plantCommitBeforeSync, []string{"COMMITTED", "COMPLETE", "READ"}},
		{plantCountedTwice, []string{"COMMITTED", "COMPLETE", "READ"}},
		{plantVoteForShorterLog, []string{"COMMITTED", "COMPLETE", "READ"}},
	} {
		t.Run(c.plant, func(t *testing.T) {
			t.Parallel()
			s := pathSearch{start: manualWorld, budget: randomPathBudget}
			for seed := range int64(8000) {
				s.failure = ""
				s.playRandom(seed, 150, c.plant)
				for _, check := range c.caught {
					if strings.Contains(s.failure, " s: "+check) {
						t.Logf("seed %d: %s", seed, s.failure[strings.LastIndex(s.failure, "\n")+1:])
						return
					}
				}
			}
			t.Fatal("not caught by 8000 paths")
		})
	}
}

// A leader whose entry is on a majority only from an older term does not take it for
// committed: this is the figure 8 of the Raft paper, step by step.
func TestOlderTermEntriesAreNotCommittedByCounting(t *testing.T) {
	play := func(plant string) string {
		w := manualWorld()
		a, b, c := w.machines[0], w.machines[1], w.machines[2]
		w.plantedBug = plant
		crash := func(m *machine) { m.unsynced, m.node, m.pendingProposals = nil, nil, nil }
		only := func(from, to *machine, kinds ...wire.Kind) { // delivers and syncs between two
			for range 60 {
				for _, m := range []*machine{from, to} {
					if m.up() && len(m.unsynced) > 0 {
						m.completeSync()
					}
				}
				i := slices.IndexFunc(w.inFlight, func(x envelope) bool {
					return (x.from == from.addr && x.to == to.addr || x.from == to.addr && x.to == from.addr) && (len(kinds) == 0 || slices.Contains(kinds, x.message.Kind))
				})
				if i < 0 {
					return
				}
				x := w.inFlight[i]
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
				w.deliver(x)
			}
		}
		elect := func(m, by *machine) {
			for try := 0; try < 3 && !m.node.IsLeader(); try++ {
				w.now += 2 * time.Second
				w.inFlight = nil
				w.expireElectionTimer(m)
				only(m, by, wire.RequestVote, wire.VoteReply)
			}
			w.inFlight = nil
		}
		a.completeSync() // the entry of a's term is on a alone
		crash(a)
		elect(b, c) // b leads the next term and puts its entry on its own disk alone
		b.completeSync()
		crash(b)
		a.start()
		elect(a, c) // a leads again; its older entry reaches c, the newer ones do not
		a.completeSync()
		old := a.node.log.entries[0].Index
		a.node.progressOf(c.node.self.ID).match = old // as after a message with the older entry only
		w.now += time.Millisecond
		c.node.log.truncateAndAppend(a.node.log.entries[:1])
		a.step(func() { a.node.advanceCommit() })
		if a.node.log.commitIndex >= old {
			crash(a)
			b.start()
			elect(b, c)
			only(b, c)
			b.step(func() { b.node.Tick(b.clock()) })
			only(b, c)
		}
		return w.failure
	}
	if got := play(""); got != "" {
		t.Fatal(got)
	}
	if got := play(plantOldTermByCount); got == "" {
		t.Fatal("the planted bug was not caught")
	}
}
