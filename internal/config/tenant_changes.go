package config

import (
	"fmt"
	"slices"
	"strings"

	"coppercourse/internal/types"
)

// TenantChanges says how the tenants of a table differ from those of another, for people.
// Each text names a tenant and counts its keys; none shows a key or a hash of one.
type TenantChanges struct {
	Added   []string
	Removed []string
	Changed []string
}

// CompareTenants returns how the tenants changed, in the order of their rows.
func CompareTenants(before, after []Tenant) TenantChanges {
	var changes TenantChanges
	earlier := tenantsByName(before)
	for _, tenant := range after {
		old, known := earlier[tenant.Name]
		delete(earlier, tenant.Name)
		if !known {
			changes.Added = append(changes.Added, tenantSummary(tenant))
		} else if parts := describeChanges(old, tenant); len(parts) > 0 {
			changes.Changed = append(changes.Changed, fmt.Sprintf("%s: %s", tenant.Name, strings.Join(parts, ", ")))
		}
	}
	for _, tenant := range before {
		if _, removed := earlier[tenant.Name]; removed {
			changes.Removed = append(changes.Removed, tenantSummary(tenant))
		}
	}
	return changes
}

// Empty reports whether nothing changed.
func (c TenantChanges) Empty() bool { return len(c.Added)+len(c.Removed)+len(c.Changed) == 0 }

func tenantsByName(tenants []Tenant) map[types.TenantName]Tenant {
	byName := make(map[types.TenantName]Tenant, len(tenants))
	for _, tenant := range tenants {
		byName[tenant.Name] = tenant
	}
	return byName
}

func tenantSummary(tenant Tenant) string {
	return fmt.Sprintf("%s (keys: %d)", tenant.Name, len(tenant.KeyHashes))
}

// describeChanges says which parts of a tenant changed.
func describeChanges(before, after Tenant) []string {
	var parts []string
	added, removed := countNotIn(after.KeyHashes, before.KeyHashes), countNotIn(before.KeyHashes, after.KeyHashes)
	if added+removed > 0 {
		parts = append(parts, fmt.Sprintf("keys +%d -%d", added, removed))
	}
	if before.Weight != after.Weight {
		parts = append(parts, fmt.Sprintf("weight %v to %v", before.Weight, after.Weight))
	}
	if before.Limit != after.Limit {
		parts = append(parts, fmt.Sprintf("limit %s to %s", limitText(before.Limit), limitText(after.Limit)))
	}
	return parts
}

// countNotIn counts the hashes that are not among others.
func countNotIn(hashes, others []KeyHash) int {
	known := make(map[KeyHash]bool, len(others))
	for _, hash := range others {
		known[hash] = true
	}
	missing := slices.DeleteFunc(slices.Clone(hashes), func(hash KeyHash) bool { return known[hash] })
	return len(missing)
}

// limitText shows a limit as cores/memory/accelerators.
func limitText(limit types.Resources) string {
	return fmt.Sprintf("%v/%d/%d", limit.Cores.Cores(), limit.MemoryMB, limit.Accelerators)
}
