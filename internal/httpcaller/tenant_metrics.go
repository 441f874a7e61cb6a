// The number of requests of each tenant. Tables may hold thousands of tenants, so that only some have
// series of their own.

package httpcaller

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumTenantSeries is the number of tenants that have series of their own.
	maximumTenantSeries = 32
	// otherTenants is the label value of the others.
	otherTenants = "other"
)

type (
	// tenantMetrics counts requests by tenant. The zero value has no tenants.
	tenantMetrics struct {
		lock sync.RWMutex
		// labelled holds the names of the tenants with series of their own.
		labelled map[string]bool
	}
)

// update gives the tenants with the highest rates series of their own, and removes the series of those that
// no longer have one.
func (tenantMetrics *tenantMetrics) update(requests *prometheus.CounterVec, tenants []operator.Tenant) {
	labelled := map[string]bool{}
	for _, name := range namesByRate(tenants) {
		if len(labelled) < maximumTenantSeries {
			labelled[name] = true
		}
	}
	tenantMetrics.lock.Lock()
	defer tenantMetrics.lock.Unlock()
	for name := range tenantMetrics.labelled {
		if !labelled[name] {
			requests.DeletePartialMatch(prometheus.Labels{"tenant": name})
		}
	}
	tenantMetrics.labelled = labelled
}

// count counts a request of a tenant. It holds the lock meanwhile, so that it doesn't bring back a series
// that is being removed.
func (tenantMetrics *tenantMetrics) count(requests *prometheus.CounterVec, tenant, outcome string) {
	tenantMetrics.lock.RLock()
	defer tenantMetrics.lock.RUnlock()
	if !tenantMetrics.labelled[tenant] {
		tenant = otherTenants
	}
	requests.WithLabelValues(tenant, outcome).Inc()
}

// namesByRate returns the names of tenants, that with the highest rate first. No limit counts as the highest.
func namesByRate(tenants []operator.Tenant) []string {
	rate := func(tenant operator.Tenant) float64 {
		if tenant.RatePerSecond == 0 {
			return math.Inf(1)
		}
		return tenant.RatePerSecond
	}
	sorted := slices.SortedFunc(slices.Values(tenants), func(left, right operator.Tenant) int {
		return cmp.Or(cmp.Compare(rate(right), rate(left)), cmp.Compare(left.Name, right.Name))
	})
	names := make([]string, 0, len(sorted))
	for _, tenant := range sorted {
		names = append(names, tenant.Name)
	}
	return names
}
