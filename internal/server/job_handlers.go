package server

import (
	"context"
	"net/http"
	"strings"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// bearerScheme precedes the key of a tenant in an Authorization header (RFC 6750).
const bearerScheme = "Bearer"

// tenantContextKey is the key under which a request's context holds its tenant.
type tenantContextKey struct{}

// tenantOf returns whose request it is, as withTenant found; empty for nobody's.
func tenantOf(r *http.Request) types.TenantName {
	if tenant, ok := r.Context().Value(tenantContextKey{}).(types.TenantName); ok {
		return tenant
	}
	return ""
}

// withTenant returns a handler that has next handle the requests about a job that carry no key,
// as nobody's, and those with a valid one. Others are rejected before their body is read. The
// leader decides which requests need a key, as it knows the jobs.
func (g *GatewayHandlers) withTenant(next http.HandlerFunc) http.HandlerFunc {
	return requireName(func(w http.ResponseWriter, r *http.Request) {
		tenant, err := g.authenticate(r)
		if err != nil {
			WriteError(w, err)
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), tenantContextKey{}, tenant)))
	})
}

// authenticate returns the tenant whose key a request carries, by the confirmed table; empty
// for a request without an Authorization header.
func (g *GatewayHandlers) authenticate(r *http.Request) (types.TenantName, *apierror.Error) {
	headers := r.Header["Authorization"]
	if len(headers) == 0 {
		return "", nil
	}
	table, confirmed := g.table.confirmed()
	if !confirmed {
		return "", apierror.New(apierror.NotReady, "", "no confirmed table here by which to check the key")
	}
	scheme, key, _ := strings.Cut(headers[0], " ")
	if tenant, ok := table.tenants.Tenant(key); ok && strings.EqualFold(scheme, bearerScheme) && len(headers) == 1 {
		return tenant, nil
	}
	return "", apierror.KeyRequired()
}

func (g *GatewayHandlers) readJob(r *http.Request, body []byte, errs *apierror.ErrorList) state.Spec {
	spec := state.ReadSpec(body, errs)
	spec.Tenant = tenantOf(r)
	if len(errs.List()) == 0 && g.table.isUnknownQueue(spec.Queue) {
		errs.Add(apierror.NoSuchQueue, "queue", "no queue is called "+string(spec.Queue))
	}
	return spec
}
