package httpcaller

import (
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// Guards against requests that are admitted by the route's priority although their tenant has one.
func TestPriorityIsThatOfTenantAndRoute(t *testing.T) {
	three := 3
	for _, row := range []struct {
		tenant   *operator.Tenant
		priority policy.Priority
	}{
		{nil, policy.Priority{Route: 2}}, {&operator.Tenant{}, policy.Priority{Route: 2}}, {&operator.Tenant{Priority: &three}, policy.Priority{Tenant: 3, Route: 2}},
	} {
		call := &call{route: &operator.Route{HTTP: &operator.HTTPRoute{Priority: 2}}, tenant: row.tenant}
		if got := call.priority(); got != row.priority {
			t.Errorf("tenant %+v: priority %+v, expected %+v", row.tenant, got, row.priority)
		}
	}
}
