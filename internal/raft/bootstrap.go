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
	// bootstrapTimeout is how long after its acceptance an incomplete bootstrap is abandoned.
	bootstrapTimeout = 5 * time.Second
	// joinAttemptInterval is how often an empty node looks for a cluster.
	joinAttemptInterval = 200 * time.Millisecond
	// Where no named founder is a controller, those that are there bootstrap: this many at
	// least, and only this long after their start, when all know of each other.
	minUnnamedFounders   = 3
	unnamedFoundersDelay = 2 * time.Second

	reasonClusterExists = "a cluster exists; waiting to join it"
)

// BootstrapOptions are what the settings say of the cluster's beginning: that this is the
// first start of the whole system, and which controllers found it. Where none are named,
// any three that see just each other do.
type BootstrapOptions struct {
	FirstStart bool
	Founders   []types.Addr // nil if none are named
}

// anyControllerMayBootstrap tells whether any empty controllers that see each other found the cluster:
// where no founders are named, or all that are turned out to be daemons of other roles.
func (o BootstrapOptions) anyControllerMayBootstrap(nonControllers []types.Addr) bool {
	return o.Founders == nil || len(o.Founders) > 0 && o.countControllerFounders(nonControllers) == 0
}

// countControllerFounders counts the founders that may be controllers.
func (o BootstrapOptions) countControllerFounders(nonControllers []types.Addr) int {
	count := 0
	for _, founder := range o.Founders {
		if !slices.Contains(nonControllers, founder) {
			count++
		}
	}
	return count
}

// bootstrapStep is a message's step in a bootstrap, which is a two-phase commit: the
// founder with the least identity proposes an initial cluster, each founder accepts at
// most one, durably, and the proposer commits it once all have.
type bootstrapStep string

const (
	bootstrapPropose   bootstrapStep = "offer"
	bootstrapAccept    bootstrapStep = "promise"
	bootstrapCommitted bootstrapStep = "done"
)

// bootstrapState is this node's part in the bootstrap of a cluster. An accepted cluster
// that is not completed in time is abandoned together with the identity that accepted it, so that no
// partial bootstrap can be completed later.
type bootstrapState struct {
	options     BootstrapOptions
	accepted    *InitialCluster
	acceptedAt  types.MonoTime
	acceptances map[types.ID]bool // members known to have accepted the same cluster
}

// adoptIdentity gives this node another identity, which has accepted nothing.
func (n *Node) adoptIdentity(id types.ID) {
	n.self.ID = id
	n.self.Provisional = !n.bootstrap.options.FirstStart
	n.bootstrap.accepted, n.bootstrap.acceptances = nil, map[types.ID]bool{}
	n.writeRecord(Record{Identity: &Identity{ID: id, FirstStart: n.bootstrap.options.FirstStart}})
}

// joinCluster makes this node a member of a cluster, with an empty log.
func (n *Node) joinCluster(cluster InitialCluster) {
	n.clusterName, n.log.snapshot.Config = cluster.ClusterName, cluster.Config
	n.bootstrap.accepted, n.roleReason = nil, ""
	n.writeRecord(Record{Cluster: &cluster})
	n.log.recomputeConfiguration()
	n.assignRole()
	n.resetElectionTimer()
}

// joinLeaderCluster makes this node a member of the cluster of a leader that it hears: one that
// it helped to found, or one that has added it, whose configuration comes with the log.
func (n *Node) joinLeaderCluster(name string) {
	if n.bootstrap.accepts(name) {
		n.joinCluster(*n.bootstrap.accepted)
		return
	}
	n.joinCluster(InitialCluster{ClusterName: name})
}

// accepts tells whether the node has accepted the cluster of a name.
func (b *bootstrapState) accepts(name string) bool {
	return b.accepted != nil && b.accepted.ClusterName == name
}

// acceptedByAll tells whether all members are known to have accepted the node's cluster.
func (b *bootstrapState) acceptedByAll(config Configuration) bool {
	return !slices.ContainsFunc(config, func(m Member) bool { return !b.acceptances[m.ID] })
}

// joinOrBootstrap asks to join a cluster where there is one, and else founds one.
func (n *Node) joinOrBootstrap() {
	if n.discovery.sinceLastRequest(n.now.Mono) < joinAttemptInterval {
		return
	}
	switch {
	case n.requestJoin():
		n.roleReason = reasonClusterExists
	case n.bootstrap.accepted == nil:
		n.proposeBootstrap()
	case n.now.Mono.Sub(n.bootstrap.acceptedAt) > bootstrapTimeout:
		n.adoptIdentity(types.NewID(n.random))
	default:
		n.roleReason = "has accepted an initial cluster that is not complete yet"
		n.sendBootstrap(*n.bootstrap.accepted)
	}
}

// proposeBootstrap proposes an initial cluster if it is this node that has to.
func (n *Node) proposeBootstrap() {
	config, reason := n.proposedConfiguration()
	n.roleReason = reason
	if config == nil || config.hasLowerID(n.self.ID) {
		return
	}
	n.acceptBootstrap(InitialCluster{ClusterName: string(types.NewID(n.random)), Config: config})
	n.commitBootstrap()
}

// proposedConfiguration lists the members of the cluster that this node would bootstrap
// now, in an order that all of them agree on, or tells why it bootstraps none.
func (n *Node) proposedConfiguration() (Configuration, string) {
	if n.discovery.clusterExists() {
		return nil, reasonClusterExists
	}
	config := n.reachableFounders()
	size, reason := n.initialSize(len(config))
	if reason != "" {
		return nil, reason
	}
	if len(config) != size {
		return nil, fmt.Sprintf("waiting for %d empty controllers that see each other, or for a cluster", size)
	}
	return config, fmt.Sprintf("%d empty controllers; founding a cluster", size)
}

// reachableFounders lists this node and the empty controllers that it sees and that may
// found a cluster, as voters in the order of their identities.
func (n *Node) reachableFounders() Configuration {
	self := n.self
	self.Voter, self.Provisional = true, false
	config := Configuration{self}
	options := n.bootstrap.options
	anyoneFounds := options.anyControllerMayBootstrap(n.discovery.nonControllers)
	for _, p := range n.discovery.peers {
		if anyoneFounds || slices.Contains(options.Founders, p.Addr) {
			config = append(config, Member{ID: p.ID, Addr: p.Addr, Zone: p.Zone, Voter: true})
		}
	}
	slices.SortFunc(config, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return config
}

// initialSize is how many members the initial configuration must have, or else why this
// node founds no cluster.
func (n *Node) initialSize(reachable int) (size int, reason string) {
	options := n.bootstrap.options
	anyoneFounds := options.anyControllerMayBootstrap(n.discovery.nonControllers)
	switch {
	case options.Founders == nil:
		return minUnnamedFounders, ""
	case !options.FirstStart:
		return 0, "waiting for a cluster: one has been before"
	case anyoneFounds && n.now.Mono.Sub(n.startedAt) < unnamedFoundersDelay:
		return 0, "no founder is a controller; looking who else is there"
	case anyoneFounds:
		return max(minUnnamedFounders, reachable), ""
	case !slices.Contains(options.Founders, n.self.Addr):
		return 0, fmt.Sprint("waiting for the founders: ", options.Founders)
	}
	return options.countControllerFounders(n.discovery.nonControllers), ""
}

// acceptBootstrap accepts an initial cluster and says so to the other founders, once that
// is on disk.
func (n *Node) acceptBootstrap(cluster InitialCluster) {
	n.bootstrap.accepted, n.bootstrap.acceptedAt = &cluster, n.now.Mono
	n.bootstrap.acceptances = map[types.ID]bool{n.self.ID: true}
	n.writeRecord(Record{AcceptedCluster: &cluster})
	n.disk.hardStateBatch = n.disk.writtenBatch
	n.sendBootstrap(cluster)
}

// newBootstrapMessage is this node's message for one step of a bootstrap.
func (n *Node) newBootstrapMessage(cluster InitialCluster, step bootstrapStep) bootstrapMessage {
	return bootstrapMessage{Cluster: cluster, SenderID: n.self.ID, Step: step}
}

// sendBootstrap sends the other founders this node's proposal, or that it has accepted.
func (n *Node) sendBootstrap(cluster InitialCluster) {
	step := bootstrapPropose
	if cluster.Config.hasLowerID(n.self.ID) {
		step = bootstrapAccept
	}
	n.sendToFounders(n.disk.hardStateBatch, cluster, step)
}

// sendToFounders sends the other founders a step of a bootstrap once a batch is on disk.
func (n *Node) sendToFounders(batch uint64, cluster InitialCluster, step bootstrapStep) {
	for _, founder := range cluster.Config {
		if founder.ID != n.self.ID {
			n.sendAfterBatch(batch, founder.Addr, wire.Bootstrap, n.newBootstrapMessage(cluster, step))
		}
	}
}

// onBootstrap handles one step of a bootstrap. A member of the cluster already answers that
// it is committed, since the message that said so may have been lost.
func (n *Node) onBootstrap(from types.Addr, message bootstrapMessage) {
	cluster := message.Cluster
	if n.clusterName != "" {
		if n.clusterName == cluster.ClusterName && message.Step != bootstrapCommitted {
			n.send(from, wire.Bootstrap, n.newBootstrapMessage(cluster, bootstrapCommitted))
		}
		return
	}
	if _, ok := cluster.Config.Find(n.self.ID); !ok || n.role != roleEmpty {
		return
	}
	switch message.Step {
	case bootstrapPropose:
		if config, _ := n.proposedConfiguration(); n.bootstrap.accepted == nil && slices.Equal(config, cluster.Config) {
			n.acceptBootstrap(cluster)
		}
	case bootstrapAccept:
		if n.bootstrap.accepts(cluster.ClusterName) {
			n.bootstrap.acceptances[message.SenderID] = true
			n.commitBootstrap()
		}
	case bootstrapCommitted:
		if n.bootstrap.accepts(cluster.ClusterName) {
			n.joinCluster(*n.bootstrap.accepted)
		}
	}
}

// commitBootstrap enters the initial cluster if this node has proposed it and all members
// have accepted it.
func (n *Node) commitBootstrap() {
	cluster := *n.bootstrap.accepted
	if cluster.Config.hasLowerID(n.self.ID) || !n.bootstrap.acceptedByAll(cluster.Config) {
		return
	}
	n.joinCluster(cluster)
	n.sendToFounders(n.disk.writtenBatch, cluster, bootstrapCommitted)
}
