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
	bootstrapTimeout    = 5 * time.Second
	joinRequestInterval = 200 * time.Millisecond
	// Where no named founder is a controller, those that are there bootstrap: this many
	// at least, and only this long after their start, when all have heard of each other.
	minUnnamedFounders   = 3
	unnamedFoundersDelay = 2 * time.Second
)

// DiscoveredPeer is a controller as the membership service shows it; Name is empty when
// it has no cluster.
type DiscoveredPeer struct {
	Member
	ClusterName string
}

// SetDiscoveredPeers tells which other controllers are healthy now and, while there is no
// cluster, where daemons of other roles are.
func (n *Node) SetDiscoveredPeers(peers []DiscoveredPeer, nonControllers []types.Addr) {
	n.discoveredPeers, n.nonControllers = peers, nonControllers
}

func (n *Node) enterCluster(cluster InitialCluster) {
	n.clusterName, n.snapshot.Config, n.acceptedCluster, n.reason = cluster.ClusterName, cluster.Config, nil, ""
	n.writeRecord(Record{Cluster: &cluster})
	n.recomputeConfiguration()
	n.assignRole()
	n.resetElectionTimer()
}

func (n *Node) tryBootstrap() {
	if n.now.Mono.Sub(n.lastJoinRequestAt) < joinRequestInterval {
		return
	}
	n.lastJoinRequestAt = n.now.Mono
	if n.requestJoin() {
		n.reason = "a cluster exists; waiting to be let in"
		return
	}
	if k := n.acceptedCluster; k != nil {
		if n.now.Mono.Sub(n.acceptedAt) > bootstrapTimeout {
			n.newIdentity(types.NewID(n.rand))
			return
		}
		n.reason = "promised to a bootstrap that is not complete yet"
		n.resendBootstrap(*k)
		return
	}
	var config Configuration
	if config, n.reason = n.proposedConfiguration(); config == nil {
		return
	}
	for _, m := range config {
		if m.ID < n.self.ID {
			return
		}
	}
	n.acceptBootstrap(InitialCluster{ClusterName: string(types.NewID(n.rand)), Config: config})
	n.commitBootstrap()
}

// proposedConfiguration lists the members of the cluster that this node would bootstrap now, in an
// order that all of them agree on, or tells why it bootstraps none.
func (n *Node) proposedConfiguration() (Configuration, string) {
	me := n.self
	me.Voter, me.Provisional = true, false
	config := Configuration{me}
	anyone := n.bootstrap.Founders == nil || n.noFounderIsController()
	for _, s := range n.discoveredPeers {
		if s.ClusterName != "" {
			return nil, "a cluster exists; waiting to be let in"
		}
		if anyone || slices.Contains(n.bootstrap.Founders, s.Addr) {
			config = append(config, Member{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Voter: true})
		}
	}
	slices.SortFunc(config, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	want := minUnnamedFounders
	if list := n.bootstrap.Founders; list != nil {
		switch {
		case !n.bootstrap.FirstStart:
			return nil, "waiting for a cluster: one has been before"
		case anyone && n.now.Mono.Sub(n.startedAt) < unnamedFoundersDelay:
			return nil, "no founder is a controller; looking who else is there"
		case anyone:
			want = max(minUnnamedFounders, len(config))
		case !slices.Contains(list, n.self.Addr):
			return nil, "waiting for the founders: " + fmt.Sprint(list)
		default:
			want = n.controllerFounders()
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
	me.Provisional = me.Provisional || n.clusterName != ""
	for _, s := range n.discoveredPeers {
		if s.ClusterName != "" && (n.clusterName == "" || n.clusterName == s.ClusterName) {
			any = true
			n.send(s.Addr, wire.JoinRequest, joinRequest{s.ClusterName, me, n.role == roleFollower || n.role == roleCandidate})
		}
	}
	return
}

func (n *Node) acceptBootstrap(cluster InitialCluster) {
	n.acceptedCluster, n.acceptedAt, n.acceptances = &cluster, n.now.Mono, map[types.ID]bool{n.self.ID: true}
	n.writeRecord(Record{AcceptedCluster: &cluster})
	n.hardStateBatch = n.writtenBatch
	n.resendBootstrap(cluster)
}

// resendBootstrap sends this node's part in a bootstrap again: the offer or the promise.
func (n *Node) resendBootstrap(cluster InitialCluster) {
	step := "offer"
	for _, m := range cluster.Config {
		if m.ID < n.self.ID {
			step = "promise"
		}
	}
	for _, m := range cluster.Config {
		if m.ID != n.self.ID {
			n.send(m.Addr, wire.Bootstrap, bootstrapMessage{cluster, n.self.ID, step})
		}
	}
}

func (n *Node) onBootstrap(from types.Addr, message bootstrapMessage) {
	if n.clusterName != "" {
		if n.clusterName == message.Cluster.ClusterName && message.Step != "done" {
			n.send(from, wire.Bootstrap, bootstrapMessage{message.Cluster, n.self.ID, "done"})
		}
		return
	}
	if _, mine := message.Cluster.Config.Find(n.self.ID); !mine || n.role != roleEmpty {
		return
	}
	same := n.acceptedCluster != nil && n.acceptedCluster.ClusterName == message.Cluster.ClusterName
	switch message.Step {
	case "offer":
		if config, _ := n.proposedConfiguration(); n.acceptedCluster == nil && slices.Equal(config, message.Cluster.Config) {
			n.acceptBootstrap(message.Cluster)
		}
	case "promise":
		if same {
			n.acceptances[message.SenderID] = true
			n.commitBootstrap()
		}
	case "done":
		if same {
			n.enterCluster(*n.acceptedCluster)
		}
	}
}

// commitBootstrap adopts the initial configuration once the node with the least
// identity has the promises of all.
func (n *Node) commitBootstrap() {
	cluster := *n.acceptedCluster
	for _, m := range cluster.Config {
		if !n.acceptances[m.ID] || m.ID < n.self.ID {
			return
		}
	}
	n.enterCluster(cluster)
	for _, m := range cluster.Config {
		if m.ID != n.self.ID {
			n.sendAfterBatch(n.writtenBatch, m.Addr, wire.Bootstrap, bootstrapMessage{cluster, n.self.ID, "done"})
		}
	}
}

// controllerFounders counts the founders that may be controllers.
func (n *Node) controllerFounders() (count int) {
	for _, a := range n.bootstrap.Founders {
		if !slices.Contains(n.nonControllers, a) {
			count++
		}
	}
	return count
}

// noFounderIsController tells that all founders turned out to be other daemons: then
// the empty controllers that see each other bootstrap, if all of them agree on the list.
func (n *Node) noFounderIsController() bool {
	return len(n.bootstrap.Founders) > 0 && n.controllerFounders() == 0
}
