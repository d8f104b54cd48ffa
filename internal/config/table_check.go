package config

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// maxTotalSharePercent is the maximum sum of the shares of all queues.
const maxTotalSharePercent = 100

// Check adds the errors that concern the table as a whole: a version that is not above the
// base, repeated names and routes, unknown services, shares over 100%, and errors of tenants
// (CheckTenants).
func (t Table) Check(errs *apierror.ErrorList) {
	errs.Check(t.RequestedVersion == 0 || t.RequestedVersion > t.Version,
		"becomes", "must be above the edition it is based on")
	checker := queueChecker{
		table:  t,
		errs:   errs,
		names:  map[types.QueueName]bool{},
		routes: map[route]bool{},
	}
	shares := 0
	for i, queue := range t.Queues {
		checker.check(queue, fmt.Sprintf("queues[%d]", i))
		shares += queue.SharePercent
	}
	errs.Check(shares <= maxTotalSharePercent, "queues", "the shares add up to more than 100")
	CheckTenants(t.Tenants, "tenants", "key_hashes", errs)
}

// queueChecker checks the queues of a table, each against the ones before it.
type queueChecker struct {
	table  Table
	errs   *apierror.ErrorList
	names  map[types.QueueName]bool // names of the queues so far
	routes map[route]bool           // routes of the queues so far
}

// route is the part of a request that determines its queue.
type route struct{ host, pathPrefix string }

func (c *queueChecker) check(queue Queue, path string) {
	c.errs.Check(!c.names[queue.Name], path+".name", "more than one queue has the name "+string(queue.Name))
	c.names[queue.Name] = true
	c.checkRoute(queue, path)
	c.checkService(queue, path)
}

// checkRoute checks that no other queue has the same route. A route is optional.
func (c *queueChecker) checkRoute(queue Queue, path string) {
	if queue.PathPrefix == "" {
		return
	}
	route := route{queue.Host, queue.PathPrefix}
	c.errs.Check(!c.routes[route], path+".prefix", "more than one queue has the route "+queue.Host+queue.PathPrefix)
	c.routes[route] = true
}

// checkService checks that the queue's service is in the table. A table without services
// allows any service.
func (c *queueChecker) checkService(queue Queue, path string) {
	if queue.Service == "" || len(c.table.Services) == 0 {
		return
	}
	_, found := c.table.FindService(queue.Service)
	c.errs.Check(found, path+".service", "unknown service "+string(queue.Service))
}
