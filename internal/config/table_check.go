package config

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// maxTotalSharePercent bounds the shares of all queues together.
const maxTotalSharePercent = 100

// route is what a request is routed by.
type route struct{ host, pathPrefix string }

// Check adds the errors of a table as a whole: a version that is not above the base,
// repeated names and routes, unknown services, shares over 100%.
func (t Table) Check(errs *apierror.ErrorList) {
	errs.Check(t.RequestedVersion == 0 || t.RequestedVersion > t.Version,
		"becomes", "must be above the edition it is based on")
	shares := 0
	names, routes := map[types.QueueName]bool{}, map[route]bool{}
	for i, queue := range t.Queues {
		path := fmt.Sprintf("queues[%d]", i)
		errs.Check(!names[queue.Name], path+".name", "two rows for "+string(queue.Name))
		names[queue.Name] = true
		shares += queue.SharePercent
		if queue.PathPrefix != "" {
			route := route{queue.Host, queue.PathPrefix}
			errs.Check(!routes[route], path+".prefix", "two rows take "+queue.Host+queue.PathPrefix)
			routes[route] = true
		}
		if queue.Service != "" && len(t.Services) > 0 {
			_, ok := t.FindService(queue.Service)
			errs.Check(ok, path+".service", "no service is called "+string(queue.Service))
		}
	}
	errs.Check(shares <= maxTotalSharePercent, "queues", "the shares add up to more than 100")
}
