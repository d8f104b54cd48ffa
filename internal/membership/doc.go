// Package membership maintains each daemon's view of the cluster: the known daemons, their
// roles and zones, and the time of the last contact with each. One reachable address is enough
// to discover all others. The view is a hint for finding peers: no correctness decision depends
// on it.
//
// The traffic of a daemon does not grow with the cluster. Any message from a peer proves its
// liveness, so there are no membership heartbeats. Gateways and controllers have a full view
// and periodically request the members that changed from the leader. Agents have a partial
// view, the controllers and a small sample of the other daemons, and query one daemon of the
// sample from time to time. A daemon without a leader queries more daemons, and a new leader
// announces itself to all.
//
// MemberList is the state machine. Its parts:
//
//   - member_list.go: the daemon's own MemberInfo, and the work of each tick;
//   - discovery.go: leader discovery, and an agent's sample;
//   - hello.go, hello_handler.go: the only message type, sent and received;
//   - updates.go: merging of received member information;
//   - leader_sync.go, change_log.go: replication of the leader's member changes to full views;
//   - member_table.go, digests.go: the known members, with indexes;
//   - queries.go: the read API for other packages.
package membership
