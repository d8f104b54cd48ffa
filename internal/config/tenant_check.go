package config

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// maxKeys is the maximum number of keys of all tenants together. It limits their hashes of 64
// characters each to a few megabytes.
const maxKeys = 50_000

// CheckTenants adds the errors that concern all tenants of a document: repeated names, keys
// that occur more than once in one or several tenants, negative values, and too many keys.
// The path is the path of the list in the document; keys is the name of the field with a
// tenant's keys.
func CheckTenants(tenants []Tenant, path, keys string, errs *apierror.ErrorList) {
	names := map[types.TenantName]bool{}
	holders := map[KeyHash]types.TenantName{}
	count := 0
	for i, tenant := range tenants {
		path := fmt.Sprintf("%s[%d]", path, i)
		errs.Check(!names[tenant.Name], path+".name", "two tenants have this name")
		names[tenant.Name] = true
		checkTenantLimits(tenant, path, errs)
		for _, hash := range tenant.KeyHashes {
			if holder, held := holders[hash]; held {
				errs.Add(apierror.BadField, path+"."+keys, "a key is told twice, here and for "+string(holder))
			}
			holders[hash] = tenant.Name
		}
		count += len(tenant.KeyHashes)
	}
	errs.Check(count <= maxKeys, path, fmt.Sprintf("more than %d keys", maxKeys))
}

// checkTenantLimits checks that the weight and limit of a tenant are not negative.
func checkTenantLimits(tenant Tenant, path string, errs *apierror.ErrorList) {
	limit := tenant.Limit
	errs.Check(tenant.Weight >= 0, path+".weight", "below 0")
	errs.Check(limit.Cores >= 0 && limit.MemoryMB >= 0 && limit.Accelerators >= 0, path+".limit", "below 0")
}
