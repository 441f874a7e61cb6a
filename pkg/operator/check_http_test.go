package operator_test

import (
	"errors"
	"slices"
	"testing"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func validTables() *operator.Tables {
	return &operator.Tables{
		Routes: []operator.Route{
			{Kind: "one", Pool: "p", HTTP: &operator.HTTPRoute{Host: "a.example", PathPrefix: "/one/", Timeout: duration.Of(1)}},
			{Kind: "parts", HTTP: &operator.HTTPRoute{Host: "a.example", PathPrefix: "/parts/", Timeout: duration.Of(1), Split: []operator.WeightedPool{{Pool: "p", Weight: 1}}}},
			{Kind: "all", HTTP: &operator.HTTPRoute{Host: "a.example", PathPrefix: "/", Timeout: duration.Of(1), Gather: &operator.Gather{Pools: []string{"p"}, Top: 1}}},
		},
		Pools: []operator.Pool{{Name: "p", Connections: 1, HTTP: &operator.HTTPPool{}}},
	}
}

// TestHTTPRules breaks one rule at a time and checks that a problem is reported
// with the path of the invalid field.
func TestHTTPRules(t *testing.T) {
	if err := validTables().Check(); err != nil {
		t.Fatal(err)
	}
	for path, breakRule := range map[string]func(*operator.Tables){
		"routes[0].pool":                     func(tables *operator.Tables) { tables.Routes[0].Pool = "q" },
		"routes[0].http":                     func(tables *operator.Tables) { tables.Routes[0].Pool = "" },
		"routes[0].http.host":                func(tables *operator.Tables) { tables.Routes[0].HTTP.Host = "" },
		"routes[0].http.path_prefix":         func(tables *operator.Tables) { tables.Routes[0].HTTP.PathPrefix = "/one" },
		"routes[1].http.path_prefix":         func(tables *operator.Tables) { tables.Routes[1].HTTP.PathPrefix = "/one/" },
		"routes[0].http.timeout":             func(tables *operator.Tables) { tables.Routes[0].HTTP.Timeout = 0 },
		"routes[0].http.max_attempts":        func(tables *operator.Tables) { tables.Routes[0].HTTP.MaxAttempts = -1 },
		"routes[1].http.split":               func(tables *operator.Tables) { tables.Routes[1].HTTP.Split[0].Weight = 0 },
		"routes[1].http.split[0].weight":     func(tables *operator.Tables) { tables.Routes[1].HTTP.Split[0].Weight = -1 },
		"routes[1].http.split[0].pool":       func(tables *operator.Tables) { tables.Routes[1].HTTP.Split[0].Pool = "q" },
		"routes[2].http.gather.pools":        func(tables *operator.Tables) { tables.Routes[2].HTTP.Gather.Pools = nil },
		"routes[2].http.gather.pools[1]":     func(tables *operator.Tables) { tables.Routes[2].HTTP.Gather.Pools = []string{"p", "p"} },
		"routes[2].http.gather.top":          func(tables *operator.Tables) { tables.Routes[2].HTTP.Gather.Top = 0 },
		"routes[2].http.gather":              func(tables *operator.Tables) { tables.Routes[2].NeverRepeat = true },
		"pools[0].connections":               func(tables *operator.Tables) { tables.Pools[0].Connections = 0 },
		"pools[0].http.cold_runs_per_second": func(tables *operator.Tables) { tables.Pools[0].HTTP.ColdRunsPerSecond = -1 },
		"http_limits.body_bytes":             func(tables *operator.Tables) { tables.HTTPLimits = &operator.HTTPLimits{BodyBytes: -1} },
	} {
		tables := validTables()
		breakRule(tables)
		var invalid *fault.Error
		if !errors.As(tables.Check(), &invalid) {
			t.Errorf("%s: Check returned no error", path)
			continue
		}
		if !slices.ContainsFunc(invalid.Problems, func(problem fault.Problem) bool { return problem.Path == path }) {
			t.Errorf("no problem has path %s: %v", path, invalid)
		}
	}
}
