// Bootstrap and joining. The founders that the settings name, on the first start of
// the whole system, or else three empty controllers that see just each other, each
// persist a promise to one initial configuration; the one with the least identity
// makes it real once it has all promises. A promise that leads nowhere is given up
// together with the identity that made it, so that no partial bootstrap can be
// completed later. Where a cluster exists already, an empty controller asks to join.
package raft

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	bootstrapTimeout = 5 * time.Second
	requestInterval  = 200 * time.Millisecond
	// Where no named founder is a controller, those that are there bootstrap: this many
	// at least, and only this long after their start, when all have heard of each other.
	fewestUnnamed = 3
	unnamedDelay  = 2 * time.Second
)

// Discovered is a controller as the membership service shows it; Name is empty when
// it has no cluster.
type Discovered struct {
	Member
	Name string
}

// SetDiscovered tells which other controllers are healthy now and, while there is no
// cluster, where daemons of other roles are.
func (n *Node) SetDiscovered(list []Discovered, others []types.Addr) {
	n.controllers, n.otherDaemons = list, others
}

func (n *Node) adoptBootstrap(k BootstrapConfig) {
	n.name, n.snapshot.Config, n.promised, n.reason = k.Name, k.Config, nil, ""
	n.write(Record{Bootstrap: &k})
	n.reloadConfig()
	n.assignRole()
	n.resetElectionTimer()
}

func (n *Node) tryBootstrap() {
	if n.now.Mono.Sub(n.lastRequestAt) < requestInterval {
		return
	}
	n.lastRequestAt = n.now.Mono
	if n.requestJoin() {
		n.reason = "a cluster exists; waiting to be let in"
		return
	}
	if k := n.promised; k != nil {
		if n.now.Mono.Sub(n.promisedAt) > bootstrapTimeout {
			n.newIdentity(types.NewID(n.rand))
			return
		}
		n.reason = "promised to a bootstrap that is not complete yet"
		n.repeatBootstrap(*k)
		return
	}
	var config Configuration
	if config, n.reason = n.founders(); config == nil {
		return
	}
	for _, m := range config {
		if m.ID < n.self.ID {
			return
		}
	}
	n.promiseBootstrap(BootstrapConfig{Name: string(types.NewID(n.rand)), Config: config})
	n.completeBootstrap()
}

// founders lists the members of the cluster that this node would bootstrap now, in an
// order that all of them agree on, or tells why it bootstraps none.
func (n *Node) founders() (Configuration, string) {
	me := n.self
	me.Voter, me.Provisional = true, false
	config := Configuration{me}
	anyone := n.bootstrap.Founders == nil || n.noFounderIsController()
	for _, s := range n.controllers {
		if s.Name != "" {
			return nil, "a cluster exists; waiting to be let in"
		}
		if anyone || slices.Contains(n.bootstrap.Founders, s.Addr) {
			config = append(config, Member{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Voter: true})
		}
	}
	slices.SortFunc(config, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	want := fewestUnnamed
	if list := n.bootstrap.Founders; list != nil {
		switch {
		case !n.bootstrap.First:
			return nil, "waiting for a cluster: one has been before"
		case anyone && n.now.Mono.Sub(n.startedAt) < unnamedDelay:
			return nil, "no founder is a controller; looking who else is there"
		case anyone:
			want = max(fewestUnnamed, len(config))
		case !slices.Contains(list, n.self.Addr):
			return nil, "waiting for the founders: " + fmt.Sprint(list)
		default:
			want = n.foundersWanted()
		}
	}
	if len(config) != want {
		return nil, fmt.Sprintf("waiting for %d empty controllers that see each other, or for a cluster", want)
	}
	return config, fmt.Sprintf("%d empty controllers; founding", want)
}

// requestJoin asks every discovered controller that has a cluster to be let in. A voter
// that has heard no leader for long asks whether it still is a member, since all
// members that it knows of may have been replaced.
func (n *Node) requestJoin() (any bool) {
	me := n.self
	me.Provisional = me.Provisional || n.name != ""
	for _, s := range n.controllers {
		if s.Name != "" && (n.name == "" || n.name == s.Name) {
			any = true
			n.send(s.Addr, wire.Join, joinRequest{s.Name, me, n.role == follower || n.role == candidate})
		}
	}
	return
}

func (n *Node) promiseBootstrap(k BootstrapConfig) {
	n.promised, n.promisedAt, n.promises = &k, n.now.Mono, map[types.ID]bool{n.self.ID: true}
	n.write(Record{Promise: &k})
	n.voteBatch = n.writtenBatch
	n.repeatBootstrap(k)
}

// repeatBootstrap sends this node's part in a bootstrap again: the offer or the promise.
func (n *Node) repeatBootstrap(k BootstrapConfig) {
	step := "offer"
	for _, m := range k.Config {
		if m.ID < n.self.ID {
			step = "promise"
		}
	}
	for _, m := range k.Config {
		if m.ID != n.self.ID {
			n.send(m.Addr, wire.Found, bootstrapMessage{k, n.self.ID, step})
		}
	}
}

func (n *Node) onBootstrap(from types.Addr, f bootstrapMessage) {
	if n.name != "" {
		if n.name == f.Config.Name && f.Step != "done" {
			n.send(from, wire.Found, bootstrapMessage{f.Config, n.self.ID, "done"})
		}
		return
	}
	if _, mine := f.Config.Config.Find(n.self.ID); !mine || n.role != empty {
		return
	}
	same := n.promised != nil && n.promised.Name == f.Config.Name
	switch f.Step {
	case "offer":
		if config, _ := n.founders(); n.promised == nil && slices.Equal(config, f.Config.Config) {
			n.promiseBootstrap(f.Config)
		}
	case "promise":
		if same {
			n.promises[f.ID] = true
			n.completeBootstrap()
		}
	case "done":
		if same {
			n.adoptBootstrap(*n.promised)
		}
	}
}

// completeBootstrap adopts the initial configuration once the node with the least
// identity has the promises of all.
func (n *Node) completeBootstrap() {
	k := *n.promised
	for _, m := range k.Config {
		if !n.promises[m.ID] || m.ID < n.self.ID {
			return
		}
	}
	n.adoptBootstrap(k)
	for _, m := range k.Config {
		if m.ID != n.self.ID {
			n.sendAfter(n.writtenBatch, m.Addr, wire.Found, bootstrapMessage{k, n.self.ID, "done"})
		}
	}
}

// foundersWanted counts the founders that may be controllers.
func (n *Node) foundersWanted() (count int) {
	for _, a := range n.bootstrap.Founders {
		if !slices.Contains(n.otherDaemons, a) {
			count++
		}
	}
	return count
}

// noFounderIsController tells that all founders turned out to be other daemons: then
// the empty controllers that see each other bootstrap, if all of them agree on the list.
func (n *Node) noFounderIsController() bool {
	return len(n.bootstrap.Founders) > 0 && n.foundersWanted() == 0
}
