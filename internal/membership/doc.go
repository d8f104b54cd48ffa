// Package membership keeps each daemon's view of the cluster: which daemons there are, in
// which role and zone, and when each was last heard from. Any one live address leads to all
// the others. The view is a hint for finding peers: no decision that must be correct rests
// on it.
//
// The traffic of a daemon does not grow with the cluster. Any message from a peer shows
// that it lives, so there are no heartbeats for membership. Gateways and controllers keep
// all members, and ask the leader for those that changed since they last asked. Agents keep
// the controllers and a small sample of the other daemons, and ask one of the sample now and
// then. A daemon that hears of no leader asks more widely, and a new leader announces itself
// to all.
//
// MemberList is the state machine. Its parts:
//
//   - member_list.go: the daemon's own MemberInfo, and what each tick does;
//   - discovery.go: whom a daemon asks that hears of no leader, and an agent's sample;
//   - hello.go, hello_handler.go: the one message, sent and received;
//   - updates.go: what is taken of what others say;
//   - leader_sync.go, change_log.go: how daemons that keep all members follow the leader;
//   - member_table.go, digests.go: the members that are kept, with their indexes;
//   - queries.go: what other packages read.
package membership
