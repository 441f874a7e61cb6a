package operator_test

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// Guards against an empty list of tenants in the product's own document, which no encoding tells from none.
func TestEmptyListOfTenantsIsRefused(t *testing.T) {
	tables := validTables()
	tables.Tenants = []operator.Tenant{}
	var invalid *fault.Error
	if !errors.As(tables.Check(), &invalid) || len(invalid.Problems) != 1 || invalid.Problems[0].Path != "tenants" {
		t.Errorf("an empty list of tenants: %v, want one problem at tenants", invalid)
	}
	tables.RequireKeys = true
	if err := tables.Check(); err != nil {
		t.Errorf("an empty list of tenants beside require_keys: %v, want none", err)
	}
}

// TestTenantRules guards against tables in force that identify the wrong tenant or break a limit. It breaks
// one rule at a time and checks that exactly one problem is reported, with the path of the field.
func TestTenantRules(t *testing.T) {
	low := -1
	tenants := func() []operator.Tenant {
		return []operator.Tenant{
			{Name: "alpha", KeyDigests: []string{operator.KeyDigest("a1"), operator.KeyDigest("a2")}, RatePerSecond: 0.5, Burst: 3, Priority: new(int), Regions: []string{"nord"}},
			{Name: "beta", KeyDigests: []string{operator.KeyDigest("b1")}}, {Name: "gamma"},
		}
	}
	for _, row := range []struct {
		path   string
		change func([]operator.Tenant)
	}{
		{"", func([]operator.Tenant) {}},
		{"tenants[0].name", func(tenants []operator.Tenant) { tenants[0].Name = "" }},
		{"tenants[0].name", func(tenants []operator.Tenant) { tenants[0].Name = strings.Repeat("x", operator.MaximumNameBytes+1) }},
		{"tenants[0].name", func(tenants []operator.Tenant) { tenants[0].Name = "alpha\r\nHost: b" }},
		{"tenants[1].name", func(tenants []operator.Tenant) { tenants[1].Name = "alpha" }},
		{"tenants[0].key_digests[1]", func(tenants []operator.Tenant) { tenants[0].KeyDigests[1] = "a2" }},
		{"tenants[0].key_digests[1]", func(tenants []operator.Tenant) { tenants[0].KeyDigests[1] = strings.ToUpper(tenants[0].KeyDigests[1]) }},
		{"tenants[0].key_digests[1]", func(tenants []operator.Tenant) { tenants[0].KeyDigests[1] = tenants[0].KeyDigests[0] }},
		{"tenants[1].key_digests[0]", func(tenants []operator.Tenant) { tenants[1].KeyDigests[0] = tenants[0].KeyDigests[1] }},
		{"tenants[1].rate_per_second", func(tenants []operator.Tenant) { tenants[1].RatePerSecond = -1 }},
		{"tenants[1].rate_per_second", func(tenants []operator.Tenant) { tenants[1].RatePerSecond = math.NaN() }},
		{"tenants[1].burst", func(tenants []operator.Tenant) { tenants[1].Burst = math.Inf(1) }},
		{"tenants[1].priority", func(tenants []operator.Tenant) { tenants[1].Priority = &low }},
	} {
		tables := validTables()
		tables.Tenants = tenants()
		row.change(tables.Tenants)
		var invalid *fault.Error
		var paths []string
		if errors.As(tables.Check(), &invalid) {
			for _, problem := range invalid.Problems {
				paths = append(paths, problem.Path)
			}
		}
		if expected := strings.Fields(row.path); !slices.Equal(paths, expected) {
			t.Errorf("problems at %v, expected %v", paths, expected)
		}
	}
}
