package membership

import (
	"hash/fnv"
	"strconv"
)

// Digests are digests of all members that a daemon knows, by role. Two daemons compare them
// to detect different views. A digest is the sum of the members' hashes, so that a member can
// be added or removed incrementally.
type Digests struct {
	Controllers uint32 `json:"controllers,omitempty"`
	Gateways    uint32 `json:"gateways,omitempty"`
	Agents      uint32 `json:"agents,omitempty"`
}

// ofRole returns the digest of the members of a role.
func (d *Digests) ofRole(role Role) *uint32 {
	switch role {
	case RoleController:
		return &d.Controllers
	case RoleGateway:
		return &d.Gateways
	default:
		return &d.Agents
	}
}

// add adds a member.
func (d *Digests) add(info MemberInfo) { *d.ofRole(info.Role) += info.hash() }

// remove removes a member; info must be as it was added.
func (d *Digests) remove(info MemberInfo) { *d.ofRole(info.Role) -= info.hash() }

// hash returns a hash of the address and version.
func (m MemberInfo) hash() uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(m.Addr))
	hash.Write(strconv.AppendUint(nil, m.Version, 10))
	return hash.Sum32()
}
