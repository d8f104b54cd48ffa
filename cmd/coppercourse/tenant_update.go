package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// maxUpdateAttempts is how often a change is made when others keep changing the table.
const maxUpdateAttempts = 5

// tenantChange changes a tenant. A tenant that is new has only a name.
type tenantChange func(tenant *config.Tenant, isNew bool) error

// update changes one tenant of the table in force and prints it. The change is based on the
// table's version: if somebody else has replaced the table meanwhile, it is made anew.
func (tc *tenantCommands) update(name types.TenantName, change tenantChange) error {
	var err error
	for range maxUpdateAttempts {
		var table config.Table
		if table, err = tc.tryUpdate(name, change); err == nil {
			tenant, _ := table.FindTenant(name)
			return tc.printTenant(table.Version, tenant)
		}
		var rejection *apierror.Error
		if !errors.As(err, &rejection) || rejection.Kind != apierror.StaleVersion {
			return err
		}
	}
	return err
}

// tryUpdate changes one tenant of the table in force, and returns the table that is then
// in force. A change that changes nothing is not sent.
func (tc *tenantCommands) tryUpdate(name types.TenantName, change tenantChange) (config.Table, error) {
	table, err := tc.fetchTable()
	if err != nil {
		return table, err
	}
	if table.Source != nil {
		return table, apierror.New(apierror.BadField, "source",
			"the table stands for a document of the operator's: change the tenants there")
	}
	before := table.ContentHash()
	if err := changeTenant(&table, name, change); err != nil || table.ContentHash() == before {
		return table, err
	}
	errs := &apierror.ErrorList{}
	if table.Check(errs); errs.Err() != nil {
		return table, errs.Err()
	}
	body, err := json.Marshal(table)
	if err != nil {
		return table, err
	}
	response, err := tc.client.request(tc.client.gateway, http.MethodPut, "/v1/table", body)
	if err != nil {
		return table, err
	}
	return decodeTable(response)
}

// changeTenant makes a change to a tenant of a table, and adds the tenant if it is new.
func changeTenant(table *config.Table, name types.TenantName, change tenantChange) error {
	i := slices.IndexFunc(table.Tenants, func(tenant config.Tenant) bool { return tenant.Name == name })
	if i >= 0 {
		return change(&table.Tenants[i], false)
	}
	if reason := config.CheckName(string(name)); reason != "" {
		return apierror.New(apierror.BadField, "name", reason)
	}
	tenant := config.Tenant{Name: name, KeyHashes: []config.KeyHash{}}
	if err := change(&tenant, true); err != nil {
		return err
	}
	table.Tenants = append(table.Tenants, tenant)
	return nil
}

// fetchTable returns the table in force.
func (tc *tenantCommands) fetchTable() (config.Table, error) {
	response, err := tc.client.request(tc.client.gateway, http.MethodGet, "/v1/table", nil)
	if err != nil {
		return config.Table{}, err
	}
	return decodeTable(response)
}

func decodeTable(document []byte) (config.Table, error) {
	var table config.Table
	if err := json.Unmarshal(document, &table); err != nil {
		return table, apierror.Wrap(apierror.BadBody, err, "the gateway's table can't be read")
	}
	if table.Queues == nil {
		table.Queues = []config.Queue{} // of a new cluster; the gateway wants a list
	}
	return table, nil
}
