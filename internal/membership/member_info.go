package membership

import (
	"coppercourse/internal/types"
)

// Role says what a daemon does in the cluster.
type Role string

// The roles of a daemon.
const (
	RoleController Role = "controller"
	RoleGateway    Role = "gateway"
	RoleAgent      Role = "agent"
)

// MemberInfo is what a daemon says of itself.
type MemberInfo struct {
	Addr        types.Addr `json:"addr"`         // its advertised address, by which others know it
	ID          types.ID   `json:"id,omitempty"` // of a controller: its identity in raft
	Role        Role       `json:"role"`
	Zone        types.Zone `json:"locality"`
	ClusterName string     `json:"cluster,omitempty"` // empty until one was formed
	Term        types.Term `json:"term,omitempty"`    // of a controller: its term in raft
	Leads       bool       `json:"leads,omitempty"`   // of a controller: it is the leader
	Detail      string     `json:"part,omitempty"`    // of an agent: its worker's shard; of a controller: its Raft role
	Ready       bool       `json:"ready"`
	Build       string     `json:"program,omitempty"` // build version
	// Version rises with each change. Only the daemon itself raises it, also beyond the
	// version that others know of an earlier process at its address.
	Version uint64 `json:"v,omitempty"`
}

// Peer is another daemon, and how long ago it was last heard from.
type Peer struct {
	MemberInfo
	AgeMS int64 `json:"age_ms"`
}
