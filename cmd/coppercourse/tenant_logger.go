package main

import (
	"fmt"

	"github.com/go-logr/logr"

	"coppercourse/internal/config"
)

// maxLoggedTenants bounds the tenants that a line names of each kind of change.
const maxLoggedTenants = 50

// tenantLogger logs each change of the tenants in the table in force, in one line without
// keys. The first line after a start names the tenants that it found.
type tenantLogger struct {
	log  logr.Logger
	last config.Table
}

// update logs how the tenants of the table in force differ from those before, if they do.
func (tl *tenantLogger) update(table config.Table) {
	if table.Version == tl.last.Version {
		return
	}
	changes := config.CompareTenants(tl.last.Tenants, table.Tenants)
	if !changes.Empty() {
		tl.log.Info("tenants changed", "table_version", table.Version, "previous_version", tl.last.Version,
			"tenants", len(table.Tenants), "added", truncateList(changes.Added),
			"removed", truncateList(changes.Removed), "changed", truncateList(changes.Changed))
	}
	tl.last = table
}

// shortened cuts a long list, and says how many more there were.
func truncateList(list []string) []string {
	if len(list) <= maxLoggedTenants {
		return list
	}
	more := fmt.Sprintf("and %d more", len(list)-maxLoggedTenants)
	return append(list[:maxLoggedTenants:maxLoggedTenants], more)
}
