package config

import (
	"crypto/sha256"
	"encoding/hex"

	"coppercourse/internal/types"
)

// Tenant is a customer whose jobs share one limit. Its keys are stored only as hashes.
type Tenant struct {
	Name      types.TenantName `json:"name"`
	KeyHashes []KeyHash        `json:"key_hashes"`
	// Weight is the tenant's share of submissions in jobs per second. Jobs beyond that rate are
	// ranked behind the jobs of others, and only a small backlog of them is accepted. 0 is
	// unlimited.
	Weight float64 `json:"weight,omitempty"`
	// Limit is the maximum resource usage of its tasks over all workers. A resource of 0 is
	// unlimited.
	Limit types.Resources `json:"limit,omitzero"`
}

// KeyHash is the SHA-256 of a tenant's key, in hexadecimal.
type KeyHash string

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// FindTenant returns the tenant with a name.
func (t Table) FindTenant(name types.TenantName) (Tenant, bool) {
	for _, tenant := range t.Tenants {
		if tenant.Name == name {
			return tenant, true
		}
	}
	return Tenant{}, false
}

// Authenticator maps keys to tenants. It is built once for each version of the table, is
// immutable and is safe for concurrent use.
type Authenticator struct {
	tenants map[KeyHash]types.TenantName
}

// Authenticator returns the authenticator of the table's tenants.
func (t Table) Authenticator() *Authenticator {
	a := &Authenticator{tenants: map[KeyHash]types.TenantName{}}
	for _, tenant := range t.Tenants {
		for _, hash := range tenant.KeyHashes {
			a.tenants[hash] = tenant.Name
		}
	}
	return a
}

// Tenant returns the tenant of a key, or false if the key is unknown. The lookup uses the key's
// hash, so that its timing reveals nothing about similar valid keys.
func (a *Authenticator) Tenant(key string) (types.TenantName, bool) {
	if key == "" {
		return "", false
	}
	name, ok := a.tenants[HashKey(key)]
	return name, ok
}
