package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"text/tabwriter"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Layout of a table for people.
const (
	columnGap         = 2  // spaces
	hashPrefixDigits  = 16 // of a key's hash; enough to name it to key remove
	noLimit           = "-"
	tenantTableHeader = "NAME\tKEYS\tWEIGHT\tCORES\tMEMORY_MB\tACCELERATORS"
)

// tenantsDocument is what --json prints of all tenants.
type tenantsDocument struct {
	Version types.Version   `json:"edition"` // of the table in force
	Tenants []config.Tenant `json:"tenants"`
}

// tenantDocument is what --json prints of one tenant.
type tenantDocument struct {
	Version types.Version `json:"edition"` // of the table in force
	Tenant  config.Tenant `json:"tenant"`
}

// printTenants prints the tenants of a table.
func (tc *tenantCommands) printTenants(table config.Table) error {
	if tc.json {
		return tc.printJSON(tenantsDocument{table.Version, append([]config.Tenant{}, table.Tenants...)})
	}
	return tc.printTable(table.Tenants)
}

// printTenant prints one tenant of the table of a version.
func (tc *tenantCommands) printTenant(version types.Version, tenant config.Tenant) error {
	if tc.json {
		return tc.printJSON(tenantDocument{version, tenant})
	}
	if err := tc.printTable([]config.Tenant{tenant}); err != nil {
		return err
	}
	for _, hash := range tenant.KeyHashes {
		fmt.Fprintf(tc.out, "key  %.*s\n", hashPrefixDigits, hash)
	}
	_, err := fmt.Fprintf(tc.out, "edition  %d\n", version)
	return err
}

// printTable prints a line for each tenant.
func (tc *tenantCommands) printTable(tenants []config.Tenant) error {
	w := tabwriter.NewWriter(tc.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, tenantTableHeader)
	for _, tenant := range tenants {
		limit := tenant.Limit
		fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%s\t%s\n", tenant.Name, len(tenant.KeyHashes), tenant.Weight,
			formatLimit(strconv.FormatFloat(limit.Cores.Cores(), 'f', -1, 64)),
			formatLimit(strconv.Itoa(limit.MemoryMB)), formatLimit(strconv.Itoa(limit.Accelerators)))
	}
	return w.Flush()
}

// formatLimit shows a part of a limit; 0 bounds nothing.
func formatLimit(text string) string {
	if text == "0" {
		return noLimit
	}
	return text
}

func (tc *tenantCommands) printJSON(document any) error {
	encoder := json.NewEncoder(tc.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}
