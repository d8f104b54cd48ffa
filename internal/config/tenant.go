package config

import (
	"crypto/sha256"
	"encoding/hex"

	"coppercourse/internal/types"
)

// Tenant is a customer whose jobs share one limit. Its keys are kept as hashes only.
type Tenant struct {
	Name      types.TenantName `json:"name"`
	KeyHashes []KeyHash        `json:"key_hashes"`
	// Weight is how many jobs a second are the tenant's share; what it submits beyond that runs
	// behind the jobs of others, and little of it may wait. 0 bounds nothing.
	Weight float64 `json:"weight,omitempty"`
	// Limit bounds what its tasks use over all workers; a part that is 0 bounds nothing.
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

// Authenticator finds the tenants of keys. It is made once for a version of the table and
// only read then, by any number of goroutines.
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

// Tenant returns the tenant that holds a key, or false if none does. The lookup is by the
// key's hash, so that its duration says nothing about keys that are close to this one.
func (a *Authenticator) Tenant(key string) (types.TenantName, bool) {
	if key == "" {
		return "", false
	}
	name, ok := a.tenants[HashKey(key)]
	return name, ok
}
