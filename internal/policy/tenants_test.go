package policy_test

import (
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// Guards against a key that identifies another tenant, and against a digest that is accepted as a key.
func TestTenantIsFoundByItsKeysOnly(t *testing.T) {
	tables := &operator.Tables{Tenants: []operator.Tenant{
		{Name: "alpha", KeyDigests: []string{operator.KeyDigest("a1"), operator.KeyDigest("a2")}}, {Name: "beta", KeyDigests: []string{operator.KeyDigest("b1")}},
	}}
	tenants := policy.NewTenants(tables)
	for key, name := range map[string]string{"a1": "alpha", "a2": "alpha", "b1": "beta", "b": "", "b11": "", "": "", operator.KeyDigest("a1"): ""} {
		found := tenants.Find(key)
		if found == nil && name != "" || found != nil && found.Name != name {
			t.Errorf("key %q: tenant %+v, expected %q", key, found, name)
		}
	}
}

// Guards against tables without tenants that let every caller in although they ask for keys, and the reverse.
func TestNeedForKeys(t *testing.T) {
	for _, row := range []struct {
		tables operator.Tables
		needed bool
	}{
		{operator.Tables{}, false},
		{operator.Tables{RequireKeys: true}, true},
		{operator.Tables{Tenants: []operator.Tenant{{Name: "alpha"}}}, true},
	} {
		if tenants := policy.NewTenants(&row.tables); tenants.NeedKeys() != row.needed {
			t.Errorf("%+v: keys needed: %t, want %t", row.tables, !row.needed, row.needed)
		}
	}
}

// Guards against a route's priority that outweighs a tenant's, and against tenants that change what requests
// without a tenant's priority get.
func TestTenantPriorityComesBeforeTheRoutes(t *testing.T) {
	admitted := func(priority policy.Priority) int {
		count := 0
		for policy.AdmitEntry(count, priority) {
			count++
		}
		return count
	}
	last := policy.Priority{}
	for tenant := range 6 {
		for route := range 6 {
			priority := policy.Priority{Tenant: tenant, Route: route}
			if priority != last && (last.Compare(priority) >= 0 || priority.Compare(last) <= 0 || admitted(priority) >= admitted(last)) {
				t.Errorf("%+v doesn't come after %+v: %d admitted after %d", priority, last, admitted(priority), admitted(last))
			}
			last = priority
		}
	}
	for route, expected := range []int{512, 461, 410, 359, 308, 256, 256} {
		if got := admitted(policy.Priority{Route: route}); got != expected {
			t.Errorf("priority %d: %d admitted, expected %d as before tenants", route, got, expected)
		}
	}
}
