package membership

import (
	"coppercourse/internal/types"
)

// Role is the function of a daemon in the cluster.
type Role string

// The roles of a daemon.
const (
	RoleController Role = "controller"
	RoleGateway    Role = "gateway"
	RoleAgent      Role = "agent"
)

// MemberInfo is the information that a daemon publishes about itself.
type MemberInfo struct {
	Addr        types.Addr `json:"addr"`         // its advertised address, which identifies it
	ID          types.ID   `json:"id,omitempty"` // of a controller: its Raft ID
	Role        Role       `json:"role"`
	Zone        types.Zone `json:"locality"`
	ClusterName string     `json:"cluster,omitempty"` // empty until a cluster is formed
	Term        types.Term `json:"term,omitempty"`    // of a controller: its Raft term
	Leads       bool       `json:"leads,omitempty"`   // of a controller: whether it is the leader
	Detail      string     `json:"part,omitempty"`    // of an agent: its worker's shard; of a controller: its Raft role
	Ready       bool       `json:"ready"`
	Build       string     `json:"program,omitempty"` // build version
	// Version increases with each change. Only the daemon itself increases it, also past the
	// version that others know from an earlier process at its address.
	Version uint64 `json:"v,omitempty"`
}

// Peer is another daemon, with the age of the last contact.
type Peer struct {
	MemberInfo
	AgeMS int64 `json:"age_ms"`
}
