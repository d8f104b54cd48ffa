package main

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

const maxKeyBytes = 4 << 10

// tenantSettings are the tenant settings given on the command line.
type tenantSettings struct {
	name                   string
	weight                 float64
	cores                  string
	memoryMB, accelerators int

	hasWeight, hasCores, hasMemory, hasAccelerators bool
}

// apply is a tenantChange. It changes only the settings given on the command line.
func (ts *tenantSettings) apply(tenant *config.Tenant, _ bool) error {
	if ts.hasWeight {
		tenant.Weight = ts.weight
	}
	if ts.hasCores {
		cores, ok := types.ParseCores(ts.cores)
		if !ok {
			return apierror.New(apierror.BadField, "cores", "want a number with at most three decimals, got "+ts.cores)
		}
		tenant.Limit.Cores = cores
	}
	if ts.hasMemory {
		tenant.Limit.MemoryMB = ts.memoryMB
	}
	if ts.hasAccelerators {
		tenant.Limit.Accelerators = ts.accelerators
	}
	return nil
}

// addKey returns the change that adds a key to an existing tenant.
func addKey(hash config.KeyHash) tenantChange {
	return func(tenant *config.Tenant, isNew bool) error {
		if isNew {
			return noSuchTenant(tenant.Name)
		}
		if !slices.Contains(tenant.KeyHashes, hash) {
			tenant.KeyHashes = append(tenant.KeyHashes, hash)
		}
		return nil
	}
}

// removeKey returns the change that removes the key whose hash has the given prefix. It fails
// unless exactly one key matches.
func removeKey(prefix string) tenantChange {
	return func(tenant *config.Tenant, isNew bool) error {
		if isNew {
			return noSuchTenant(tenant.Name)
		}
		begins := func(hash config.KeyHash) bool { return strings.HasPrefix(string(hash), prefix) }
		i := slices.IndexFunc(tenant.KeyHashes, begins)
		switch {
		case i < 0:
			return apierror.New(apierror.BadField, "key", "not a key of "+string(tenant.Name))
		case slices.ContainsFunc(tenant.KeyHashes[i+1:], begins):
			return apierror.New(apierror.BadField, "hash", "several keys of "+string(tenant.Name)+" have this prefix")
		}
		tenant.KeyHashes = slices.Delete(tenant.KeyHashes, i, i+1)
		return nil
	}
}

// readKeyLine reads a key from a single line and returns its hash. Its errors never contain the
// key.
func readKeyLine(in io.Reader) (config.KeyHash, error) {
	text, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return "", apierror.Wrap(apierror.BadBody, err, "read the key")
	}
	key := string(bytes.TrimRight(text, "\r\n"))
	switch {
	case len(text) > maxKeyBytes:
		return "", apierror.New(apierror.BadBody, "key", "too long")
	case strings.ContainsAny(key, "\r\n"):
		return "", apierror.New(apierror.BadBody, "key", "want one line")
	}
	if reason := config.CheckKey(key); reason != "" {
		return "", apierror.New(apierror.BadBody, "key", reason)
	}
	return config.HashKey(key), nil
}
