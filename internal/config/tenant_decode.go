package config

import (
	"slices"

	"coppercourse/internal/types"
)

// Limits of the tenants of a table document.
const (
	maxTenants      = 10_000
	maxTenantKeys   = 1000 // keys of one tenant
	maxTenantWeight = 1e6  // jobs per second

	maxTenantCores        = 1_000_000 * types.Core
	maxTenantMemoryMB     = 1 << 40
	maxTenantAccelerators = 1 << 20
)

// keyHashDigits is the length of a KeyHash.
const keyHashDigits = 64

// readTenant decodes the tenant at a path. Plain-text keys are hashed immediately.
func readTenant(r *Reader, path string) Tenant {
	tenant := Tenant{KeyHashes: []KeyHash{}}
	var plain []KeyHash
	r.Object(path, map[string]Field{
		"name": Text(r, &tenant.Name, CheckName),
		"key_hashes": func(path string) {
			r.Array(path, maxTenantKeys, func(path string, _ int) {
				var hash KeyHash
				Text(r, &hash, checkKeyHash)(path)
				tenant.KeyHashes = append(tenant.KeyHashes, hash)
			})
		},
		"keys":   Keys(r, &plain, maxTenantKeys),
		"weight": Float(r, &tenant.Weight, 0, maxTenantWeight),
		"limit":  func(path string) { readTenantLimit(r, path, &tenant.Limit) },
	})
	r.Errors.Check(tenant.Name != "", path+".name", "missing")
	for _, hash := range plain {
		if !slices.Contains(tenant.KeyHashes, hash) {
			tenant.KeyHashes = append(tenant.KeyHashes, hash)
		}
	}
	return tenant
}

// readTenantLimit decodes the limit at a path.
func readTenantLimit(r *Reader, path string, limit *types.Resources) {
	r.Object(path, map[string]Field{
		"cores":        MilliCores(r, &limit.Cores, 0, maxTenantCores),
		"memory":       Int(r, &limit.MemoryMB, 0, maxTenantMemoryMB),
		"accelerators": Int(r, &limit.Accelerators, 0, maxTenantAccelerators),
	})
}

// Keys reads an array of at most limit plain-text keys into a list of their distinct hashes.
// Errors contain no keys.
func Keys(r *Reader, to *[]KeyHash, limit int) Field {
	return func(path string) {
		seen := map[KeyHash]bool{}
		r.Array(path, limit, func(path string, _ int) {
			var key string
			Text(r, &key, CheckKey)(path)
			if hash := HashKey(key); !seen[hash] {
				seen[hash] = true
				*to = append(*to, hash)
			}
		})
	}
}

// CheckKey checks a tenant's key. Any non-empty text is valid.
func CheckKey(text string) string {
	if text == "" {
		return "empty"
	}
	return ""
}

// checkKeyHash checks the hash of a key. Its reasons don't contain the text, which may be a key.
func checkKeyHash(text string) string {
	if len(text) != keyHashDigits {
		return "want 64 hexadecimal digits"
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return "want 64 hexadecimal digits, in lower case"
		}
	}
	return ""
}
